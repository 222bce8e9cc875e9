#ifndef JUJUBEHEAD_NODE_CONTROL_ROLLOUT_COORDINATOR_HPP
#define JUJUBEHEAD_NODE_CONTROL_ROLLOUT_COORDINATOR_HPP

#include <cstdint>  // for uint64_t
#include <map>      // for map
#include <optional> // for optional
#include <set>      // for set
#include <string>   // for string
#include <vector>   // for vector

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/routing/target_directory.hpp"  // for RegisteredTarget
#include "jujubehead/core/weights/coordinator_lease.hpp" // for CoordinatorLease
#include "jujubehead/core/weights/order_reach.hpp"       // for OrderReach
#include "jujubehead/core/weights/rollout.hpp"           // for DesiredWeights
#include "jujubehead/net/timer.hpp"                      // for Timer
#include "jujubehead/node/control/platform.hpp"          // for SharedRows
#include "jujubehead/node/forward/entry_options.hpp"     // for EntryOptions

#include "../forward/forwarder.hpp" // for Forwarder

namespace jujubehead::node {

/// @brief Rolls out new weights to the targets while this instance holds the
/// lease for orders, and publishes to the traffic thread which targets are
/// loading, whichever instance ordered it.
class RolloutCoordinator
{
public:
  RolloutCoordinator(boost::asio::io_context& aContext,
                     const EntryOptions& aOptions,
                     SharedRows& aShared,
                     TargetOrders& aOrders,
                     const core::RemoteClock& aStoreClock,
                     Forwarder& aForwarder);

  void Start();
  /// @brief This instance is shutting down.
  void BeginStop() { m_lease.Retire(); }
  void SetWanted(std::map<core::ModelId, core::DesiredWeights> aWanted);
  /// @brief The deadlines changed, but no version.
  void SetDeadlines(std::map<core::ModelId, core::DesiredWeights> aWanted);
  /// @brief Applies changes of the registered targets.
  void ApplyTargets(const std::vector<core::RegistrationChange>& aChanges);
  void OnSharedUpdate(const SharedUpdate& aUpdate, bool aIsAll);
  /// @brief Delays attempts to take the lease, for instances that are too small
  /// to send thousands of orders while larger ones can.
  void SetLeaseDelay(core::Duration aDelay) { m_lease_delay = aDelay; }
  [[nodiscard]] bool HoldsLease() const;

private:
  /// State of one model's roll-out.
  struct Rollout
  {
    std::map<core::TargetId, std::uint64_t> loaded; ///< Confirmed versions.
    std::set<core::TargetId> loading; ///< On behalf of this instance.
    /// Likewise, but with an unanswered order; they keep serving.
    std::set<core::TargetId> unanswered;
    std::map<core::TargetId, core::Instant> not_before;
    std::set<core::TargetId> loading_elsewhere;
    core::Instant received_at{}; ///< Of loading_elsewhere.
    std::uint64_t row_version = 0;
    core::Instant written_at{};    ///< When the state was last written.
    bool is_write_pending = false; ///< A write waits for its turn.
  };

  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> RunStep();
  boost::asio::awaitable<bool> WriteLease();
  boost::asio::awaitable<void> WriteState(core::ModelId aModel);
  /// @brief Writes the state at once, or, soon after the last write, in its
  /// turn: thousands of targets finish within seconds, and each write has all
  /// of them.
  boost::asio::awaitable<void> WriteStateInTurn(core::ModelId aModel);
  [[nodiscard]] core::Duration PollInterval(const core::ModelId& aModel) const;
  boost::asio::awaitable<void> LoadTarget(core::ModelId aModel,
                                          core::RegisteredTarget aTarget);
  /// State kept between two polls of a target that is to load.
  struct Loading
  {
    core::Instant started_at{};
    core::Instant last_order{};
    std::uint64_t orders_taken = 0; ///< Before the last order.
  };

  boost::asio::awaitable<bool> TryLoad(const core::ModelId& aModel,
                                       const core::RegisteredTarget& aTarget,
                                       Loading& aLoading);
  /// @return nothing without an answer; the order may still be executed.
  boost::asio::awaitable<std::optional<OrderAnswer>> SendOrder(
    const core::ModelId& aModel,
    const core::RegisteredTarget& aTarget,
    const WeightsReport& aReport,
    Loading& aLoading);
  void OnNoResponse(const core::TargetId& aTarget);
  /// @return whether the state changed.
  bool SetUnanswered(const core::ModelId& aModel,
                     const core::TargetId& aTarget,
                     bool aIsUnanswered);
  void OnLoaded(const core::ModelId& aModel,
                const core::TargetId& aTarget,
                std::uint64_t aVersion);
  void ReadLease(const SharedRow& aRow);
  void ReadState(const core::ModelId& aModel, const SharedRow& aRow);
  void PublishLoading();
  void Wake();
  /// @brief Notes whether a target has older weights of a model than wanted.
  void UpdateOutdated(const core::ModelId& aModel,
                      const core::TargetId& aTarget);
  [[nodiscard]] bool HasWork() const;
  [[nodiscard]] std::vector<core::RolloutTarget> TargetsOf(
    const core::ModelId& aModel) const;
  /// @return the newest version that a target is known to hold; nothing when it
  /// has none or is leaving.
  [[nodiscard]] std::optional<std::uint64_t> VersionAt(
    const core::RegisteredTarget& aTarget,
    const core::ModelId& aModel) const;

  boost::asio::io_context& m_context;
  SharedRows& m_shared;
  TargetOrders& m_orders;
  const core::RemoteClock& m_store_clock;
  Forwarder& m_forwarder;
  core::CoordinatorLease m_lease;
  core::OrderReach m_reach;
  net::Timer m_wake;
  core::Duration m_lease_delay{};
  std::map<core::ModelId, core::DesiredWeights> m_wanted;
  std::map<core::TargetId, core::RegisteredTarget> m_targets;
  std::map<core::ModelId, std::set<core::TargetId>> m_outdated;
  std::map<core::ModelId, Rollout> m_rollouts;
  std::set<core::TargetId> m_published;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_ROLLOUT_COORDINATOR_HPP
