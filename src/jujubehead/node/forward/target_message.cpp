#include "target_message.hpp"

#include <algorithm> // for any_of
#include <array>     // for array
#include <vector>    // for vector

#include <boost/beast/core/string.hpp>  // for iequals
#include <boost/beast/http/rfc7230.hpp> // for token_list

namespace jujubehead::node {
namespace {

using boost::beast::iequals;

/// Hop-by-hop header lines, and those that give the length of the body, which
/// are generated again.
constexpr std::array<std::string_view, 11> kHopByHopHeaders = {
  "Connection",
  "Keep-Alive",
  "Proxy-Connection",
  "Transfer-Encoding",
  "TE",
  "Trailer",
  "Upgrade",
  "Content-Length",
  "Expect",
  "Proxy-Authenticate",
  "Proxy-Authorization"
};

bool
IsHopByHop(std::string_view aName)
{
  return std::any_of(
    kHopByHopHeaders.begin(),
    kHopByHopHeaders.end(),
    [&](std::string_view aOther) { return iequals(aName, aOther); });
}

/// @return the header names listed in `Connection`.
std::vector<std::string>
ConnectionOptions(const net::HttpHeaders& aHeaders)
{
  std::vector<std::string> names;
  for (const net::HttpHeader& line : aHeaders.Lines()) {
    if (iequals(line.name, "Connection")) {
      for (const auto& name : boost::beast::http::token_list(line.value)) {
        names.emplace_back(name);
      }
    }
  }
  return names;
}

bool
ContainsName(std::string_view aName, const std::vector<std::string>& aNames)
{
  return std::any_of(
    aNames.begin(), aNames.end(), [&](const std::string& aOther) {
      return iequals(aName, aOther);
    });
}

void
AppendHeaders(std::string& aText, const net::HttpHeaders& aHeaders)
{
  for (const net::HttpHeader& line : aHeaders.Lines()) {
    aText.append(line.name).append(": ").append(line.value).append("\r\n");
  }
}

} // namespace

std::string
FormatTargetHeader(const HeaderCodec& aHeaderCodec,
                   const CallerRequest& aRequest,
                   const TargetCall& aCall)
{
  const net::MessageHead& head = aRequest.head;
  const std::vector<std::string> named = ConnectionOptions(head.headers);
  std::string text;
  text.append(head.method).append(" ").append(head.target);
  text.append(" HTTP/1.1\r\n");
  for (const net::HttpHeader& line : head.headers.Lines()) {
    const bool is_dropped =
      IsHopByHop(line.name) || aHeaderCodec.IsReserved(line.name) ||
      (ContainsName(line.name, named) && !aHeaderCodec.IsEndToEnd(line.name));
    if (!is_dropped) {
      text.append(line.name).append(": ").append(line.value).append("\r\n");
    }
  }
  AppendHeaders(text, aHeaderCodec.CallHeaders(aCall));
  if (aRequest.has_body) {
    text.append("Content-Length: ")
      .append(std::to_string(aRequest.body->size()))
      .append("\r\n");
  }
  return text.append("\r\n");
}

net::HttpHeaders
HeadersForCaller(const HeaderCodec& aHeaderCodec,
                 const net::HttpHeaders& aReply)
{
  const std::vector<std::string> named = ConnectionOptions(aReply);
  net::HttpHeaders lines;
  for (const net::HttpHeader& line : aReply.Lines()) {
    if (!IsHopByHop(line.name) && !ContainsName(line.name, named) &&
        !aHeaderCodec.IsForInstance(line.name)) {
      lines.Add(line.name, line.value);
    }
  }
  return lines;
}

} // namespace jujubehead::node
