#include "jujubehead/net/reset_on_close.hpp"

#include <sys/socket.h> // for setsockopt, linger

namespace jujubehead::net {

void
SetResetOnClose(boost::asio::ip::tcp::socket& aSocket, bool aResets)
{
  // Not by the socket's set_option(): its destructor would take that back.
  const linger value{ aResets ? 1 : 0, 0 };
  (void)::setsockopt(
    aSocket.native_handle(), SOL_SOCKET, SO_LINGER, &value, sizeof(value));
}

void
CloseWithReset(boost::asio::ip::tcp::socket& aSocket)
{
  SetResetOnClose(aSocket, true);
  boost::system::error_code ignored;
  aSocket.close(ignored);
}

} // namespace jujubehead::net
