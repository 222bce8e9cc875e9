#ifndef JUJUBEHEAD_NET_HTTP1_CONNECTION_END_HPP
#define JUJUBEHEAD_NET_HTTP1_CONNECTION_END_HPP

#include <cstdint>    // for uint8_t
#include <functional> // for function

#include <boost/asio/awaitable.hpp> // for awaitable
#include <boost/asio/ip/tcp.hpp>    // for tcp

namespace jujubehead::net {

/// @brief How the other side has ended a connection.
enum class ConnectionEnd : std::uint8_t
{
  kOrderly, ///< After it acknowledged all that it was sent.
  /// In order, but some of what it was sent is not acknowledged yet. If it is
  /// no longer read there, a reset follows.
  kUnacknowledged,
  kReset, ///< By a reset, or since it was silent for too long.
};

/// @brief Examines a connected socket from which the end of the input was read.
///
/// Such a read alone proves no orderly end: the kernel reports a reset once, to
/// the call that comes first. If that is a write, the next read returns an end
/// of the input.
/// @param aSocket not shut down on this side; orderly ends on both sides look
/// like a reset.
[[nodiscard]] ConnectionEnd
EndOf(boost::asio::ip::tcp::socket& aSocket);

/// @brief Waits until the end of a connection is known, after the end of its
/// input was read. Whoever closes the socket ends the wait.
/// @param aIsSent whether all that is to be sent was written to the socket.
/// @return whether it is an orderly one, which completes a body without a
/// length.
boost::asio::awaitable<bool>
HasEndedInOrder(boost::asio::ip::tcp::socket& aSocket,
                std::function<bool()> aIsSent);

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_HTTP1_CONNECTION_END_HPP
