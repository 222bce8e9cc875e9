#ifndef JUJUBEHEAD_NODE_CONTROL_FOLLOW_HPP
#define JUJUBEHEAD_NODE_CONTROL_FOLLOW_HPP

#include <algorithm>  // for max
#include <cstdint>    // for uint64_t
#include <functional> // for function
#include <optional>   // for optional
#include <random>     // for random_device, uniform_int_distribution
#include <string>     // for string

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/core/membership/hubs.hpp"  // for HubRole
#include "jujubehead/core/runtime_clock.hpp"    // for Duration
#include "jujubehead/net/timer.hpp"             // for Sleep
#include "jujubehead/node/control/platform.hpp" // for Feed, PlatformFault

#include "../forward/decision_log.hpp" // for DecisionLog, LogLine

namespace jujubehead::node {

/// @brief Timing of the reads of changes.
struct FollowTiming
{
  /// Longest wait for a change. A connection can hang for good without an
  /// error, so each wait is short and has its own timeout.
  core::Duration wait = std::chrono::milliseconds(1200);
  /// Pause after an update, so that small changes are batched.
  core::Duration pause{};
};

/// @brief Options of Follow().
struct FollowOptions
{
  std::string name; ///< For log lines.
  /// Called before each read.
  std::function<FollowTiming()> timing = [] { return FollowTiming(); };
  /// Longest pause after the first read. When all instances start at once,
  /// their own rows appear one by one, and each would be read by all of them
  /// (thundering herd); those that find a hub meanwhile need not read at all.
  core::Duration settle{};
  /// Ends that pause early.
  std::function<bool()> is_settled = [] { return true; };
  /// Least pause after an update while not settled: rows of other instances
  /// that start appear one by one for seconds.
  core::Duration unsettled_pause{};
  /// Holds back a read of everything until others had time to send it.
  std::function<bool()> may_read_all = [] { return true; };
};

/// @brief Callbacks of Follow().
template<typename Update>
struct FollowHooks
{
  /// @param aIsAll whether it is a full snapshot, not only the changes.
  std::function<void(const Update& aUpdate, bool aIsAll)> on_update;
  /// A read failed.
  std::function<void(PlatformFault aWhy)> on_failure = [](PlatformFault) {};
};

/// @return a random delay before a retry, so that instances do not retry a
/// failed service all at once.
inline core::Duration
JitteredRetryDelay()
{
  constexpr int kFromMs = 80;
  constexpr int kToMs = 250;
  thread_local std::minstd_rand random{ std::random_device{}() };
  std::uniform_int_distribution<int> spread(kFromMs, kToMs);
  return std::chrono::milliseconds(spread(random));
}

/// @return the interval at which an instance checks whether it has become a hub
/// or ceased to be one.
inline core::Duration
RoleCheckInterval(const core::HubRole& aRole)
{
  constexpr core::Duration kSettling = std::chrono::milliseconds(200);
  constexpr core::Duration kUsual = std::chrono::seconds(2);
  return aRole.IsSettling(core::RuntimeClock::now()) ? kSettling : kUsual;
}

/// @brief Waits until a condition holds.
inline boost::asio::awaitable<void>
WaitUntil(std::function<bool()> aCondition)
{
  constexpr core::Duration kCheckInterval = std::chrono::milliseconds(50);
  while (!aCondition()) {
    co_await net::Sleep(kCheckInterval);
  }
}

/// @brief Waits until the instances that start together have settled.
inline boost::asio::awaitable<void>
WaitUntilSettled(FollowOptions aOptions)
{
  const core::Instant until = core::RuntimeClock::now() + aOptions.settle;
  const std::function<bool()> is_over = [&aOptions, until] {
    return core::RuntimeClock::now() >= until || aOptions.is_settled();
  };
  co_await WaitUntil(is_over);
}

/// @brief Follows a feed for ever, across outages and lost history. Updates
/// older than one already seen are skipped: a service may answer with stale
/// data.
template<typename Update>
boost::asio::awaitable<void>
Follow(Feed<Update>& aFeed, FollowOptions aOptions, FollowHooks<Update> aHooks)
{
  std::optional<std::uint64_t> cursor;
  std::uint64_t newest = 0;
  bool is_lost = true;
  bool is_start = true;
  FollowTiming timing;
  for (;;) {
    std::optional<PlatformFault> fault;
    std::string why;
    try {
      const bool reads_all = !cursor;
      timing = aOptions.timing();
      Update update;
      if (reads_all) {
        co_await WaitUntil(aOptions.may_read_all);
        update = co_await aFeed.ReadAll();
      } else {
        // Changes made during the start-up pause are read without a wait:
        // others may be waiting for this instance to confirm them.
        const core::Duration wait = is_start ? core::Duration(0) : timing.wait;
        is_start = false;
        update = co_await aFeed.ReadChanges(*cursor, wait);
      }
      if (is_lost) {
        is_lost = false;
        DecisionLog::WriteUnthrottled(LogLine("feed_regained")
                                        .Add("feed", aOptions.name)
                                        .Add("cursor", update.cursor));
      }
      if (update.cursor >= newest) {
        newest = update.cursor;
        cursor = update.cursor;
        aHooks.on_update(update, reads_all);
      } else if (reads_all) {
        fault = PlatformFault::kUnusable;
        why = "response older than one already read";
      }
    } catch (const PlatformError& error) {
      fault = error.Fault();
      why = error.what();
    } catch (const std::exception& error) {
      fault = PlatformFault::kUnusable;
      why = error.what();
    }
    if (!fault) {
      if (is_start) {
        co_await WaitUntilSettled(aOptions);
      } else if (!aFeed.IsFree()) {
        const core::Duration pause =
          aOptions.is_settled()
            ? timing.pause
            : std::max(timing.pause, aOptions.unsettled_pause);
        if (pause > core::Duration(0)) {
          co_await net::Sleep(pause);
        }
      }
      continue;
    }
    if (*fault == PlatformFault::kHistoryLost) {
      cursor.reset();
    }
    if (!is_lost) {
      is_lost = true;
      DecisionLog::WriteUnthrottled(LogLine("feed_lost")
                                      .Add("feed", aOptions.name)
                                      .Add("cursor", newest)
                                      .Add("why", why));
    }
    aHooks.on_failure(*fault);
    const core::Duration pause = JitteredRetryDelay();
    co_await net::Sleep(pause);
  }
}

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_FOLLOW_HPP
