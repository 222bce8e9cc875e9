#ifndef JUJUBEHEAD_NODE_FORWARD_FORWARD_STATE_HPP
#define JUJUBEHEAD_NODE_FORWARD_FORWARD_STATE_HPP

#include <atomic>        // for atomic
#include <cstdint>       // for uint64_t
#include <functional>    // for function
#include <map>           // for map
#include <memory>        // for shared_ptr
#include <optional>      // for optional
#include <random>        // for mt19937_64
#include <set>           // for set
#include <string>        // for string
#include <unordered_map> // for unordered_map
#include <utility>       // for exchange
#include <vector>        // for vector

#include "jujubehead/core/context/part_directory.hpp"    // for PartDirectory
#include "jujubehead/core/context/prefix_popularity.hpp" // for PrefixPopularity
#include "jujubehead/core/context/store_link.hpp"        // for StoreLink
#include "jujubehead/core/membership/holder_ring.hpp"    // for HolderRing
#include "jujubehead/core/membership/stream_origins.hpp" // for StreamOrigins
#include "jujubehead/core/overload/capacity.hpp"         // for Capacity
#include "jujubehead/core/overload/memory_budget.hpp"    // for MemoryBudget
#include "jujubehead/core/overload/stop_schedule.hpp"    // for StopSchedule
#include "jujubehead/core/routing/account_shares.hpp"    // for AccountShares
#include "jujubehead/core/routing/admission.hpp"         // for WaitPredictor
#include "jujubehead/core/routing/configuration.hpp"     // for Configuration
#include "jujubehead/core/routing/hedge_policy.hpp"      // for HedgePolicy
#include "jujubehead/core/routing/load_reports.hpp"      // for LoadReports
#include "jujubehead/core/routing/poison_requests.hpp"   // for PoisonRequests
#include "jujubehead/core/routing/probe_grants.hpp"      // for ProbeGrants
#include "jujubehead/core/routing/request_durations.hpp" // for RequestDurations
#include "jujubehead/core/routing/software_versions.hpp" // for SoleVersions
#include "jujubehead/core/routing/windowed_retry_budget.hpp" // for WindowedRetryBudget
#include "jujubehead/core/weights/rollout.hpp"       // for DesiredWeights
#include "jujubehead/node/forward/entry_options.hpp" // for EntryOptions
#include "jujubehead/node/forward/header_codec.hpp"  // for HeaderCodec
#include "jujubehead/node/metrics.hpp"               // for ThreadMetrics

#include "decision_log.hpp"     // for DecisionLog
#include "room_gate.hpp"        // for RoomGate
#include "target_clock.hpp"     // for TargetClock
#include "target_connector.hpp" // for TargetConnector
#include "target_fleet.hpp"     // for TargetFleet

namespace jujubehead::node {

class ForwardRun;

/// @brief Takes the quarantine that was recorded for a probe, if any.
using ProbeReply = std::function<void(std::optional<core::Quarantine>)>;

/// @brief Takes a software version, if it is known.
using VersionReply = std::function<void(std::optional<std::string>)>;

/// @brief State shared by the requests of the traffic thread. Accessed by that
/// thread only.
struct ForwardState
{
  ForwardState(const EntryOptions& aOptions,
               const HeaderCodec& aHeaderCodec,
               ThreadMetrics& aMetrics,
               DecisionLog& aLog)
    : options(aOptions)
    , header_codec(aHeaderCodec)
    , metrics(aMetrics)
    , log(aLog)
    , connector(aOptions, fleet, aMetrics)
    , capacity(core::CapacityOf(aOptions.machine))
    , memory(std::make_shared<core::MemoryBudget>(capacity.traffic_bytes))
    , poison(aOptions.poison)
    , random(std::random_device{}())
    , stop(aOptions.stop_grace)
  {
  }

  /// @return the retry budget of a service.
  core::WindowedRetryBudget& BudgetOf(const core::ServiceId& aService)
  {
    core::WindowedRetryBudget& budget =
      budgets.try_emplace(aService, options.repeats, started_at).first->second;
    budget.SetFixedShare(retry_share, retry_share_until);
    return budget;
  }

