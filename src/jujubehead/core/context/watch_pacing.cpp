#include "jujubehead/core/context/watch_pacing.hpp"

#include <algorithm> // for clamp

namespace jujubehead::core {
namespace {

/// @return the number of instances that share one of the used slots.
double
InstancesPerSlot(const Watchers& aWatchers, const WatchPacingOptions& aOptions)
{
  const double slots = aOptions.target_utilization * aWatchers.max_concurrent;
  const auto instances = static_cast<double>(aWatchers.instances);
  return slots > 0 ? instances / slots : instances;
}

} // namespace

Duration
WatchTimeout(const Watchers& aWatchers, const WatchPacingOptions& aOptions)
{
  const bool fits = aWatchers.instances <= aWatchers.max_concurrent;
  return fits ? aOptions.default_wait : aOptions.contended_wait;
}

Duration
WatchPause(Duration aHeld,
           const Watchers& aWatchers,
           const WatchPacingOptions& aOptions)
{
  if (aWatchers.instances <= aWatchers.max_concurrent) {
    return aOptions.min_pause;
  }
  const double pause = static_cast<double>(aHeld.count()) *
                       (InstancesPerSlot(aWatchers, aOptions) - 1);
  return std::clamp(Duration(static_cast<Duration::rep>(pause)),
                    aOptions.min_pause,
                    aOptions.max_pause);
}

} // namespace jujubehead::core
