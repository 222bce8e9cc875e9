#include "jujubehead/net/http1/connection_end.hpp"

#include <linux/sockios.h> // for SIOCOUTQ
#include <netinet/tcp.h>   // for tcp_info, TCP_CLOSE
#include <sys/ioctl.h>     // for ioctl
#include <sys/socket.h>    // for getsockopt

#include "jujubehead/net/timer.hpp" // for Sleep

namespace jujubehead::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// The kernel does not notify of acknowledgements.
constexpr core::Duration kAcknowledgementPoll = std::chrono::milliseconds(5);

} // namespace

ConnectionEnd
EndOf(tcp::socket& aSocket)
{
  if (!aSocket.is_open()) {
    return ConnectionEnd::kReset;
  }
  const int handle = aSocket.native_handle();
  tcp_info info{};
  socklen_t size = sizeof(info);
  const int status = ::getsockopt(handle, IPPROTO_TCP, TCP_INFO, &info, &size);
  // After an orderly end this side is still open.
  if (status != 0 || info.tcpi_state == TCP_CLOSE) {
    return ConnectionEnd::kReset;
  }
  int unacknowledged_bytes = 0;
  (void)::ioctl(handle, SIOCOUTQ, &unacknowledged_bytes);
  return unacknowledged_bytes == 0 ? ConnectionEnd::kOrderly
                                   : ConnectionEnd::kUnacknowledged;
}

asio::awaitable<bool>
HasEndedInOrder(tcp::socket& aSocket, std::function<bool()> aIsSent)
{
  for (;;) {
    const ConnectionEnd end = EndOf(aSocket);
    if (end == ConnectionEnd::kReset) {
      co_return false;
    }
    if (end == ConnectionEnd::kOrderly && aIsSent()) {
      co_return true;
    }
    co_await Sleep(kAcknowledgementPoll);
  }
}

} // namespace jujubehead::net