  /// @return when requests of a service are hedged.
  core::HedgePolicy& HedgesOf(const core::ServiceId& aService)
  {
    return hedges.try_emplace(aService, options.hedge_share).first->second;
  }

  /// @return whether the targets of a service are brittle.
  core::BrittleSignal& BrittleOf(const core::ServiceId& aService)
  {
    return brittle.try_emplace(aService, started_at).first->second;
  }

  /// @brief Reports the accounts' demands to the other instances, from time to
  /// time.
  void ReportAccounts(core::Instant aNow)
  {
    constexpr core::Duration kInterval = std::chrono::seconds(1);
    if (aNow - accounts_reported_at < kInterval) {
      return;
    }
    accounts_reported_at = aNow;
    accounts.Tick(aNow);
    for (const core::AccountDemand& demand :
         accounts.Report(options.instance_id, aNow)) {
      on_signal_report(core::AccountReport(demand, aNow));
    }
  }

  /// @return whether a planned stop was requested, even if no thread has come
  /// to handle that yet.
  bool IsStopping()
  {
    if (!stop.IsRequested()) {
      if (const auto requested_at = stop_requested()) {
        stop.Request(*requested_at);
      }
    }
    return stop.IsRequested();
  }

  /// @return the gate of a service whose routes compete; null for others.
  RoomGate* RoomOf(const core::ServiceId& aService)
  {
    const auto found = rooms.find(aService);
    return found == rooms.end() ? nullptr : &found->second;
  }

  /// @brief Applies what other instances received from targets.
  void ApplyReports(const std::vector<core::TargetLoadReport>& aReports)
  {
    fleet.ApplyReports(aReports);
    for (const core::TargetLoadReport& report : aReports) {
      if (report.kind == core::ReportKind::kBrittle) {
        ApplyBrittleReport(report);
      } else if (report.kind == core::ReportKind::kAccount) {
        accounts.OnReport(core::DemandOf(report), report.reported_at);
      }
    }
  }

  /// @return what a target can run concurrently.
  [[nodiscard]] core::TargetCapacity CapacityOf(
    const FleetTarget& aTarget) const
  {
    const core::DeclaredService* const service =
      configuration ? configuration->ServiceOf(aTarget.target.service)
                    : nullptr;
    return { aTarget.Slots(),
             service != nullptr ? service->kv_capacity_tokens : 0 };
  }
  /// @return this instance's rank for a target's slots.
  [[nodiscard]] core::HolderRank HolderRankOf(FleetTarget& aTarget,
                                              core::Instant aNow) const
  {
    return { RankOf(aTarget, aNow), holders.Size() };
  }

  /// @return this instance's rank among those that send to a target, when only
  /// a few do.
  [[nodiscard]] std::size_t RankOf(FleetTarget& aTarget,
                                   core::Instant aNow) const
  {
    if (aNow < holds_from) {
      return core::HolderRing::kMaxRank;
    }
    if (aTarget.holder_rank_from != holders_number) {
      aTarget.holder_rank_from = holders_number;
      aTarget.holder_rank = holders.RankOf(aTarget.name_hash);
    }
    return aTarget.holder_rank;
  }

  /// @return whether this instance may use its shares of cold targets: its view
  /// of the instances is fresh, and the others' views have it.
  [[nodiscard]] bool HoldsColdShares(core::Instant aNow) const
  {
    return retry_share > 0 && aNow < retry_share_until;
  }

  /// @brief Counts the requests left in data centres with a planned stop.
  /// Called when one of them ended in `aDataCentre`.
  void OnStoppedDataCentreProgress(const core::DataCentreId& aDataCentre)
  {
    requests_in_stopped = fleet.RequestsInStopped();
    if (fleet.IsStopped(aDataCentre) && fleet.RequestsIn(aDataCentre) == 0) {
      DecisionLog::WriteUnthrottled(
        LogLine("data_centre_empty").Add("data_centre", aDataCentre.View()));
    }
  }

  /// @brief Applies a report about a suspect, from a request of this instance
  /// or from another instance.
  void OnPoisonReport(const core::PoisonReport& aReport, bool aIsOwn)
  {
    const core::Instant now = core::RuntimeClock::now();
    const auto outcome = poison.OnReport(aReport, now);
    suspects = poison.Suspects();
    if (outcome.quarantine) {
      OnQuarantine(*outcome.quarantine);
    }
    if (outcome.is_new && aIsOwn) {
      on_poison_report(aReport);
    }
  }

