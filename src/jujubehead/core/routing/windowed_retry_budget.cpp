#include "jujubehead/core/routing/windowed_retry_budget.hpp"

#include <algorithm> // for min

namespace jujubehead::core {
namespace {

/// Part of the allowance per request that an instance uses. Instances that stop
/// retrying at different times have counted requests of different windows,
/// whose sum exceeds the requests of any one window.
constexpr double kUsedShare = 0.9;

} // namespace

WindowedRetryBudget::WindowedRetryBudget(WindowedRetryBudgetOptions aOptions,
                                         Instant aStarted)
  : m_options(aOptions)
  , m_started(aStarted)
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

void
WindowedRetryBudget::OnUnanswered(const TargetId& aTarget, Instant aNow)
{
  Unanswered& unanswered = m_unanswered[aTarget];
  ++unanswered.sends;
  unanswered.last = aNow;
}

void
WindowedRetryBudget::OnResponse(const TargetId& aTarget,
                                Instant aSent,
                                Instant aNow)
{
  const auto found = m_unanswered.find(aTarget);
  if (found == m_unanswered.end() || aSent < found->second.last) {
    return;
  }
  Advance(aNow);
  m_slots[static_cast<std::size_t>(m_number) % kSlots].retries +=
    found->second.sends;
  m_unanswered.erase(found);
}

std::uint64_t
WindowedRetryBudget::Retries(Instant aNow)
{
  std::erase_if(m_unanswered, [&](const auto& aEntry) {
    return aNow - aEntry.second.last > m_options.max_delay;
  });
  std::uint64_t retries = 0;
  for (const Slot& slot : m_slots) {
    retries += slot.retries;
  }
  for (const auto& entry : m_unanswered) {
    retries += entry.second.sends;
  }
  return retries;
}

bool
WindowedRetryBudget::TryToRetry(Instant aNow)
{
  Advance(aNow);
  const auto current = static_cast<std::size_t>(m_number) % kSlots;
  const std::size_t oldest = (current + 1) % kSlots;
  std::uint64_t requests = 0;
  for (std::size_t i = 0; i < kSlots; ++i) {
    requests += i == oldest ? 0 : m_slots[i].requests;
  }
  const double share = aNow < m_share_until ? m_fixed_share : 0;
  const double allowed =
    kUsedShare * m_options.per_request * static_cast<double>(requests) +
    m_options.fixed * share;
  const bool is_new = aNow - m_started < m_options.start_delay;
  if (is_new || static_cast<double>(Retries(aNow) + 1) > allowed) {
    ++m_denied;
    return false;
  }
  ++m_slots[current].retries;
  return true;
}

} // namespace jujubehead::core
