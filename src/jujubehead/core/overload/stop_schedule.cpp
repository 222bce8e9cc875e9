#include "jujubehead/core/overload/stop_schedule.hpp"

#include <algorithm> // for min

namespace jujubehead::core {

void
StopSchedule::Request(Instant aAt)
{
  m_requested_at = m_requested_at.value_or(aAt);
}

bool
StopSchedule::IsOutOfRotation(Instant aNow) const
{
  return m_requested_at && aNow - *m_requested_at >= kOutOfRotation;
}

bool
StopSchedule::Allows(const RequestTime& aTime, Instant aNow) const
{
  if (!m_requested_at) {
    return true;
  }
  const bool is_in_rotation = aNow - *m_requested_at < kInRotation;
  const bool is_refusal_costly = is_in_rotation || aTime.may_have_run;
  const Duration expected =
    is_refusal_costly ? std::min(aTime.usual.value_or(aTime.limit), aTime.limit)
                      : aTime.limit;
  return aNow + expected <= AnswersUntil();
}

Instant
StopSchedule::AnswersUntil() const
{
  return m_requested_at ? EndsAt() - kResponseMargin : Instant::max();
}

Instant
StopSchedule::EndsAt() const
{
  return m_requested_at ? *m_requested_at + m_grace - kExitMargin
                        : Instant::max();
}

} // namespace jujubehead::core