  /// @brief Quarantines the parts of prompts whose evidence is complete.
  void DecidePoison()
  {
    for (const auto& begun : poison.Decide(core::RuntimeClock::now())) {
      OnQuarantine(begun);
    }
  }

  /// @brief A quarantine began or is over.
  void OnQuarantine(const core::Quarantine& aQuarantine)
  {
    quarantined = poison.Quarantined();
    LogQuarantine(aQuarantine);
    on_quarantine(aQuarantine);
  }

  /// @brief An event of a stream has come. Where one software version alone has
  /// served, its origin is known without a record.
  void OnStreamBegun(const core::StreamOrigin& aOrigin)
  {
    origins.Put(aOrigin, core::RuntimeClock::now());
    if (!sole_versions.contains(aOrigin.service)) {
      on_streams({ aOrigin });
    }
  }

  /// @brief Sets the services at which one software version alone has served.
  /// Streams of one that is no longer among them are recorded now.
  void SetSoleVersions(const core::SoleVersions& aSole, core::Duration aLongest)
  {
    const core::SoleVersions before = std::exchange(sole_versions, aSole);
    for (const auto& [service, version] : before) {
      if (!sole_versions.contains(service)) {
        on_streams(
          origins.Recent(service, aLongest, core::RuntimeClock::now()));
      }
    }
  }

  /// @brief Forgets suspects and quarantines whose time is over.
  void TickPoison()
  {
    const core::Instant now = core::RuntimeClock::now();
    DecidePoison();
    poison.Tick(now);
    probes.Tick(now);
    suspects = poison.Suspects();
    quarantined = poison.Quarantined();
  }

  /// @brief This instance has recorded the next quarantine of a request.
  void OnQuarantineRecorded(const core::Quarantine& aBegun)
  {
    poison.OnRecorded(aBegun, core::RuntimeClock::now());
    if (poison.AllowsProbe(aBegun)) {
      probes.Put(aBegun);
    }
    LogQuarantine(aBegun);
  }

  void ApplyBrittleReport(const core::TargetLoadReport& aReport)
  {
    if (!configuration) {
      return;
    }
    const core::Instant now = core::RuntimeClock::now();
    for (const core::DeclaredService& service : configuration->All().services) {
      if (core::KeyOf(service.id) != aReport.target) {
        continue;
      }
      const bool has_changed =
        BrittleOf(service.id)
          .OnReply(aReport.max_rejections, aReport.reported_at, now);
      if (has_changed) {
        const bool is_brittle = aReport.max_rejections.has_value();
        DecisionLog::WriteUnthrottled(
          LogLine(is_brittle ? "service_brittle" : "service_brittle_ended")
            .Add("service", service.id.View())
            .Add("by", "report"));
      }
    }
  }

  void LogQuarantine(const core::Quarantine& aQuarantine) const
  {
    const bool is_over = aQuarantine.IsReleased();
    LogLine line(is_over ? "quarantine_ended" : "quarantine_begun");
    line.Add("fingerprint", core::ToText(aQuarantine.fingerprint))
      .Add("of",
           aQuarantine.kind == core::SuspectKind::kPart ? "part" : "request");
    if (!is_over) {
      line.Add("crashes", poison.CrashCount(aQuarantine.fingerprint))
        .Add("count", std::uint64_t(aQuarantine.count))
        .Add("lasts", aQuarantine.until - core::RuntimeClock::now());
    }
    DecisionLog::WriteUnthrottled(line);
  }

