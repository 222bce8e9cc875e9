#include "jujubehead/core/routing/stream_lifetime.hpp"

#include <algorithm> // for max

namespace jujubehead::core {

void
StreamLifetime::SetTimeout(Duration aTimeout, Instant aNow)
{
  const Duration longest = std::max(aTimeout + kCallerReturnTime, kMinLongest);
  if (longest < m_longest) {
    m_former = Longest(aNow);
    m_former_until = aNow + m_former;
  }
  m_longest = longest;
}

Duration
StreamLifetime::Longest(Instant aNow) const
{
  return aNow < m_former_until ? std::max(m_longest, m_former) : m_longest;
}

} // namespace jujubehead::core
