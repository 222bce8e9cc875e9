#include <boost/beast/core/string.hpp> // for iequals

#include "jujubehead/net/http1/message_parser.hpp" // for FaultOfReplyHead

namespace jujubehead::net {
namespace {

using boost::beast::iequals;

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
constexpr unsigned kSwitchingProtocols = 101;

} // namespace

std::string_view
FaultOfReplyHead(unsigned aStatus, const HttpHeaders& aHeaders)
{
  if (aStatus < kMinStatus || aStatus > kMaxStatus) {
    return "a status outside 100 to 599";
  }
  // No request asks for it, and what follows is in another protocol.
  if (aStatus == kSwitchingProtocols) {
    return "a switch to another protocol";
  }
  for (const HttpHeader& line : aHeaders.Lines()) {
    if (iequals(line.name, "Transfer-Encoding") &&
        !iequals(line.value, "chunked")) {
      return "a transfer coding other than chunks";
    }
  }
  return {};
}

} // namespace jujubehead::net
