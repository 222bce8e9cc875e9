#ifndef JUJUBEHEAD_CORE_CONTEXT_WATCH_PACING_HPP
#define JUJUBEHEAD_CORE_CONTEXT_WATCH_PACING_HPP

#include <cstddef> // for size_t
#include <cstdint> // for uint32_t

#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::core {

/// @brief The instances that watch a store, and its limit on concurrent calls.
struct Watchers
{
  std::size_t instances = 1;
  std::uint32_t max_concurrent = 12; ///< Calls that the store holds open.
};

/// @brief Timing of the long polls that watch a store.
struct WatchPacingOptions
{
  /// Batches events: each answer costs a wake-up.
  Duration min_pause = std::chrono::milliseconds(120);
  /// With the call's own wait, below the trust time of PartDirectoryOptions.
  Duration max_pause = std::chrono::milliseconds(600);
  /// Wait for events while the store can hold a call of each instance.
  Duration default_wait = std::chrono::milliseconds(500);
  /// Wait under contention: the shortest that does not count as a probe, so
  /// that more instances get a turn.
  Duration contended_wait = std::chrono::milliseconds(200);
  /// Mean utilization of the store's call slots. Below 1, because instances do
  /// not coordinate their calls, so that some coincide.
  double target_utilization = 0.6;
};

/// @return how long a long poll waits for events.
Duration
WatchTimeout(const Watchers& aWatchers,
             const WatchPacingOptions& aOptions = {});

/// @brief Paces the long polls of all instances that watch a store, which holds
/// only a few calls open at a time. A call that is held for H, after a pause P,
/// uses H / (H + P) of a slot; the pause is chosen so that the calls of all
/// instances fit.
/// @param aHeld how long the store held the last call.
/// @return the pause before the next call.
Duration
WatchPause(Duration aHeld,
           const Watchers& aWatchers,
           const WatchPacingOptions& aOptions = {});

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_CONTEXT_WATCH_PACING_HPP
