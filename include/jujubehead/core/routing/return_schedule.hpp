#ifndef JUJUBEHEAD_CORE_ROUTING_RETURN_SCHEDULE_HPP
#define JUJUBEHEAD_CORE_ROUTING_RETURN_SCHEDULE_HPP

#include "jujubehead/core/runtime_clock.hpp" // for Duration, Instant

namespace jujubehead::core {

/// @brief Tells refused callers when to come back: one after the other, at the
/// rate at which requests are admitted, so that those who return find room.
///
/// All told the same time would return together and be refused again.
///
/// @code
/// ReturnSchedule schedule;
/// schedule.OnAdmitted(now);
/// const Duration wait = schedule.NextReturn(now, drained_in, longest);
/// @endcode
class ReturnSchedule
{
public:
  /// @brief A request was admitted.
  void OnAdmitted(Instant aNow);
  /// @param aEarliest when the targets' queues are served.
  /// @param aLongest the longest time that the caller waits.
  /// @return the time after which a refused caller is to return.
  Duration NextReturn(Instant aNow, Duration aEarliest, Duration aLongest);

private:
  /// @return the requests admitted per second, as of now.
  [[nodiscard]] double Rate(Instant aNow) const;

  double m_rate = 0; ///< At m_rate_at; decays.
  Instant m_rate_at{};
  Instant m_next{}; ///< When the next refused caller may return.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_RETURN_SCHEDULE_HPP
