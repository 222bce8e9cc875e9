#ifndef JUJUBEHEAD_NET_PEER_LINK_HPP
#define JUJUBEHEAD_NET_PEER_LINK_HPP

#include <cstddef>    // for byte, size_t
#include <cstdint>    // for uint16_t, uint64_t
#include <functional> // for function
#include <memory>     // for unique_ptr
#include <span>       // for span
#include <string>     // for string
#include <vector>     // for vector

#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/ids.hpp"           // for InstanceId
#include "jujubehead/core/runtime_clock.hpp" // for Duration
#include "jujubehead/net/tls.hpp"            // for TlsCredentials

namespace jujubehead::net {

using Bytes = std::vector<std::uint8_t>;

/// @brief Settings of the links between instances.
struct PeerLinksOptions
{
  core::InstanceId self;
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  /// Shared secret that both ends prove by HMAC over fresh nonces.
  std::string secret;
  core::Duration idle_close = std::chrono::seconds(60);
  core::Duration connect_timeout = std::chrono::seconds(1);
  std::size_t message_limit = 1024UL * 1024;        ///< Bytes.
  std::size_t send_queue_limit = 4UL * 1024 * 1024; ///< Bytes waiting, a link.
  /// Speaks TLS with these, at both ends; null: plain.
  std::shared_ptr<const TlsCredentials> tls = nullptr;
};

/// @brief Counters of the links, for metrics.
struct PeerLinksCounters
{
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t refused = 0;    ///< Links refused at authentication.
  std::uint64_t dropped = 0;    ///< Messages dropped: link down or queue full.
  std::uint64_t open_links = 0; ///< Links that are open now.
};

/// @brief Links to the other instances, over websockets on one io_context.
///
/// Messages are delivered at most once and in order while a link holds; a
/// message may be lost when the link breaks, so callers time out and retry.
class PeerLinks
{
public:
  /// Called on the io_context's thread.
  using OnMessage = std::function<void(const core::InstanceId& aFrom,
                                       std::span<const std::uint8_t> aBytes)>;

  /// @throws std::runtime_error when the address cannot be bound.
  static std::unique_ptr<PeerLinks> Create(boost::asio::io_context& aContext,
                                           PeerLinksOptions aOptions,
                                           OnMessage aOnMessage);
  virtual ~PeerLinks() = default;

  [[nodiscard]] virtual std::uint16_t Port() const = 0;
  /// @brief Says where an instance is (`address:port`); dialled on first use.
  /// An empty address forgets the instance.
  virtual void SetAddress(const core::InstanceId& aPeer,
                          std::string aAuthority) = 0;
  /// @brief Sends, dialling if needed.
  /// @return false when the peer's address is unknown or its queue is full.
  virtual bool Send(const core::InstanceId& aTo, Bytes aBytes) = 0;
  [[nodiscard]] virtual PeerLinksCounters Counters() const = 0;
  /// @brief Closes all links and stops listening.
  virtual void Close() = 0;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_PEER_LINK_HPP
