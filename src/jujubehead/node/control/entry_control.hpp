#ifndef JUJUBEHEAD_NODE_CONTROL_ENTRY_CONTROL_HPP
#define JUJUBEHEAD_NODE_CONTROL_ENTRY_CONTROL_HPP

#include <algorithm>   // for min
#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <memory>      // for unique_ptr
#include <string_view> // for string_view
#include <vector>      // for vector

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/membership/fleet_share.hpp"        // for FleetShare
#include "jujubehead/core/membership/instance_directory.hpp" // for InstanceDirectory
#include "jujubehead/core/membership/store_paths.hpp"        // for StorePaths
#include "jujubehead/core/routing/data_centre_stops.hpp" // for DataCentreStops
#include "jujubehead/core/routing/quarantine_records.hpp" // for QuarantineRecords
#include "jujubehead/core/routing/software_versions.hpp" // for SoftwareVersions
#include "jujubehead/core/routing/stream_lifetime.hpp"   // for StreamLifetime
#include "jujubehead/core/routing/target_directory.hpp"  // for TargetDirectory
#include "jujubehead/node/control/platform.hpp"          // for Platform
#include "jujubehead/node/forward/entry_options.hpp"     // for EntryOptions

#include "../forward/forwarder.hpp"   // for Forwarder
#include "block_reclaimer.hpp"        // for BlockReclaimer
#include "crash_recorder.hpp"         // for CrashRecorder
#include "hub_exchange.hpp"           // for HubExchange
#include "poison_exchange.hpp"        // for PoisonExchange
#include "rollout_coordinator.hpp"    // for RolloutCoordinator
#include "store_watch.hpp"            // for StoreWatch
#include "stream_origin_exchange.hpp" // for StreamOriginExchange
#include "weights_deadlines.hpp"      // for WeightsDeadlines

namespace jujubehead::node {

/// @brief State of an entry instance's control thread: follows the operators'
/// store, the target registry, the stores and the other instances, and passes
/// updates to the traffic thread.
class EntryControl
{
public:
  EntryControl(boost::asio::io_context& aContext,
               const EntryOptions& aOptions,
               Platform aPlatform,
               core::StorePaths& aPaths,
               Forwarder& aForwarder);

