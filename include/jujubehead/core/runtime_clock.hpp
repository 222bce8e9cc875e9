#ifndef JUJUBEHEAD_CORE_RUNTIME_CLOCK_HPP
#define JUJUBEHEAD_CORE_RUNTIME_CLOCK_HPP

#include <chrono> // for time_point, microseconds

namespace jujubehead::core {

/// @brief The process-wide monotonic clock, in microseconds.
///
/// It follows CLOCK_BOOTTIME, which keeps counting while the machine is
/// suspended, so that leases and deadlines do too. A test may pause it; a
/// paused clock moves only by Advance(). Timers of the net layer also use it.
/// The core never reads it: time is passed into the core as an `Instant`
/// argument.
///
/// @code
/// RuntimeClock::Pause();
/// RuntimeClock::Advance(std::chrono::seconds(5));
/// RuntimeClock::Resume();
/// @endcode
class RuntimeClock
{
public:
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<RuntimeClock>;
  static constexpr bool is_steady = true;

  /// @return the current time. Thread-safe.
  static time_point now() noexcept;
  /// @return whether the clock is paused. Thread-safe.
  static bool IsPaused() noexcept;
  /// @brief Stops the clock at its current reading.
  static void Pause() noexcept;
  /// @brief Moves a paused clock forward.
  static void Advance(duration aStep) noexcept;
  /// @brief Resumes the clock from its current reading.
  static void Resume() noexcept;
};

using Duration = RuntimeClock::duration;
using Instant = RuntimeClock::time_point;

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_RUNTIME_CLOCK_HPP
