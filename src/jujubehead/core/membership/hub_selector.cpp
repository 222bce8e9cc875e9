#include "jujubehead/core/membership/hub_selector.hpp"

#include <algorithm> // for min

namespace jujubehead::core {
namespace {

constexpr Duration kFirstDelay = std::chrono::milliseconds(200);
constexpr std::uint32_t kMaxDoublings = 4;

} // namespace

std::size_t
HubSelector::Next(std::size_t aHubs) const
{
  return aHubs == 0 ? 0 : m_next % aHubs;
}

void
HubSelector::OnAnswer()
{
  // One response does not show that the hubs can serve all pollers again.
  m_failures -= m_failures > 0 ? 1 : 0;
  m_is_late = false;
}

Duration
HubSelector::OnFailure(HubFailure aFailure, double aJitter)
{
  const bool is_left = aFailure == HubFailure::kNotServing || m_is_late;
  m_is_late = !is_left;
  m_next += is_left ? 1 : 0;
  const std::uint32_t doublings = std::min(m_failures, kMaxDoublings);
  ++m_failures;
  if (aFailure == HubFailure::kNotServing && m_failures == 1) {
    return {};
  }
  const Duration max_delay = kFirstDelay * (1 << doublings);
  // Jitter over half of the delay spreads pollers that failed together.
  const double share = (1 + aJitter) / 2;
  return Duration(
    static_cast<Duration::rep>(share * static_cast<double>(max_delay.count())));
}

} // namespace jujubehead::core
