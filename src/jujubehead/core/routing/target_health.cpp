#include "jujubehead/core/routing/target_health.hpp"

#include <algorithm> // for min

namespace jujubehead::core {
namespace {

constexpr std::uint32_t kMostDoublings = 6;

} // namespace

TargetHealth::TargetHealth(TargetHealthOptions aOptions)
  : m_options(aOptions)
{
}

void
TargetHealth::OnAnswer()
{
  m_failing *= 1 - m_options.share_weight;
  m_on_trial = false;
  m_times_out = 0;
  m_out_until = {};
}

void
TargetHealth::OnFailure(Instant aNow)
{
  m_failing += m_options.share_weight * (1 - m_failing);
  if (m_on_trial || m_failing >= m_options.failing_share) {
    TakeOut(aNow);
  }
}

void
TargetHealth::OnUnreachable(Instant aNow)
{
  TakeOut(aNow);
}

void
TargetHealth::TakeOut(Instant aNow)
{
  const std::uint32_t doublings = std::min(m_times_out, kMostDoublings);
  m_out_until = aNow + std::min(m_options.first_out * (1 << doublings),
                                m_options.longest_out);
  ++m_times_out;
  m_on_trial = false;
  // The trial decides by itself, whatever came before.
  m_failing = 0;
}

bool
TargetHealth::IsUsable(Instant aNow) const
{
  return aNow >= m_out_until;
}

void
TargetHealth::OnSend(Instant aNow)
{
  if (m_times_out == 0) {
    return;
  }
  m_on_trial = true;
  m_out_until = aNow + m_options.first_out;
}

} // namespace jujubehead::core
