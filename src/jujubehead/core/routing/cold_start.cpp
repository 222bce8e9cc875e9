#include "jujubehead/core/routing/cold_start.hpp"

#include <algorithm> // for max, min

namespace jujubehead::core {
namespace {

/// Share right after the cold period. Above zero, so that the target is probed
/// by some requests at once.
constexpr double kFirstShare = 0.1;

} // namespace

void
ColdStart::OnCold(Instant aNow, Instant aUntil)
{
  if (!IsCold(aNow)) {
    m_cold_since = aNow;
  }
  m_cold_until = std::max(aUntil, m_unknown_until);
}

void
ColdStart::OnWarmReport(Instant aNow)
{
  if (IsCold(aNow)) {
    m_cold_until = std::max(aNow, m_unknown_until);
  }
}

void
ColdStart::OnUnknown(Instant aNow, Instant aUntil)
{
  m_unknown_until = std::max(m_unknown_until, aUntil);
  OnCold(aNow, std::max(m_cold_until, aUntil));
}

double
ColdStart::Share(Instant aNow) const
{
  if (IsCold(aNow)) {
    return 0;
  }
  const Duration rise = m_cold_until - m_cold_since;
  const Duration passed = aNow - m_cold_until;
  if (passed >= rise) {
    return 1;
  }
  const double fraction =
    static_cast<double>(passed.count()) / static_cast<double>(rise.count());
  return kFirstShare + (1 - kFirstShare) * fraction;
}

} // namespace jujubehead::core
