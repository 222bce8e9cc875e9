#ifndef JUJUBEHEAD_CORE_CONTEXT_WATCH_PACE_HPP
#define JUJUBEHEAD_CORE_CONTEXT_WATCH_PACE_HPP

#include <cstddef> // for size_t
#include <cstdint> // for uint32_t

#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::core {

/// @brief Who watches a store, and how many of them it serves at once.
struct Watchers
{
  std::size_t instances = 1;
  std::uint32_t most_at_once = 12; ///< Calls that the store holds at once.
};

/// @brief Times of the calls that watch a store.
struct WatchPaceOptions
{
  /// Events of this time come in one answer; each answer costs a wake-up.
  Duration least_pause = std::chrono::milliseconds(120);
  /// With a call's own wait below the time for which a store is believed.
  Duration longest_pause = std::chrono::milliseconds(600);
  /// Wait for events while the store can hold a call of each instance.
  Duration usual_wait = std::chrono::milliseconds(500);
  /// The shortest wait that is not a probe: so that more instances get a turn.
  Duration crowded_wait = std::chrono::milliseconds(200);
  /// Of the store's calls that are used on average; instances call at any time,
  /// so that some come together.
  double used_share = 0.6;
};

/// @return how long a call waits for events.
Duration
WatchWait(const Watchers& aWatchers, const WatchPaceOptions& aOptions = {});

/// @brief All instances watch each store, which holds only few calls at once.
/// A call that is held for H, after a pause P, takes H / (H + P) of a place;
/// the pause is such that all instances' calls fit.
/// @param aHeld how long the store held the last call.
/// @return the time until the next call.
Duration
WatchPause(Duration aHeld,
           const Watchers& aWatchers,
           const WatchPaceOptions& aOptions = {});

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_CONTEXT_WATCH_PACE_HPP
