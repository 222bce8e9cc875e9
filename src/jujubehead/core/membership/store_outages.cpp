#include "jujubehead/core/membership/store_outages.hpp"

#include <algorithm> // for max, min

namespace jujubehead::core {
namespace {

constexpr std::size_t kMinFailedCalls = 2; ///< That make an outage.
/// Older outages are dropped, which ends a period sooner. The periods in use
/// are about ten seconds long.
constexpr std::size_t kMaxOutages = 64;

} // namespace

bool
StoreOutages::OnAnswer(Instant aSentAt)
{
  if (m_failed >= kMinFailedCalls && aSentAt > *m_first_failed) {
    m_past.push_back({ *m_first_failed, aSentAt });
    if (m_past.size() > kMaxOutages) {
      m_past.pop_front();
    }
  }
  const bool had_failed = m_failed > 0;
  m_first_failed.reset();
  m_failed = 0;
  return had_failed;
}

void
StoreOutages::OnFailure(Instant aNow)
{
  if (!m_first_failed) {
    m_first_failed = aNow;
  }
  ++m_failed;
}

Instant
StoreOutages::EndOf(Instant aBegan,
                    const AvailableTimeLimits& aTime,
                    Instant aNow) const
{
  std::deque<Outage> outages = m_past;
  if (m_failed >= kMinFailedCalls) {
    outages.push_back({ *m_first_failed, aNow });
  }
  Instant start = aBegan;
  Duration left = aTime.max_total;
  for (const Outage& outage : outages) {
    if (outage.to <= start) {
      continue;
    }
    const Duration available = std::max(outage.from - start, Duration(0));
    if (available >= std::min(aTime.max_continuous, left)) {
      break;
    }
    left -= available;
    start = outage.to;
  }
  return start + std::min(aTime.max_continuous, left);
}

} // namespace jujubehead::core
