#include "jujubehead/net/http1/message_parser.hpp" // for FaultOfReplyHead

namespace jujubehead::net {
namespace {

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;

} // namespace

std::string_view
FaultOfReplyHead(unsigned aStatus, const HttpHeaders& /*aHeaders*/)
{
  if (aStatus < kMinStatus || aStatus > kMaxStatus) {
    return "a status that does not exist";
  }
  return {};
}

} // namespace jujubehead::net
