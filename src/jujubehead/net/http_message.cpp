#include "jujubehead/net/http_message.hpp"

#include <boost/beast/core/string.hpp> // for iequals

namespace jujubehead::net {

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

} // namespace jujubehead::net
