#ifndef JUJUBEHEAD_CORE_RUNTIME_CLOCK_HPP
#define JUJUBEHEAD_CORE_RUNTIME_CLOCK_HPP

#include <chrono> // for time_point, microseconds

namespace jujubehead::core {

/// @brief The clock of the whole process. Monotonic, in microseconds.
///
/// It follows the clock of the time since boot, which counts while the machine
/// is suspended, so that leases and deadlines do. A test may pause it; a paused
/// clock moves
/// only by Advance(). Timers of the net layer run on it too. The core never
/// reads it: time comes into the core as an `Instant` argument.
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

  /// @return the present time; safe from any thread.
  static time_point now() noexcept;
  /// @return whether the clock is paused; safe from any thread.
  static bool IsPaused() noexcept;
  /// @brief Stops the clock at its present reading.
  static void Pause() noexcept;
  /// @brief Moves a paused clock forward.
  static void Advance(duration aStep) noexcept;
  /// @brief Lets the clock run again from where it stands.
  static void Resume() noexcept;
};

using Duration = RuntimeClock::duration;
using Instant = RuntimeClock::time_point;

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_RUNTIME_CLOCK_HPP
