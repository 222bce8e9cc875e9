#include "jujubehead/core/membership/store_absences.hpp"

#include <algorithm> // for max, min

namespace jujubehead::core {
namespace {

constexpr std::size_t kMinFailedCalls = 2; ///< That make an outage.
/// Older outages are dropped, which ends a period sooner. The periods in use
/// are about ten seconds long.
constexpr std::size_t kMaxOutages = 64;

} // namespace

bool
StoreAbsences::OnAnswer(Instant aSentAt)
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
StoreAbsences::OnFailure(Instant aNow)
{
  if (!m_first_failed) {
    m_first_failed = aNow;
  }
  ++m_failed;
}

Instant
StoreAbsences::EndOf(Instant aBegan, const HeardTime& aTime, Instant aNow) const
{
  std::deque<Outage> outages = m_past;
  if (m_failed >= kMinFailedCalls) {
    outages.push_back({ *m_first_failed, aNow });
  }
  Instant start = aBegan;
  Duration left = aTime.in_all;
  for (const Outage& outage : outages) {
    if (outage.to <= start) {
      continue;
    }
    const Duration available = std::max(outage.from - start, Duration(0));
    if (available >= std::min(aTime.in_one, left)) {
      break;
    }
    left -= available;
    start = outage.to;
  }
  return start + std::min(aTime.in_one, left);
}

} // namespace jujubehead::core
