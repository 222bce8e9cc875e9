#ifndef JUJUBEHEAD_NODE_FORWARD_TUNNEL_SERVER_HPP
#define JUJUBEHEAD_NODE_FORWARD_TUNNEL_SERVER_HPP

#include <atomic>  // for atomic
#include <cstddef> // for size_t
#include <cstdint> // for uint16_t
#include <memory>  // for shared_ptr
#include <string>  // for string

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context
#include <boost/asio/ip/tcp.hpp>     // for tcp

#include "forward_state.hpp" // for ForwardState
#include "tunnel.hpp"        // for TunnelStatus

namespace jujubehead::node {

/// @brief Opens connections to targets for other instances and relays their
/// bytes. Runs on the traffic thread.
class TunnelServer
{
public:
  /// @param aAddress `ip:port`; listens nowhere if empty.
  /// @throws boost::system::system_error when the address cannot be bound.
  TunnelServer(boost::asio::io_context& aContext,
               const std::string& aAddress,
               ForwardState& aState);

  void Start();
  /// @brief Ends the listener; open tunnels go on.
  void Stop();
  /// @return the open tunnels; any thread may ask.
  [[nodiscard]] std::size_t Tunnels() const { return *m_tunnels; }
  /// @return the port at which it listens; 0: none.
  [[nodiscard]] std::uint16_t Port() const;

private:
  struct TunnelRequest
  {
    std::string target; ///< Its id.
    bool wants_frames = false;
  };

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket aInstance);
  boost::asio::awaitable<void> ServeRequest(
    boost::asio::ip::tcp::socket aInstance);
  /// @return the request; without a target if it was not a valid one.
  boost::asio::awaitable<TunnelRequest> ReadRequest(
    boost::asio::ip::tcp::socket& aInstance);
  /// @brief Connects to a target, if this instance may.
  boost::asio::awaitable<TunnelStatus> Connect(
    const std::string& aTarget,
    std::shared_ptr<net::OutboundConnection>& aConnection);

  ForwardState& m_state;
  boost::asio::ip::tcp::acceptor m_acceptor;
  /// Shared with the tunnels, which may outlive this.
  std::shared_ptr<std::atomic<std::size_t>> m_tunnels;
  std::size_t m_requests = 0; ///< For tunnels that are not open yet.
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_TUNNEL_SERVER_HPP
