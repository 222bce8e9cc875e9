#include <algorithm> // for find, any_of

#include "ownership_impl.hpp"

// The witnesses of this instance's lease, and their replacement.

namespace jujubehead::core {
namespace {

constexpr std::size_t kWitnessCount = 2;

/// Witnesses that are not in the next row but may still have to be asked for
/// their vote.
std::vector<Incarnation>
DroppedWitnesses(const LeaseRow& aRow, const LeaseRow& aNext, bool aConfirmed)
{
  std::vector<Incarnation> dropped;
  if (!aConfirmed) {
    dropped = aRow.former;
  }
  for (const Incarnation& witness : aRow.witnesses) {
    const auto& next = aNext.witnesses;
    if (std::find(next.begin(), next.end(), witness) == next.end()) {
      dropped.push_back(witness);
    }
  }
  return dropped;
}

} // namespace

std::vector<Incarnation>
Ownership::Impl::PickWitnesses(const std::vector<Incarnation>& aKept,
                               Instant aNow) const
{
  std::vector<Incarnation> picked = aKept;
  const auto order = m_watch.WitnessOrder([&](const InstanceId& aInstance) {
    const auto avoided = m_avoided_witnesses.find(aInstance);
    const bool avoid = avoided != m_avoided_witnesses.end() &&
                       aNow < avoided->second + m_options.rules.member_timeout;
    const bool kept = std::any_of(
      aKept.begin(), aKept.end(), [&aInstance](const Incarnation& aOne) {
        return aOne.instance == aInstance;
      });
    return !avoid && !kept && ProcessOf(aInstance).has_value();
  });
  for (const InstanceId& instance : order) {
    if (picked.size() >= kWitnessCount) {
      break;
    }
    picked.push_back(*ProcessOf(instance));
  }
  return picked;
}

bool
Ownership::Impl::IsProcessGone(const Incarnation& aProcess, Instant aNow)
{
  const auto reported = m_processes.find(aProcess.instance);
  const bool replaced =
    reported != m_processes.end() && !reported->second.IsSameProcess(aProcess);
  return replaced || m_watch.IsGone(aProcess.instance, aNow);
}

bool
Ownership::Impl::HasLeaseRow(const Incarnation& aProcess) const
{
  const auto rows = m_map.LeasesOf(aProcess.instance);
  return std::any_of(rows.begin(), rows.end(), [&](const LeaseRow& aRow) {
    return aRow.lease.IsSameProcess(aProcess);
  });
}

bool
Ownership::Impl::AreAllWitnessesReplaceable(Instant aNow)
{
  const LeaseRow& row = m_lease->Row();
  for (SendMessage& ask : m_reaper.RequestVotes(row, aNow)) {
    Send(ask.to, std::move(ask.message), aNow);
  }
  std::vector<Incarnation> witnesses = row.witnesses;
  witnesses.insert(witnesses.end(), row.former.begin(), row.former.end());
  for (const Incarnation& witness : witnesses) {
    if (m_reaper.HasGranted(row.lease, witness)) {
      continue;
    }
    // A vote is for good. Nobody takes over by it once its candidate has given
    // up its election.
    const auto candidate = m_reaper.CandidateOf(row.lease, witness);
    if (candidate && !candidate->IsSameProcess(witness)) {
      if (m_reaper.HasReleased(row.lease, *candidate)) {
        continue;
      }
      return false;
    }
    const bool gone = IsProcessGone(witness, aNow);
    if (!gone && m_lease->IsAcking(witness, aNow)) {
      continue;
    }
    // It may have taken over before it was gone.
    if (!gone || m_lease->IsRefusedBy(witness) || HasLeaseRow(witness)) {
      return false;
    }
  }
  constexpr Duration kMaxLeaseReadAge = std::chrono::seconds(2);
  if (aNow > m_leases_known_at + kMaxLeaseReadAge) {
    m_must_reread = true;
    return false;
  }
  return true;
}

std::optional<LeaseRow>
Ownership::Impl::NextWitnesses(Instant aNow)
{
  const LeaseRow& row = m_lease->Row();
  std::vector<Incarnation> kept;
  std::vector<Incarnation> leaving;
  for (const Incarnation& witness : row.witnesses) {
    if (m_lease->IsLost(witness, aNow)) {
      m_avoided_witnesses[witness.instance] = aNow;
    } else if (m_watch.IsLeaving(witness.instance)) {
      leaving.push_back(witness);
    } else {
      kept.push_back(witness);
    }
  }
  // Replaces one witness at a time, so that one is in both rows.
  if (kept.empty() && !leaving.empty()) {
    kept.push_back(leaving.front());
  }
  const bool has_current_witness =
    std::any_of(kept.begin(), kept.end(), [this](const Incarnation& aOne) {
      return m_lease->IsUpToDate(aOne);
    });
  const bool is_unconstrained = row.witnesses.empty() || !m_lease_used;
  if (!is_unconstrained && !has_current_witness &&
      !AreAllWitnessesReplaceable(aNow)) {
    return std::nullopt;
  }
  LeaseRow next = row;
  next.witnesses = PickWitnesses(kept, aNow);
  next.former.clear();
  const bool fewer = next.witnesses.size() < row.witnesses.size();
  if (next.witnesses.empty() || (fewer && has_current_witness)) {
    return std::nullopt;
  }
  if (has_current_witness || is_unconstrained) {
    next.former = DroppedWitnesses(row, next, m_lease->IsConfirmed());
  } else {
    m_safe_change = next;
    ++m_safe_change->rev;
  }
  return next;
}

bool
Ownership::Impl::ChangeWitnesses(Instant aNow)
{
  const auto next = NextWitnesses(aNow);
  if (!next || *next == m_lease->Row()) {
    return false;
  }
  WriteRows write;
  write.puts.emplace_back(*next);
  return WriteRateLimited(
    std::move(write), m_options.rules.other_rows_per_second, aNow);
}

} // namespace jujubehead::core
