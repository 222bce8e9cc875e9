#ifndef JUJUBEHEAD_NET_TIMER_HPP
#define JUJUBEHEAD_NET_TIMER_HPP

#include <boost/asio/awaitable.hpp>            // for awaitable
#include <boost/asio/basic_waitable_timer.hpp> // for basic_waitable_timer

#include "jujubehead/core/runtime_clock.hpp" // for RuntimeClock, Duration

namespace jujubehead::net {
namespace detail {

/// @brief Tells Asio how long to sleep in real time for a wait on the
/// RuntimeClock. A paused clock may be advanced at any moment, so a wait on it
/// looks again after a short real time.
struct RuntimeWaitTraits
{
  /// How often a wait on a paused clock looks again.
  static constexpr core::Duration kPausedPoll = std::chrono::milliseconds(1);

  static core::Duration to_wait_duration(const core::Duration& aWait)
  {
    const bool poll = core::RuntimeClock::IsPaused() && aWait > kPausedPoll;
    return poll ? kPausedPoll : aWait;
  }
  static core::Duration to_wait_duration(const core::Instant& aEnd)
  {
    return to_wait_duration(aEnd - core::RuntimeClock::now());
  }
};

} // namespace detail

/// @brief A timer on the RuntimeClock. A test pauses the clock before it arms
/// timers: a wait that began on a running clock sleeps for its whole time.
using Timer = boost::asio::basic_waitable_timer<core::RuntimeClock,
                                                detail::RuntimeWaitTraits>;

/// @brief Waits for a time of the RuntimeClock.
/// @throws boost::system::system_error when cancelled.
boost::asio::awaitable<void>
Sleep(core::Duration aDuration);

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_TIMER_HPP
