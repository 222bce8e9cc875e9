#include "jujubehead/core/routing/return_schedule.hpp"

#include <algorithm> // for max, min
#include <chrono>    // for duration, duration_cast
#include <cmath>     // for exp

namespace jujubehead::core {
namespace {

using Seconds = std::chrono::duration<double>;

/// Time constant of the rate of admitted requests.
constexpr Seconds kRateTime{ 2 };
/// A rate that is not known yet, or has fallen to nothing, counts as this.
constexpr double kMinRate = 1;

} // namespace

double
ReturnSchedule::Rate(Instant aNow) const
{
  const Seconds age = aNow - m_rate_at;
  return m_rate * std::exp(-(age / kRateTime));
}

void
ReturnSchedule::OnAdmitted(Instant aNow)
{
  m_rate = Rate(aNow) + 1 / kRateTime.count();
  m_rate_at = aNow;
}

Duration
ReturnSchedule::NextReturn(Instant aNow, Duration aEarliest, Duration aLongest)
{
  const Instant at = std::max(m_next, aNow + aEarliest);
  const Seconds interval{ 1 / std::max(Rate(aNow), kMinRate) };
  // A caller that can't wait for its place takes none.
  if (at - aNow <= aLongest) {
    m_next = at + std::chrono::duration_cast<Duration>(interval);
  }
  return std::min(at - aNow, aLongest);
}

} // namespace jujubehead::core
