#include "jujubehead/core/routing/windowed_retry_budget.hpp"

#include <algorithm> // for min

namespace jujubehead::core {

WindowedRetryBudget::WindowedRetryBudget(WindowedRetryBudgetOptions aOptions)
  : m_options(aOptions)
{
}

void
WindowedRetryBudget::Advance(Instant aNow)
{
  const Duration slot = m_options.window / kSlotsInWindow;
  const std::int64_t number = aNow.time_since_epoch() / slot;
  const std::int64_t steps = std::min<std::int64_t>(number - m_number, kSlots);
  for (std::int64_t i = 0; i < steps; ++i) {
    m_slots[static_cast<std::size_t>(number - i) % kSlots] = {};
  }
  m_number = std::max(m_number, number);
}

void
WindowedRetryBudget::SetFixedShare(double aShare, Instant aUntil)
{
  m_fixed_share = aShare;
  m_share_until = aUntil;
}

void
WindowedRetryBudget::OnRequest(Instant aNow)
{
  Advance(aNow);
  ++m_slots[static_cast<std::size_t>(m_number) % kSlots].requests;
}

bool
WindowedRetryBudget::TryToRetry(Instant aNow)
{
  Advance(aNow);
  const auto current = static_cast<std::size_t>(m_number) % kSlots;
  const std::size_t oldest = (current + 1) % kSlots;
  std::uint64_t requests = 0;
  std::uint64_t retries = 0;
  for (std::size_t i = 0; i < kSlots; ++i) {
    retries += m_slots[i].retries;
    requests += i == oldest ? 0 : m_slots[i].requests;
  }
  const double share = aNow < m_share_until ? m_fixed_share : 0;
  const double allowed = m_options.per_request * static_cast<double>(requests) +
                         m_options.fixed * share;
  if (static_cast<double>(retries + 1) > allowed) {
    ++m_denied;
    return false;
  }
  ++m_slots[current].retries;
  return true;
}

} // namespace jujubehead::core
