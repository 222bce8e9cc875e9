#include <algorithm> // for count_if
#include <utility>   // for move

#include "jujubehead/core/rendezvous.hpp" // for RankByRendezvous
#include "ownership_impl.hpp"

// Groups of targets: claims, moves, and their rows.

namespace jujubehead::core {
namespace {

constexpr Duration kClaimInterval = std::chrono::seconds(1);

std::uint64_t
NextClaimEpoch(std::uint64_t aEpoch)
{
  return (aEpoch / kEpochStride + 1) * kEpochStride;
}

} // namespace

bool
Ownership::Impl::RecordGroups(Instant aNow)
{
  WriteRows write;
  std::size_t left = 0;
  for (const auto& [group, holding] : m_held) {
    if (holding.recorded && !holding.uncertain) {
      continue;
    }
    if (write.puts.size() >= kMaxGroupsPerWrite) {
      ++left;
      continue;
    }
    GroupRow row = holding.row;
    row.owner = m_lease->Row().lease;
    row.epoch = holding.epoch;
    write.puts.emplace_back(row);
  }
  if (left == 0) {
    for (const Incarnation& lease : m_inherited) {
      if (const LeaseRow* row = m_map.Lease(lease)) {
        write.deletes.push_back(*row);
      }
    }
  }
  if (write.puts.empty() && write.deletes.empty()) {
    return false;
  }
  return WriteRateLimited(
    std::move(write), m_options.rules.other_rows_per_second, aNow);
}

bool
Ownership::Impl::IsUnowned(const GroupRow* aRow) const
{
  return aRow == nullptr || aRow->rev == 0 ||
         m_map.Lease(aRow->owner) == nullptr;
}

bool
Ownership::Impl::ClaimGroups(Instant aNow)
{
  if (aNow < m_claim_at || !HasValidLease(aNow) || m_leaving_since) {
    return false;
  }
  m_claim_at = aNow + kClaimInterval;
  const auto candidates = Candidates(aNow);
  WriteRows write;
  std::set<Incarnation> ended;
  for (const GroupId& group : m_groups) {
    const GroupRow* known = m_map.Group(group);
    const std::string key = "group " + group.Text();
    if (!IsUnowned(known) || m_held.contains(group)) {
      m_due_since.erase(key);
      continue;
    }
    const Instant due = m_due_since.try_emplace(key, aNow).first->second;
    const auto delay = DelayFor(group.View(), candidates);
    if (!delay || aNow < due + *delay ||
        write.puts.size() >= kMaxGroupsPerWrite) {
      continue;
    }
    GroupRow row = known == nullptr ? GroupRow{ group, {}, 0, 0 } : *known;
    if (row.rev != 0) {
      ended.insert(row.owner);
    }
    row.owner = m_lease->Row().lease;
    row.epoch = NextClaimEpoch(row.epoch);
    write.puts.emplace_back(row);
  }
  if (write.puts.empty()) {
    return false;
  }
  for (const Incarnation& lease : ended) {
    write.checks.push_back({ lease, {}, {}, 0 });
  }
  return WriteRateLimited(
    std::move(write), m_options.rules.claims_per_second, aNow);
}

void
Ownership::Impl::SelectMoves(Instant aNow)
{
  const bool leaving = m_leaving_since.has_value();
  const bool settled =
    aNow >= m_watch.ChangedAt() + m_options.rules.settle_time || leaving;
  if (!settled || !m_gate.IsHealthy() || !HasValidLease(aNow)) {
    return;
  }
  const std::size_t max_moves =
    leaving ? kMaxGroupsPerWrite : m_options.rules.max_concurrent_moves;
  auto moving = static_cast<std::size_t>(
    std::count_if(m_held.begin(), m_held.end(), [](const auto& aEntry) {
      return aEntry.second.moving;
    }));
  if (moving != 0) {
    return;
  }
  const auto candidates = Candidates(aNow);
  for (auto& [group, holding] : m_held) {
    const auto home = RankByRendezvous(group.View(), candidates, 1);
    const bool stays = home.empty() || home.front() == m_options.self;
    if (stays || !holding.recorded || moving >= max_moves) {
      continue;
    }
    holding.moving = true;
    ++moving;
  }
  if (moving == 0) {
    return;
  }
  UpdateList();
  for (auto& [group, holding] : m_held) {
    holding.moving_since = m_lease->Version();
  }
}

bool
Ownership::Impl::MoveGroups(Instant aNow)
{
  const auto candidates = Candidates(aNow);
  WriteRows write;
  std::map<Incarnation, LeaseRow> to;
  for (auto& [group, holding] : m_held) {
    if (!holding.moving || holding.uncertain ||
        !m_lease->IsKnown(holding.moving_since)) {
      continue;
    }
    const auto home = RankByRendezvous(group.View(), candidates, 1);
    if (home.empty() || home.front() == m_options.self) {
      holding.moving = false;
      continue;
    }
    const LeaseRow lease = *LeaseOf(home.front());
    GroupRow row = holding.row;
    row.owner = lease.lease;
    row.epoch = NextClaimEpoch(holding.epoch);
    write.puts.emplace_back(row);
    to.emplace(lease.lease, lease);
  }
  UpdateList();
  if (write.puts.empty()) {
    return false;
  }
  for (const auto& [lease, row] : to) {
    write.checks.push_back(row);
  }
  return WriteRateLimited(
    std::move(write), m_options.rules.other_rows_per_second, aNow);
}

} // namespace jujubehead::core
