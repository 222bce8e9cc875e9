#include "jujubehead/core/membership/store_absences.hpp"

#include <algorithm> // for max, min

namespace jujubehead::core {
namespace {

constexpr std::size_t kProof = 2; ///< Failed calls.
/// Older absences than these are forgotten, which ends a time sooner. The
/// times that are counted take some ten seconds.
constexpr std::size_t kMostKept = 64;

} // namespace

bool
StoreAbsences::OnAnswer(Instant aAsked)
{
  if (m_failed >= kProof && aAsked > *m_first_failed) {
    m_past.push_back({ *m_first_failed, aAsked });
    if (m_past.size() > kMostKept) {
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
  std::deque<Absence> absences = m_past;
  if (m_failed >= kProof) {
    absences.push_back({ *m_first_failed, aNow });
  }
  Instant start = aBegan;
  Duration left = aTime.in_all;
  for (const Absence& absence : absences) {
    if (absence.to <= start) {
      continue;
    }
    const Duration heard = std::max(absence.from - start, Duration(0));
    if (heard >= std::min(aTime.in_one, left)) {
      break;
    }
    left -= heard;
    start = absence.to;
  }
  return start + std::min(aTime.in_one, left);
}

} // namespace jujubehead::core
