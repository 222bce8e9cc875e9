#include "jujubehead/core/routing/target_health.hpp"

#include <algorithm> // for min

namespace jujubehead::core {
namespace {

constexpr std::uint32_t kMaxDoublings = 6;

} // namespace

TargetHealth::TargetHealth(TargetHealthOptions aOptions)
  : m_options(aOptions)
{
}

void
TargetHealth::OnAnswer()
{
  m_failure_rate *= 1 - m_options.response_weight;
  m_is_probing = false;
  m_ejections = 0;
  m_ejected_until = {};
}

void
TargetHealth::OnFailure(Instant aNow)
{
  m_failure_rate += m_options.response_weight * (1 - m_failure_rate);
  if (m_is_probing || m_failure_rate >= m_options.max_failure_rate) {
    Eject(aNow);
  }
}

void
TargetHealth::OnUnreachable(Instant aNow)
{
  Eject(aNow);
}

void
TargetHealth::OnReachable()
{
  m_is_probing = false;
  m_ejections = 0;
  m_ejected_until = {};
}

void
TargetHealth::Eject(Instant aNow)
{
  const std::uint32_t doublings = std::min(m_ejections, kMaxDoublings);
  m_ejected_until = aNow + std::min(m_options.first_ejection * (1 << doublings),
                                    m_options.max_ejection);
  ++m_ejections;
  m_is_probing = false;
  // The probe alone decides, regardless of earlier failures.
  m_failure_rate = 0;
}

bool
TargetHealth::IsUsable(Instant aNow) const
{
  return aNow >= m_ejected_until;
}

void
TargetHealth::OnSend(Instant aNow)
{
  if (m_ejections == 0) {
    return;
  }
  m_is_probing = true;
  m_ejected_until = aNow + m_options.first_ejection;
}

} // namespace jujubehead::core
