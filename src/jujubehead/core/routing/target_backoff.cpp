#include "jujubehead/core/routing/target_backoff.hpp"

#include <algorithm> // for max, min

namespace jujubehead::core {

void
TargetBackoff::OnRequested(Instant aNow, Duration aTime)
{
  m_until = std::max(m_until, aNow + std::min(aTime, kMaxBackoff));
}

} // namespace jujubehead::core
