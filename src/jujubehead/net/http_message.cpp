#include "jujubehead/net/http_message.hpp"

#include <algorithm> // for min
#include <charconv>  // for from_chars

#include <boost/beast/core/string.hpp> // for iequals

namespace jujubehead::net {
namespace {

constexpr int kHexadecimal = 16;

/// Decodes `%XX` and `+`; a `%` without two digits stands for itself.
std::string
DecodeQuery(std::string_view aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    unsigned char value = 0;
    const std::string_view digits = aText.substr(i + 1, 2);
    const char* const end = digits.data() + digits.size();
    if (aText[i] == '%' && digits.size() == 2 &&
        std::from_chars(digits.data(), end, value, kHexadecimal).ptr == end) {
      decoded += static_cast<char>(value);
      i += 2;
    } else {
      decoded += aText[i] == '+' ? ' ' : aText[i];
    }
  }
  return decoded;
}

} // namespace

std::size_t
HttpHeaders::TextBytes() const
{
  std::size_t bytes = 0;
  for (const HttpHeader& line : m_lines) {
    bytes += line.name.size() + line.value.size();
  }
  return bytes;
}

std::size_t
HttpHeaders::HeldBytes() const
{
  return m_lines.capacity() * sizeof(HttpHeader) + TextBytes();
}

void
HttpHeaders::Add(std::string_view aName, std::string_view aValue)
{
  m_lines.push_back({ std::string(aName), std::string(aValue) });
}

std::optional<std::string_view>
HttpHeaders::Find(std::string_view aName) const
{
  for (const HttpHeader& line : m_lines) {
    if (boost::beast::iequals(line.name, aName)) {
      return line.value;
    }
  }
  return std::nullopt;
}

std::string_view
HttpRequest::Path() const
{
  const std::string_view whole = target;
  return whole.substr(0, whole.find('?'));
}

std::optional<std::string>
HttpRequest::Query(std::string_view aName) const
{
  const std::size_t mark = target.find('?');
  if (mark == std::string::npos) {
    return std::nullopt;
  }
  std::string_view rest = std::string_view(target).substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (DecodeQuery(pair.substr(0, equals)) == aName) {
      return equals == std::string_view::npos
               ? std::string()
               : DecodeQuery(pair.substr(equals + 1));
    }
  }
  return std::nullopt;
}

} // namespace jujubehead::net
