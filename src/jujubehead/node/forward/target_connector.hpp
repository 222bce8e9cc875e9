#ifndef JUJUBEHEAD_NODE_FORWARD_TARGET_CONNECTOR_HPP
#define JUJUBEHEAD_NODE_FORWARD_TARGET_CONNECTOR_HPP

#include <atomic>     // for atomic
#include <functional> // for function
#include <memory>     // for shared_ptr
#include <optional>   // for optional
#include <random>     // for mt19937_64
#include <set>        // for set
#include <string>     // for string
#include <vector>     // for vector

#include <boost/asio/any_io_executor.hpp> // for any_io_executor
#include <boost/asio/awaitable.hpp>       // for awaitable

#include "jujubehead/core/membership/tunnel_peers.hpp"  // for TunnelPeers
#include "jujubehead/core/routing/direct_paths.hpp"     // for DirectPaths
#include "jujubehead/net/http1/outbound_connection.hpp" // for OutboundConnection
#include "jujubehead/net/timer.hpp"                     // for Timer
#include "jujubehead/node/forward/entry_options.hpp"    // for EntryOptions
#include "jujubehead/node/metrics.hpp"                  // for ThreadMetrics

#include "target_fleet.hpp" // for FleetTarget, TargetFleet
#include "tunnel.hpp"       // for TunnelReply

namespace jujubehead::node {

/// @brief An open connection to a target, or why there is none.
struct TargetConnection
{
  std::shared_ptr<net::OutboundConnection> connection; ///< Null: none.
  /// The instance through which it goes; empty: it is direct.
  std::string peer;
  /// Counts the tunnel as one of its peer while it exists.
  std::shared_ptr<void> tunnel_use;
  /// Nothing listens at the target's address, and not only for this instance.
  bool is_refused = false;
  std::string error;
};

class TargetConnector;

/// @brief One attempt to connect to a target: directly, and through other
/// instances if that fails or takes long. The first connection counts.
///
/// No byte of a request is sent before there is a connection, so an attempt may
/// try several ways at once.
class ConnectionAttempt : public std::enable_shared_from_this<ConnectionAttempt>
{
public:
  ConnectionAttempt(TargetConnector& aConnector,
                    const boost::asio::any_io_executor& aExecutor,
                    std::shared_ptr<FleetTarget> aTarget,
                    core::Homes aHomes);

  /// @brief Waits for the first connection, or until all ways have failed.
  boost::asio::awaitable<TargetConnection> Wait();
  /// @brief Ends the attempt without a connection.
  void Cancel();

private:
  [[nodiscard]] bool IsOver() const;
  bool StartNextWay();
  void StartDirect();
  bool StartTunnel();
  boost::asio::awaitable<void> ConnectDirectly();
  boost::asio::awaitable<void> ConnectThrough(core::TunnelPeer aPeer);
  void OnTunnel(const core::TunnelPeer& aPeer,
                const TunnelReply& aReply,
                const std::shared_ptr<net::OutboundConnection>& aConnection);
  void OnFailed(std::string aError);
  /// @brief Records that the direct path is lost, once it has failed and
  /// another instance has reached the target.
  void UpdatePath();

  TargetConnector& m_connector;
  boost::asio::any_io_executor m_executor;
  std::shared_ptr<FleetTarget> m_target;
  core::Homes m_homes;
  net::Timer m_wake;
  std::vector<std::shared_ptr<net::OutboundConnection>> m_tunnels;
  std::shared_ptr<net::OutboundConnection> m_direct;
  std::set<std::string> m_tried_peers;
  std::size_t m_pending = 0;
  core::Instant m_next_start{};                ///< When another way is tried.
  std::optional<core::PathLoss> m_direct_loss; ///< Set when it has failed.
  std::string m_reached_by; ///< A peer that reached the target.
  TargetConnection m_result;
  bool m_has_tried_directly = false;
  bool m_is_directly_refused = false; ///< Nothing listens there, as seen here.
  bool m_has_peer_replied = false;    ///< Whether or not it opened a tunnel.
  bool m_is_cancelled = false;
  bool m_has_ended = false;
};

/// @brief Opens connections to targets, directly or, where this instance has no
/// path, through other instances (HTTP CONNECT), and checks lost paths until
/// they are back. Used by the traffic thread only.
///
/// All decisions about a request, its retries and its deadline stay with this
/// instance: a peer relays bytes. It connects directly, never through a third
/// instance.
class TargetConnector
{
public:
  TargetConnector(const EntryOptions& aOptions,
                  TargetFleet& aFleet,
                  ThreadMetrics& aMetrics);

