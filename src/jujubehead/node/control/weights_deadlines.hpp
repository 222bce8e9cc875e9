#ifndef JUJUBEHEAD_NODE_CONTROL_WEIGHTS_DEADLINES_HPP
#define JUJUBEHEAD_NODE_CONTROL_WEIGHTS_DEADLINES_HPP

#include <functional> // for function
#include <map>        // for map
#include <optional>   // for optional
#include <vector>     // for vector

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/membership/instance_directory.hpp" // for InstanceDirectory
#include "jujubehead/core/remote_clock.hpp"                  // for RemoteClock
#include "jujubehead/core/weights/stale_weights_deadlines.hpp" // for StaleWeightsDeadlines
#include "jujubehead/net/timer.hpp"                            // for Timer
#include "jujubehead/node/control/platform.hpp"                // for SharedRows
#include "jujubehead/node/forward/entry_options.hpp" // for EntryOptions
#include "jujubehead/node/metrics.hpp"               // for Gauge

namespace jujubehead::node {

using WantedByModel = std::map<core::ModelId, core::DesiredWeights>;

/// @brief Callbacks of WeightsDeadlines.
struct WeightsDeadlinesHooks
{
  /// A newer version is wanted.
  std::function<void(const WantedByModel&)> on_newer_version;
  /// Only deadlines of older versions moved.
  std::function<void(const WantedByModel&)> on_deadlines_changed;
};

/// @brief Tracks the deadline until which requests may start on older weights.
///
/// The deadline counts from when the operator named newer weights, which an
/// instance that starts later cannot know by itself. So instances record that
/// time in their shared table, by the store's clock. The order in which they
/// try is known to all, and each writes only if those before it did not: one
/// write per naming.
class WeightsDeadlines
{
public:
  WeightsDeadlines(boost::asio::io_context& aContext,
                   const EntryOptions& aOptions,
                   SharedRows& aShared,
                   const core::RemoteClock& aStoreClock,
                   const core::InstanceDirectory& aInstances,
                   WeightsDeadlinesHooks aHooks);

  void Start();
  void OnOperatorUpdate(const OperatorUpdate& aUpdate, bool aIsAll);
  /// @brief A read of the operator's rows failed.
  void OnOperatorFailure();
  void OnSharedUpdate(const SharedUpdate& aUpdate, bool aIsAll);
  /// @return metrics of the wanted weights.
  [[nodiscard]] std::vector<Gauge> Gauges() const;

private:
  /// A model's row as it was last read.
  struct Recorded
  {
    core::AnnouncementRecord namings;
    std::uint64_t version = 0; ///< Of the row; 0 if there is none.
    /// Since when a write is due.
    std::optional<core::Instant> due_since;
  };

  void ReadRecord(const core::ModelId& aModel, const SharedRow& aRow);
  void ApplyNamings(const core::ModelId& aModel);
  void Update(bool aIsNew);
  void UpdateDue(const core::ModelId& aModel);
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> Write(core::ModelId aModel);
  [[nodiscard]] core::AnnouncementRecord RecordOf(
    const core::ModelId& aModel) const;
  /// @return how long this instance lets others write first.
  [[nodiscard]] core::Duration WriteDelay(const core::ModelId& aModel) const;
  [[nodiscard]] core::Duration OlderTimeLeft(const core::ModelId& aModel) const;

  boost::asio::io_context& m_context;
  SharedRows& m_shared;
  const core::RemoteClock& m_store_clock;
  const core::InstanceDirectory& m_instances;
  std::string m_self;
  WeightsDeadlinesHooks m_hooks;
  core::StaleWeightsDeadlines m_old;
  WantedByModel m_wanted; ///< As last published.
  bool m_is_shared_read = false;
  std::map<core::ModelId, Recorded> m_recorded;
  net::Timer m_wake;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_WEIGHTS_DEADLINES_HPP
