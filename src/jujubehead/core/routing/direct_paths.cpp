#include "jujubehead/core/routing/direct_paths.hpp"

#include <algorithm> // for find, min_element, replace

namespace jujubehead::core {
namespace {

/// A single target may be cut off from this instance alone, by a fault next to
/// the target.
constexpr std::size_t kPartitionPaths = 2;

} // namespace

void
DirectPaths::OnUse(const TargetId& aTarget)
{
  if (std::find(m_recent.begin(), m_recent.end(), aTarget) == m_recent.end()) {
    m_recent.at(m_next_recent) = aTarget;
    m_next_recent = (m_next_recent + 1) % kRecent;
  }
}

bool
DirectPaths::OnConnected(const TargetId& aTarget)
{
  m_lost_in_a_row = 0;
  return m_lost.erase(aTarget) > 0;
}

bool
DirectPaths::OnLost(const TargetId& aTarget, PathLoss aLoss, Instant aNow)
{
  const bool is_new = m_lost.emplace(aTarget, Lost{ aLoss, aNow }).second;
  m_last_loss = aLoss;
  m_lost_in_a_row += is_new ? 1 : 0;
  return is_new;
}

void
DirectPaths::Forget(const TargetId& aTarget)
{
  m_lost.erase(aTarget);
  std::replace(m_recent.begin(),
               m_recent.end(),
               std::optional(aTarget),
               std::optional<TargetId>());
  // Nothing is left that a check could find regained.
  m_lost_in_a_row = m_lost.empty() ? 0 : m_lost_in_a_row;
}

bool
DirectPaths::IsPartitioned() const
{
  return m_lost_in_a_row >= kPartitionPaths;
}

bool
DirectPaths::IsSilent(const TargetId& aTarget) const
{
  const auto lost = m_lost.find(aTarget);
  const PathLoss loss = lost != m_lost.end() ? lost->second.loss : m_last_loss;
  return IsLost(aTarget) && loss == PathLoss::kSilent;
}

std::optional<TargetId>
DirectPaths::NextCheck(Instant aNow)
{
  if (m_lost.empty()) {
    return std::nullopt;
  }
  ++m_next_check;
  const auto others = RecentlyUsed();
  if (IsPartitioned() && !others.empty() && m_next_check % 2 == 0) {
    return others[m_next_check / 2 % others.size()];
  }
  const auto oldest = std::min_element(
    m_lost.begin(), m_lost.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.second.checked < aOther.second.checked;
    });
  oldest->second.checked = aNow;
  return oldest->first;
}

std::vector<TargetId>
DirectPaths::RecentlyUsed() const
{
  std::vector<TargetId> targets;
  for (const auto& target : m_recent) {
    if (target && !m_lost.contains(*target)) {
      targets.push_back(*target);
    }
  }
  return targets;
}

} // namespace jujubehead::core
