#ifndef JUJUBEHEAD_NODE_FORWARD_TARGET_FLEET_HPP
#define JUJUBEHEAD_NODE_FORWARD_TARGET_FLEET_HPP

#include <cstddef>       // for size_t
#include <cstdint>       // for uint64_t
#include <map>           // for map
#include <memory>        // for shared_ptr
#include <optional>      // for optional
#include <set>           // for set
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include <boost/asio/ip/tcp.hpp> // for tcp

#include "jujubehead/core/routing/cold_share.hpp"        // for ColdShare
#include "jujubehead/core/routing/cold_start.hpp"        // for ColdStart
#include "jujubehead/core/routing/concurrency_share.hpp" // for ConcurrencyShare
#include "jujubehead/core/routing/load_estimate.hpp"     // for LoadEstimate
#include "jujubehead/core/routing/load_reports.hpp"      // for TargetLoadReport
#include "jujubehead/core/routing/target_backoff.hpp"    // for TargetBackoff
#include "jujubehead/core/routing/target_directory.hpp"  // for RegisteredTarget
#include "jujubehead/core/routing/target_health.hpp"     // for TargetHealth
#include "jujubehead/core/routing/target_limit.hpp"      // for TargetLimit
#include "jujubehead/net/http1/outbound_connection.hpp" // for OutboundConnection

namespace jujubehead::node {

/// @brief The traffic thread's state of a target.
struct FleetTarget
{
  core::RegisteredTarget target;
  std::uint64_t name_hash = 0; ///< For placement.
  boost::asio::ip::tcp::endpoint endpoint;
  core::TargetHealth health;
  core::LoadEstimate load;
  core::ColdStart cold_start;
  core::ColdShare cold_share;
  core::TargetBackoff backoff;
  core::TargetLimit limit;
  core::ConcurrencyShare concurrency;
  std::uint32_t reported_slots = 0;   ///< By its last reply; 0: unknown.
  core::Instant limit_reported_at{};  ///< To other instances.
  std::size_t holder_rank = 0;        ///< By ForwardState::RankOf().
  std::uint64_t holder_rank_from = 0; ///< Number of the ring that it is of.
  bool is_gone = false;               ///< Has left the registry or is leaving.
  bool is_stopped = false;            ///< Its data centre has a planned stop.
  bool is_loading = false;            ///< Is loading new weights.
  core::Instant last_response_at{};   ///< Last response to this instance.
  core::Instant
    last_gone_report_at{}; ///< Last such report of another instance.
  /// Its process has ended; a restarted one has another id.
  bool has_crashed = false;
  /// Since when its replies say that it is about to leave. Never reset: what a
  /// process said of itself is newer than its entry in the registry.
  std::optional<core::Instant> draining_since;
  core::Instant path_checked_at{};  ///< By this instance, see TargetConnector.
  std::uint32_t active_streams = 0; ///< Streams of this instance.
  /// New streams begin here from this time on, see TargetFleet.
  core::Instant streams_from{};
  std::size_t service_index = 0; ///< Its index in its service's targets.

  /// @return whether requests may be sent to it, however loaded it is.
  [[nodiscard]] bool Accepts(core::Instant aNow) const
  {
    return AcceptsWhileCold(aNow) && !cold_start.IsCold(aNow);
  }
  /// @return the same, but for a request of the instance's cold_share.
  [[nodiscard]] bool AcceptsWhileCold(core::Instant aNow) const
  {
    return !IsLeaving() && !is_stopped && !is_loading &&
           !backoff.IsActive(aNow);
  }
  /// @return whether it has left or is about to, by the registry or by its
  /// replies.
  [[nodiscard]] bool IsLeaving() const
  {
    return is_gone || draining_since.has_value();
  }
  /// @return the requests that it runs concurrently.
  [[nodiscard]] std::uint32_t Slots() const;
  /// @brief It is cold until `aUntil`, by its registration, or may be.
  void OnCold(core::Instant aNow, core::Instant aUntil, bool aIsReported);
  /// @brief A reply says that it is about to leave. Closes idle connections.
  /// @return whether that is news.
  bool OnDraining(core::Instant aNow);
  /// @brief Its process has ended: it is set aside as an unreachable one.
  /// @return whether that is news.
  bool OnCrashed(core::Instant aNow);
  /// @return the newest known version of a model's weights.
  [[nodiscard]] std::optional<std::uint64_t> VersionOf(
    const core::ModelId& aModel) const;
  /// @brief Applies another instance's report. A report that the target is gone
  /// counts only if it is newer than the last response to this instance.
  void OnReport(const core::TargetLoadReport& aReport, core::Instant aNow);
  /// @brief Records a version that the target holds.
  void OnVersion(const core::ModelId& aModel, std::uint64_t aVersion);

