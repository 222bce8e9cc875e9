#include "http_fields.hpp"

#include <boost/beast/core/string.hpp> // for iequals

namespace jujubehead::net {
namespace {

bool
IsFraming(std::string_view aName)
{
  for (const std::string_view name :
       { "connection", "content-length", "transfer-encoding", "keep-alive" }) {
    if (boost::beast::iequals(aName, name)) {
      return true;
    }
  }
  return false;
}

bool
StaysOnItsLine(std::string_view aText)
{
  constexpr std::string_view kLineEnds("\r\n\0", 3);
  return aText.find_first_of(kLineEnds) == std::string_view::npos;
}

} // namespace

HttpHeaders
FromFields(const boost::beast::http::fields& aFields)
{
  HttpHeaders headers;
  for (const auto& field : aFields) {
    headers.Add(field.name_string(), field.value());
  }
  return headers;
}

void
AppendLine(std::string& aText, std::string_view aName, std::string_view aValue)
{
  aText.append(aName).append(": ").append(aValue).append("\r\n");
}

void
AppendLines(std::string& aText, const HttpHeaders& aHeaders)
{
  for (const HttpHeader& line : aHeaders.Lines()) {
    if (!IsFraming(line.name) && StaysOnItsLine(line.name) &&
        StaysOnItsLine(line.value)) {
      AppendLine(aText, line.name, line.value);
    }
  }
}

} // namespace jujubehead::net