  /// @brief Sets the other instances.
  void SetInstances(const std::vector<core::KnownInstance>& aOthers)
  {
    m_peers->Update(aOthers);
  }

  /// @brief Begins to connect to a target.
  /// @param aHomes the regions through which the request may pass.
  std::shared_ptr<ConnectionAttempt> Begin(
    const boost::asio::any_io_executor& aExecutor,
    std::shared_ptr<FleetTarget> aTarget,
    core::Homes aHomes);
  /// @brief Checks in the background whether this instance still has a path to
  /// a target. Does nothing if a check of the target has just begun.
  void Check(const boost::asio::any_io_executor& aExecutor,
             const std::shared_ptr<FleetTarget>& aTarget);
  /// @return whether open connections to a target may be used for a request.
  [[nodiscard]] bool MayReuse(const core::TargetId& aTarget,
                              bool aIsRepeatable) const
  {
    return !m_paths.IsLost(aTarget) ||
           (aIsRepeatable && !m_paths.IsSilent(aTarget));
  }
  [[nodiscard]] const core::DirectPaths& Paths() const { return m_paths; }
  /// @brief A response came over a direct connection.
  void OnDirectResponse(core::Instant aNow) { m_last_direct_response = aNow; }
  /// @brief Finds out whether this instance reaches any target but one: whether
  /// what it found of that one says something about it.
  boost::asio::awaitable<bool> ReachesOthers(
    boost::asio::any_io_executor aExecutor,
    core::TargetId aTarget);
  /// @return whether no target has responded directly for a while.
  [[nodiscard]] bool IsSilent(core::Instant aNow) const;

  /// @return the number of lost paths; any thread may ask.
  [[nodiscard]] std::size_t LostPaths() const { return m_lost_count; }
  [[nodiscard]] bool IsPartitioned() const { return m_is_partitioned; }

private:
  friend class ConnectionAttempt;

  void OnConnected(const core::TargetId& aTarget);
  void OnLost(const boost::asio::any_io_executor& aExecutor,
              FleetTarget& aTarget,
              core::PathLoss aLoss,
              const std::string& aPeer);
  /// @brief Publishes and logs what has changed.
  void UpdateState();
  boost::asio::awaitable<void> CheckLostPaths(
    boost::asio::any_io_executor aExecutor);
  boost::asio::awaitable<void> RunCheck(
    std::shared_ptr<ConnectionAttempt> aAttempt,
    std::shared_ptr<FleetTarget> aTarget);
  [[nodiscard]] std::shared_ptr<void> UseOf(const std::string& aPeer);

  const EntryOptions& m_options;
  TargetFleet& m_fleet;
  ThreadMetrics& m_metrics;
  core::DirectPaths m_paths;
  /// Shared with the uses of tunnels, which may outlive this.
  std::shared_ptr<core::TunnelPeers> m_peers;
  std::mt19937_64 m_random;
  core::Instant m_last_direct_response{};
  core::Instant m_last_connected{};
  core::Instant m_partitioned_since{};
  bool m_is_checking = false; ///< CheckLostPaths() runs.
  std::atomic<std::size_t> m_lost_count{ 0 };
  std::atomic<bool> m_is_partitioned{ false };
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_TARGET_CONNECTOR_HPP
