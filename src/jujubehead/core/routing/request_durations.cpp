#include "jujubehead/core/routing/request_durations.hpp"

#include <algorithm> // for max

namespace jujubehead::core {

void
RequestDurations::OnEnd(Duration aTook, Instant aNow)
{
  if (aNow - m_current.begun >= kWindow) {
    m_previous = m_current;
    m_current = { aNow };
  }
  ++m_current.requests;
  m_current.longest = std::max(m_current.longest, aTook);
}

std::optional<Duration>
RequestDurations::UpperBound(Instant aNow) const
{
  std::size_t requests = 0;
  Duration longest{};
  for (const Window& window : { m_current, m_previous }) {
    if (aNow - window.begun < 2 * kWindow) {
      requests += window.requests;
      longest = std::max(longest, window.longest);
    }
  }
  if (requests < kMinRequests) {
    return std::nullopt;
  }
  return Duration(static_cast<Duration::rep>(
    kHeadroom * static_cast<double>(longest.count())));
}

} // namespace jujubehead::core
