#ifndef JUJUBEHEAD_CORE_MEMBERSHIP_HUB_TIMING_HPP
#define JUJUBEHEAD_CORE_MEMBERSHIP_HUB_TIMING_HPP

#include <chrono> // for milliseconds

#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::core {

// Timing of the tree of core::HubPlan. An acknowledged change of the operators'
// rows is in force at each instance within two seconds, whichever hubs fail: an
// instance whose rows the store has not confirmed within
// HubRole::RowsLifetime() reads the store itself. The lifetime grows by a
// level, so that a relay gets there before its followers, and that of a
// follower, with kDirectReadSpread and a read, ends before the two seconds. In
// steady state rows are renewed in half of it: the reads of a hub and a poll a
// level.

/// Wait of a hub's long polls for changes.
inline constexpr Duration kHubReadWait = std::chrono::milliseconds(450);
/// The same for the target registry, whose reports come many at a time and are
/// batched by a pause.
inline constexpr Duration kHubRegistryWait = std::chrono::milliseconds(250);
inline constexpr Duration kHubRegistryPause = std::chrono::milliseconds(200);

/// Poll interval of followers. Together with the polls of the relay and the
/// reader above it stays below the time after which a store's state counts as
/// stale.
inline constexpr Duration kFollowerPollInterval =
  std::chrono::milliseconds(220);
/// Poll interval of relays, which are few.
inline constexpr Duration kRelayPollInterval = std::chrono::milliseconds(110);
/// A hub answers from memory; one that takes longer is hung or unreachable.
inline constexpr Duration kHubTimeout = std::chrono::milliseconds(300);
/// Polls in a row without rows after which another hub is polled. A hub may
/// wait for the operators' store for a moment longer than its rows are fresh,
/// and what else it sends is current.
inline constexpr int kMaxStalePolls = 3;

/// Instances that lost the same hub spread their reads of the operators' store
/// over this time.
inline constexpr Duration kDirectReadSpread = std::chrono::milliseconds(200);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_MEMBERSHIP_HUB_TIMING_HPP
