#ifndef JUJUBEHEAD_NODE_CONTROL_STREAM_ORIGIN_EXCHANGE_HPP
#define JUJUBEHEAD_NODE_CONTROL_STREAM_ORIGIN_EXCHANGE_HPP

#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <map>         // for map
#include <memory>      // for unique_ptr, shared_ptr
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/membership/holder_ring.hpp"        // for HolderRing
#include "jujubehead/core/membership/instance_directory.hpp" // for KnownInstance
#include "jujubehead/core/membership/stream_origins.hpp" // for StreamOrigins
#include "jujubehead/core/routing/software_versions.hpp" // for SoleVersions
#include "jujubehead/net/http_client.hpp"                // for HttpClient
#include "jujubehead/net/http_server.hpp"                // for HttpExchange
#include "jujubehead/node/metrics.hpp"                   // for Gauge

namespace jujubehead::node {

/// Path of the request by which an instance passes on origins of streams.
inline constexpr std::string_view kStreamOriginsPath = "/stream-origins";
/// Path of the request by which it asks for that of one stream.
inline constexpr std::string_view kStreamOriginPath = "/stream-origin";

/// @brief Keeps the origin of each stream at two instances beside the one that
/// began it, in different data centres where possible, so that it outlives that
/// one and any instance finds it.
///
/// The two are found by hashing, so an instance sends and keeps as much in a
/// fleet of any size. Origins are sent in batches.
class StreamOriginExchange
{
public:
  StreamOriginExchange(boost::asio::io_context& aContext, std::string aSelf);

  /// @brief Sets the instances, this one included.
  void SetInstances(std::vector<core::KnownInstance> aAll);
  /// @brief Sets the services at which one version alone has served.
  void SetSole(core::SoleVersions aSole) { m_sole = std::move(aSole); }

  /// @brief Passes on origins of this instance's streams.
  void Report(const std::vector<core::StreamOrigin>& aOrigins);
  /// @return the version at which a stream of a service began; nothing if
  /// nobody knows it. A record goes before any instance's view that one version
  /// alone has served, this one's included: views lag, and where no other
  /// version is left, streams begin at a new one at once.
  boost::asio::awaitable<std::optional<std::string>> Find(
    core::StreamKey aStream,
    core::ServiceId aService);

  /// @brief Answers a kStreamOriginsPath request of another instance.
  boost::asio::awaitable<void> HandleReport(net::HttpExchange& aExchange);
  /// @brief Answers a kStreamOriginPath request.
  boost::asio::awaitable<void> HandleFind(net::HttpExchange& aExchange);
  [[nodiscard]] std::vector<Gauge> Gauges() const;

private:
  /// Answers to one question, while it is asked.
  struct Question;

  /// @return the instances that keep a stream's origin.
  [[nodiscard]] std::vector<const core::KnownInstance*> HoldersOf(
    core::StreamKey aStream) const;
  boost::asio::awaitable<void> SendPending();
  boost::asio::awaitable<void> Send(std::string aAddress, std::string aBytes);
  boost::asio::awaitable<void> Ask(std::string aAddress,
                                   std::string aPathAndQuery,
                                   std::shared_ptr<Question> aQuestion);

  boost::asio::io_context& m_context;
  std::string m_self;
  std::vector<core::KnownInstance> m_instances;
  core::HolderRing m_ring;
  core::StreamOrigins m_origins;
  core::SoleVersions m_sole;
  std::map<std::string, std::vector<core::StreamOrigin>>
    m_pending; ///< By address.
  bool m_is_sending = false;
  std::unique_ptr<net::HttpClient> m_client;
  std::uint64_t m_sent_bytes = 0;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_STREAM_ORIGIN_EXCHANGE_HPP
