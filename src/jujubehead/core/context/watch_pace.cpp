#include "jujubehead/core/context/watch_pace.hpp"

#include <algorithm> // for clamp

namespace jujubehead::core {
namespace {

/// @return instances that share one of the places that are used.
double
Crowd(const Watchers& aWatchers, const WatchPaceOptions& aOptions)
{
  const double places = aOptions.used_share * aWatchers.most_at_once;
  const auto instances = static_cast<double>(aWatchers.instances);
  return places > 0 ? instances / places : instances;
}

} // namespace

Duration
WatchWait(const Watchers& aWatchers, const WatchPaceOptions& aOptions)
{
  const bool fits = aWatchers.instances <= aWatchers.most_at_once;
  return fits ? aOptions.usual_wait : aOptions.crowded_wait;
}

Duration
WatchPause(Duration aHeld,
           const Watchers& aWatchers,
           const WatchPaceOptions& aOptions)
{
  if (aWatchers.instances <= aWatchers.most_at_once) {
    return aOptions.least_pause;
  }
  const double pause =
    static_cast<double>(aHeld.count()) * (Crowd(aWatchers, aOptions) - 1);
  return std::clamp(Duration(static_cast<Duration::rep>(pause)),
                    aOptions.least_pause,
                    aOptions.longest_pause);
}

} // namespace jujubehead::core
