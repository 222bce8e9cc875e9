#ifndef JUJUBEHEAD_NODE_FORWARD_TUNNEL_HPP
#define JUJUBEHEAD_NODE_FORWARD_TUNNEL_HPP

#include <cstdint> // for uint8_t
#include <memory>  // for shared_ptr
#include <string>  // for string

#include <boost/asio/awaitable.hpp> // for awaitable
#include <boost/asio/ip/tcp.hpp>    // for tcp

#include "jujubehead/core/ids.hpp"                      // for TargetId
#include "jujubehead/core/runtime_clock.hpp"            // for Duration
#include "jujubehead/net/http1/outbound_connection.hpp" // for OutboundConnection

namespace jujubehead::node {

// An instance opens a connection to a target through another one by an HTTP
// request CONNECT with the target's address, and its id in the header below.
// After status 200 all bytes are relayed; the other statuses are those of
// TunnelStatus. Bytes to the target are relayed as they are. Bytes from it come
// as net::RelayFrameReader reads them if both sides have sent the header
// kTunnelFramingHeader, and as they are if not: instances of former versions do
// not know it.

/// Header with the id of the target to connect to: its address may have been
/// taken over by another target.
inline constexpr const char* kTunnelTargetHeader = "Tunnel-Target";

/// Header of a request for frames, and of the reply that grants them.
inline constexpr const char* kTunnelFramingHeader = "Tunnel-Framing";
inline constexpr const char* kTunnelFraming = "size";

/// Time in which a peer connects to the target or reports that it does not.
inline constexpr core::Duration kTunnelConnectTimeout =
  std::chrono::milliseconds(200);

/// @brief A peer's reply to the request for a tunnel.
enum class TunnelStatus : std::uint16_t
{
  kOpen = 200,
  kUnknownTarget = 404, ///< Not registered, as far as the peer knows.
  /// Nothing listens at the target's address, and the peer reaches others.
  kTargetRefused = 502,
  /// The peer takes no tunnel: it is stopping, has too many, or does not reach
  /// the target itself.
  kRejected = 503,
  kTargetSilent = 504, ///< The target did not respond to the peer.
};

/// @brief The outcome of a request for a tunnel.
struct TunnelReply
{
  TunnelStatus status = TunnelStatus::kRejected;
  std::string error;         ///< Empty if it is open.
  bool is_from_peer = false; ///< The peer replied, and did not just fail.
};

/// @brief Opens a tunnel over a connection that is not connected yet. When the
/// tunnel is open, the connection is one to the target: it reads an end only
/// where the target, and not the peer, has ended in order.
boost::asio::awaitable<TunnelReply>
OpenTunnel(std::shared_ptr<net::OutboundConnection> aConnection,
           boost::asio::ip::tcp::endpoint aPeer,
           core::TargetId aTarget,
           boost::asio::ip::tcp::endpoint aTargetEndpoint);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_TUNNEL_HPP