  const EntryOptions& options;
  const core::Instant started_at =
    core::RuntimeClock::now(); ///< Of the process.
  const HeaderCodec& header_codec;
  ThreadMetrics& metrics;
  DecisionLog& log;
  /// Of streams that are cut or go on elsewhere. Its lines are counted apart,
  /// so that refusals do not use them up.
  DecisionLog stream_log;
  std::shared_ptr<const core::Configuration> configuration;
  std::map<core::ModelId, core::DesiredWeights> wanted_weights;
  TargetFleet fleet;
  TargetConnector connector;
  core::Capacity capacity; ///< Of this instance.
  /// Of requests and replies. Shared with these, which may outlive this.
  std::shared_ptr<core::MemoryBudget> memory;
  bool shares_loads = false; ///< Whether other instances ask for loads.
  core::LoadReports pending_load_reports; ///< Not sent to them yet.
  core::PoisonRequests poison;
  core::ProbeGrants probes;
  /// Passes this instance's reports on to the others.
  std::function<void(const core::PoisonReport&)> on_poison_report =
    [](const core::PoisonReport&) {};
  /// Passes a report of a target's limit, or of a service that is brittle, on
  /// to the other instances.
  std::function<void(const core::TargetLoadReport&)> on_signal_report =
    [](const core::TargetLoadReport&) {};
  /// Keeps the origins of this instance's streams at other instances.
  std::function<void(std::vector<core::StreamOrigin>)> on_streams =
    [](const std::vector<core::StreamOrigin>&) {};
  /// Asks the other instances at which version a stream of a service began, and
  /// calls the function on the traffic thread; nothing if none knows.
  std::function<void(core::StreamKey, const core::ServiceId&, VersionReply)>
    find_stream = [](core::StreamKey,
                     const core::ServiceId&,
                     const VersionReply& aReply) { aReply(std::nullopt); };
  /// Records a request's next quarantine, in order to send a probe, and calls
  /// the function on the traffic thread; nothing if that had no effect.
  std::function<void(const core::Quarantine&, ProbeReply)> claim_probe =
    [](const core::Quarantine&, const ProbeReply& aReply) {
      aReply(std::nullopt);
    };
  /// Records that a quarantine began or is over.
  std::function<void(const core::Quarantine&)> on_quarantine =
    [](const core::Quarantine&) {};
  core::StreamOrigins origins; ///< Of this instance's streams.
  core::SoleVersions sole_versions;
  core::PartDirectory parts;
  std::unordered_map<core::ServiceId, core::WindowedRetryBudget> budgets;
  std::unordered_map<core::ServiceId, core::HedgePolicy> hedges;
  std::unordered_map<core::ServiceId, core::BrittleSignal> brittle;
  /// When this instance last reported whether a service is brittle.
  std::unordered_map<core::ServiceId, core::Instant> brittle_reported_at;
  /// Orders the instances for the limits and the slots of targets.
  core::HolderRing holders;
  std::uint64_t holders_number = 1; ///< Changes with `holders`.
  /// When this instance may begin to use its shares of the limits.
  core::Instant holds_from{};
  double retry_share = 0; ///< This instance's share of the fixed retries.
  core::Instant retry_share_until{};
  /// By route name.
  std::unordered_map<std::string, core::WaitPredictor> waits;
  /// Demand of the accounts at services whose routes compete for room.
  core::AccountShares accounts;
  core::Instant accounts_reported_at{}; ///< To other instances.
  /// Of the services whose routes compete for room.
  std::unordered_map<core::ServiceId, RoomGate> rooms;
  core::PrefixPopularity part_uses;
  /// One for all stores with the same link rate: parts spread evenly over them,
  /// and one instance sees too little of a single store's traffic for an
  /// estimate.
  std::map<core::LinkRate, core::StoreLink> links;
  std::unordered_map<core::ServiceId, core::TrafficShare> shares;
  std::mt19937_64 random;
  TargetClock target_clock;
  core::Instant last_operator_contact{}; ///< Last read of the operator's rows.
  /// Requests of this instance in data centres with a planned stop; read by
  /// the control thread.
  std::atomic<std::uint64_t> requests_in_stopped{ 0 };
  /// Suspects, and requests in quarantine; read by the control thread.
  std::atomic<std::size_t> suspects{ 0 };
  std::atomic<std::size_t> quarantined{ 0 };
  std::set<ForwardRun*> open_runs; ///< Of requests that were read.
  /// By route name.
  std::unordered_map<std::string, core::RequestDurations> durations;
  core::StopSchedule stop;
  /// Thread-safe; returns when a planned stop was requested, if it was.
  std::function<std::optional<core::Instant>()> stop_requested = [] {
    return std::optional<core::Instant>();
  };
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_FORWARD_STATE_HPP
