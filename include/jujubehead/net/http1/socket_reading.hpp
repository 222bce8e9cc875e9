#ifndef JUJUBEHEAD_NET_HTTP1_SOCKET_READING_HPP
#define JUJUBEHEAD_NET_HTTP1_SOCKET_READING_HPP

#include <string> // for string

#include <boost/asio/ip/tcp.hpp>       // for tcp
#include <boost/system/error_code.hpp> // for error_code

namespace jujubehead::net {

/// @brief Appends what a non-blocking socket has now, up to one buffer's size.
/// The buffer is the thread's, so that idle connections hold none.
/// @return none, `would_block`, `eof`, or another error.
boost::system::error_code
ReadAvailable(boost::asio::ip::tcp::socket& aSocket, std::string& aInput);

/// @return whether the socket is open and has neither bytes nor an end.
bool
IsSilent(boost::asio::ip::tcp::socket& aSocket);

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_HTTP1_SOCKET_READING_HPP
