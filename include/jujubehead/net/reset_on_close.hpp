#ifndef JUJUBEHEAD_NET_RESET_ON_CLOSE_HPP
#define JUJUBEHEAD_NET_RESET_ON_CLOSE_HPP

#include <boost/asio/ip/tcp.hpp> // for tcp

namespace jujubehead::net {

/// @brief Sets whether the end of a connection is a reset, however it comes
/// about: also where the process is killed.
///
/// For as long as a body is sent whose end is that of the connection: the
/// orderly end of a connection would make an unfinished body look complete.
void
SetResetOnClose(boost::asio::ip::tcp::socket& aSocket, bool aResets);

/// @brief Closes a connection with a reset.
void
CloseWithReset(boost::asio::ip::tcp::socket& aSocket);

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_RESET_ON_CLOSE_HPP
