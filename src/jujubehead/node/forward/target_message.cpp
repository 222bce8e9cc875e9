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
constexpr std::array<std::string_view, 11> kOfConnection = {
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
IsOfConnection(std::string_view aName)
{
  return std::any_of(
    kOfConnection.begin(), kOfConnection.end(), [&](std::string_view aOther) {
      return iequals(aName, aOther);
    });
}

/// @return the header names listed in `Connection`.
std::vector<std::string>
NamedByConnection(const net::HttpHeaders& aHeaders)
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
IsAmong(std::string_view aName, const std::vector<std::string>& aNames)
{
  return std::any_of(
    aNames.begin(), aNames.end(), [&](const std::string& aOther) {
      return iequals(aName, aOther);
    });
}

void
AppendLines(std::string& aText, const net::HttpHeaders& aHeaders)
{
  for (const net::HttpHeader& line : aHeaders.Lines()) {
    aText.append(line.name).append(": ").append(line.value).append("\r\n");
  }
}

} // namespace

std::string
TargetMessage(const Dialect& aDialect,
              const CallerRequest& aRequest,
              const TargetCall& aCall)
{
  const net::MessageHead& head = aRequest.head;
  const std::vector<std::string> named = NamedByConnection(head.headers);
  std::string text;
  text.append(head.method).append(" ").append(head.target);
  text.append(" HTTP/1.1\r\n");
  for (const net::HttpHeader& line : head.headers.Lines()) {
    const bool is_dropped =
      IsOfConnection(line.name) || aDialect.IsSetHere(line.name) ||
      (IsAmong(line.name, named) && !aDialect.BelongsToRequest(line.name));
    if (!is_dropped) {
      text.append(line.name).append(": ").append(line.value).append("\r\n");
    }
  }
  AppendLines(text, aDialect.LinesOf(aCall));
  if (aRequest.had_body) {
    text.append("Content-Length: ")
      .append(std::to_string(aRequest.body.size()))
      .append("\r\n");
  }
  return text.append("\r\n").append(aRequest.body);
}

net::HttpHeaders
LinesForCaller(const net::HttpHeaders& aReply)
{
  const std::vector<std::string> named = NamedByConnection(aReply);
  net::HttpHeaders lines;
  for (const net::HttpHeader& line : aReply.Lines()) {
    if (!IsOfConnection(line.name) && !IsAmong(line.name, named)) {
      lines.Add(line.name, line.value);
    }
  }
  return lines;
}

} // namespace jujubehead::node