  /// @return a connection idle for at most this time; null when there is none.
  std::shared_ptr<net::OutboundConnection> TakeIdleConnection(
    core::Duration aMaxIdle);
  void PutIdleConnection(std::shared_ptr<net::OutboundConnection> aConnection);
  /// @brief Sets the target's keep-alive time of idle connections.
  void OnKeepAlive(core::Duration aTime);
  void CloseIdleConnections();

private:
  std::map<core::ModelId, std::uint64_t> m_reported_versions;
  std::vector<std::shared_ptr<net::OutboundConnection>> m_idle_connections;
  std::optional<core::Duration> m_keep_alive;
};

/// @brief All registered targets. Their state survives registry updates, and
/// the loss of an entry that returns for the same process.
class TargetFleet
{
public:
  /// @brief Replaces the targets by those in the registry.
  void Update(const std::vector<core::RegisteredTarget>& aTargets);
  /// @brief Applies changes of the registry. Costs as much as there are
  /// changes, however many targets.
  void Apply(const std::vector<core::RegistrationChange>& aChanges);
  /// @brief Applies reports of other instances.
  void ApplyReports(const std::vector<core::TargetLoadReport>& aReports);
  /// @brief Sets which targets are loading new weights.
  void SetLoading(const std::set<core::TargetId>& aTargets);
  /// @brief Sets which data centres have a planned stop.
  /// @param aEnded those whose stop has just ended: their targets may have
  /// become cold meanwhile and count as such.
  void SetStoppedDataCentres(std::set<core::DataCentreId> aStopped,
                             const std::set<core::DataCentreId>& aEnded = {});
  /// @brief Sets how long the targets of each service stay cold.
  void SetColdTimes(
    std::unordered_map<core::ServiceId, core::Duration> aColdTimes);

  /// @return the targets of a service that accept requests, except those that
  /// are loading weights, cold or in backoff for the moment; see
  /// FleetTarget::Accepts().
  [[nodiscard]] std::vector<std::shared_ptr<FleetTarget>> Of(
    const core::ServiceId& aService) const;
  [[nodiscard]] bool IsStopped(const core::DataCentreId& aDataCentre) const
  {
    return m_stopped.contains(aDataCentre);
  }
  /// @return this instance's requests at targets of a data centre.
  [[nodiscard]] std::uint64_t RequestsIn(
    const core::DataCentreId& aDataCentre) const;
  /// @return this instance's requests in all data centres with a planned stop.
  [[nodiscard]] std::uint64_t RequestsInStopped() const;
  /// @return at most `aCount` targets but one, spread over the fleet.
  [[nodiscard]] std::vector<std::shared_ptr<FleetTarget>> Sample(
    const core::TargetId& aBut,
    std::size_t aCount,
    std::uint64_t aRandom) const;
  [[nodiscard]] std::shared_ptr<FleetTarget> Find(
    const core::TargetId& aId) const;
  [[nodiscard]] std::shared_ptr<FleetTarget> FindByKey(
    core::TargetKey aKey) const;
  [[nodiscard]] bool IsEmpty() const { return m_targets.empty(); }

private:
  /// A target without an entry in the registry.
  struct Departed
  {
    std::shared_ptr<FleetTarget> target;
    core::Instant since{};
  };

  /// A software version of a service.
  struct SoftwareVersion
  {
    std::size_t targets = 0;
    core::Instant seen_at{}; ///< First, since it was gone.
    core::Instant gone_at{};
  };

  void Put(const core::RegisteredTarget& aTarget);
  /// @brief Counts a target for its software version. Streams begin at a
  /// version only when all instances have had time to see it: one that believes
  /// another to be the only one would go on with them there.
  void CountSoftware(FleetTarget& aTarget);
  void UncountSoftware(const FleetTarget& aTarget);
  void Remove(const core::TargetId& aId);
  /// @brief Adds a target, with its state if it is one that departed.
  std::shared_ptr<FleetTarget> Insert(
    const core::RegisteredTarget& aTarget,
    const boost::asio::ip::tcp::endpoint& aEndpoint);
  std::shared_ptr<FleetTarget> Create(
    const core::RegisteredTarget& aTarget,
    const boost::asio::ip::tcp::endpoint& aEndpoint);
  void ForgetDeparted();
  void UpdateColdStart(FleetTarget& aTarget, core::Instant aNow) const;
  /// @brief Treats a target as cold if a stop of its data centre ended within
  /// its service's cold time.
  void ApplyEndOfStop(FleetTarget& aTarget, core::Instant aNow) const;

  std::map<core::TargetId, std::shared_ptr<FleetTarget>> m_targets;
  std::unordered_map<core::ServiceId, std::vector<std::shared_ptr<FleetTarget>>>
    m_by_service;
  std::unordered_map<core::TargetKey, std::shared_ptr<FleetTarget>> m_by_key;
  /// Versions that are there at the start are known to all.
  bool m_is_first_read = false;
  std::map<core::TargetId, Departed> m_departed;
  std::unordered_map<core::ServiceId, std::map<std::string, SoftwareVersion>>
    m_software;
  std::set<core::TargetId> m_loading;
  std::set<core::DataCentreId> m_stopped;
  std::map<core::DataCentreId, core::Instant> m_stop_ended_at;
  std::unordered_map<core::ServiceId, core::Duration> m_cold_times;
  std::unordered_map<core::ServiceId, std::shared_ptr<core::ServiceLoadAverage>>
    m_usual;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_TARGET_FLEET_HPP
