#include "jujubehead/core/routing/cold_start.hpp"

#include <algorithm> // for max

namespace jujubehead::core {

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

bool
ColdStart::WasColdRecently(Instant aNow) const
{
  return aNow - m_cold_until < m_cold_until - m_cold_since;
}

} // namespace jujubehead::core