  /// @brief Starts following; all later calls must be made on the context.
  void Start();
  /// @brief This instance is shutting down.
  void BeginStop() { m_rollout.BeginStop(); }
  /// @return whether there is enough state to serve callers.
  [[nodiscard]] bool IsReady() const;
  /// @return the version of the active declarations; 0 before the first.
  [[nodiscard]] std::uint64_t ConfigurationVersion() const;
  /// @return the rows read from the operators' store.
  [[nodiscard]] RowCache& CachedRows() const { return *m_platform.row_cache; }
  /// @brief Answers a request of another instance.
  /// @return false if it is for the relay of the operators' store.
  boost::asio::awaitable<bool> HandleInstance(net::HttpExchange& aExchange);
  [[nodiscard]] const HubExchange& Hubs() const { return m_hubs; }
  [[nodiscard]] const PoisonExchange& Poison() const { return m_poison; }
  [[nodiscard]] const StreamOriginExchange& Streams() const
  {
    return m_streams;
  }
  [[nodiscard]] std::size_t Targets() const { return m_book.Size(); }
  /// @return the instances that this one knows, itself included.
  [[nodiscard]] std::size_t Instances() const { return m_role.Known(); }
  /// @return the planned stops of data centres.
  [[nodiscard]] const core::DataCentreStops& Stops() const { return m_stops; }
  /// @return metrics of the wanted weights.
  [[nodiscard]] std::vector<Gauge> WeightsGauges() const
  {
    return m_deadlines.Gauges();
  }
  /// @return the version up to which all rows of the platform were read.
  [[nodiscard]] std::uint64_t ReadUpTo() const
  {
    return std::min(m_operator_cursor, m_registry_cursor);
  }

private:
  void OnOperatorUpdate(const OperatorUpdate& aUpdate, bool aIsAll);
  void OnRegistryUpdate(const RegistryUpdate& aUpdate, bool aIsAll);
  void OnSharedUpdate(const SharedUpdate& aUpdate, bool aIsAll);
  void SetInstances();
  /// @brief Updates which instances share the limits of targets.
  void UpdateHolders();
  /// @brief Updates this instance's share of the fleet's fixed retries.
  void UpdateShare();
  /// @return true once this instance either watches the operators' store itself
  /// or receives its rows from a hub.
  [[nodiscard]] bool IsSettled() const;
  /// @return whether this instance reads the operators' store, and others poll
  /// it for what it reads.
  [[nodiscard]] bool ReadsForOthers() const;
  /// @return whether all rows may be read from the operators' store. An
  /// instance that starts waits for a hub to send them.
  [[nodiscard]] bool MayReadAll() const;
  boost::asio::awaitable<void> MaintainInstanceRows();
  /// @brief Reads a row that records a quarantine.
  void OnQuarantineRow(const SharedRow& aRow);
  /// @brief Starts writing the next quarantine's row that is due, if any.
  void UpdateQuarantines();
  boost::asio::awaitable<void> WriteQuarantine(core::QuarantineRowWrite aWrite);
  /// @brief Records a request's next quarantine, so that a probe may be sent.
  boost::asio::awaitable<void> ClaimProbe(core::Quarantine aNext,
                                          ProbeReply aReply);
  /// @return the quarantine as recorded; nothing if another instance has.
  /// @throws PlatformError
  boost::asio::awaitable<std::optional<core::Quarantine>> RecordNext(
    core::Quarantine aNext);
  void SetPoisonHooks();
  void SetStreamHooks();
  boost::asio::awaitable<void> FindStream(core::StreamKey aStream,
                                          core::ServiceId aService,
                                          VersionReply aReply);
  /// @brief Updates the services at which one software version alone has
  /// served, as far as is known now.
  void UpdateSoleVersions();
  void PublishTargets();
  StoreWatchHooks MakeStoreHooks();
  BlockReclaimerHooks MakeReclaimerHooks();
  CrashRecorderHooks MakeCrashHooks();
  /// @return this instance's rank, from 0, in an order of all by a key.
  [[nodiscard]] std::size_t RankFor(std::string_view aKey) const;
  HubHooks MakeHubHooks();
  WeightsDeadlinesHooks MakeDeadlineHooks();
  void ApplyStops(const OperatorUpdate& aUpdate, bool aIsAll);
  void LogStop(std::string_view aEvent,
               const core::DataCentreId& aDataCentre) const;
  boost::asio::awaitable<void> TickRegistry();

  boost::asio::io_context& m_context;
  const EntryOptions& m_options;
  Platform m_platform;
  core::StorePaths& m_paths;
  Forwarder& m_forwarder;
  core::InstanceDirectory m_instances;
  core::HubRole m_role;
  core::FleetShare m_share;
  std::vector<std::string> m_holders; ///< Ids, as last passed on.
  /// When this instance may use its shares of the targets' limits.
  core::Instant m_holds_from = core::Instant::max();
  bool m_has_shared_rows = false; ///< All shared rows were read once.
  std::shared_ptr<const core::Configuration> m_configuration;
  core::TargetDirectory m_book;
  core::DataCentreStops m_stops;
  bool m_registry_read = false;
  std::uint64_t m_operator_cursor = 0;
  std::uint64_t m_registry_cursor = 0;
  bool m_has_shared_failed = false; ///< A read of the shared rows failed.
  /// Uniform in 0 to 1; spreads direct reads of instances that start together.
  double m_direct_read_share;
  WeightsDeadlines m_deadlines;
  RolloutCoordinator m_rollout;
  BlockReclaimer m_reclaimer;
  StoreWatch m_stores;
  core::QuarantineRecords m_quarantines;
  bool m_is_writing_quarantine = false;
  core::Instant m_next_poison_tick{};
  PoisonExchange m_poison;
  CrashRecorder m_crashes;
  StreamOriginExchange m_streams;
  core::SoftwareVersions m_software;
  core::StreamLifetime m_stream_lifetime;
  core::SoleVersions m_sole; ///< As last passed on.
  core::Instant m_operator_contact{};
  core::Instant m_registry_contact{}; ///< As of which the registry was read.
  HubExchange m_hubs;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_ENTRY_CONTROL_HPP
