#include <algorithm> // for any_of, find
#include <utility>   // for move

#include "jujubehead/core/rendezvous.hpp" // for RankByRendezvous
#include "ownership_impl.hpp"

// Leases of other instances: which have ended and may be deleted.

namespace jujubehead::core {
namespace {

/// Delay of each further candidate behind the one before it.
constexpr Duration kCandidateDelay = std::chrono::seconds(15);
constexpr std::size_t kMaxCandidates = 3;

} // namespace

std::optional<LeaseRow>
Ownership::Impl::LeaseOf(const InstanceId& aInstance) const
{
  const auto process = ProcessOf(aInstance);
  std::optional<LeaseRow> latest;
  for (const LeaseRow& row : m_map.LeasesOf(aInstance)) {
    if (process && row.lease.IsSameProcess(*process)) {
      latest = row;
    }
  }
  return latest;
}

std::vector<InstanceId>
Ownership::Impl::OtherHolders() const
{
  std::vector<InstanceId> holders;
  for (const InstanceId& other : m_watch.Others()) {
    if (!m_watch.IsLeaving(other) && LeaseOf(other)) {
      holders.push_back(other);
    }
  }
  return holders;
}

std::vector<InstanceId>
Ownership::Impl::Candidates(Instant aNow) const
{
  std::vector<InstanceId> candidates = OtherHolders();
  if (!m_leaving_since && HasValidLease(aNow)) {
    candidates.push_back(m_options.self);
  }
  return candidates;
}

std::optional<Duration>
Ownership::Impl::DelayFor(std::string_view aKey,
                          const std::vector<InstanceId>& aCandidates) const
{
  const auto homes = RankByRendezvous(aKey, aCandidates, kMaxCandidates);
  const auto self = std::find(homes.begin(), homes.end(), m_options.self);
  if (self == homes.end()) {
    return std::nullopt;
  }
  return kCandidateDelay * (self - homes.begin());
}

bool
Ownership::Impl::IsSuspect(const LeaseRow& aRow, Instant aNow)
{
  const Incarnation& lease = aRow.lease;
  if (m_lease && m_lease->Row().lease == lease) {
    return false;
  }
  if (lease.instance == m_options.self) {
    return true;
  }
  const auto reported = m_processes.find(lease.instance);
  const bool replaced =
    reported != m_processes.end() && !reported->second.IsSameProcess(lease);
  const auto rows = m_map.LeasesOf(lease.instance);
  const bool superseded =
    std::any_of(rows.begin(), rows.end(), [&lease](const LeaseRow& aOther) {
      return aOther.lease.IsSameProcess(lease) && aOther.lease > lease;
    });
  return replaced || superseded || m_watch.IsGone(lease.instance, aNow);
}

std::set<Incarnation>
Ownership::Impl::DueSuspects(const std::set<Incarnation>& aSuspects,
                             Instant aNow)
{
  std::vector<InstanceId> candidates = OtherHolders();
  candidates.push_back(m_options.self);
  std::set<Incarnation> due;
  for (const Incarnation& lease : aSuspects) {
    const Instant since =
      m_due_since.try_emplace(lease.instance.Text(), aNow).first->second;
    const auto delay = DelayFor(lease.instance.View(), candidates);
    if (delay && aNow >= since + *delay) {
      due.insert(lease);
    }
  }
  return due;
}

void
Ownership::Impl::RequestVotesRecursively(const Incarnation& aLease,
                                         const std::set<Incarnation>& aSuspects,
                                         std::set<Incarnation>& aRequested,
                                         Instant aNow)
{
  const LeaseRow* found = m_map.Lease(aLease);
  if (found == nullptr || !aRequested.insert(aLease).second) {
    return;
  }
  const LeaseRow row = *found;
  for (SendMessage& ask : m_reaper.RequestVotes(row, aNow)) {
    Send(ask.to, std::move(ask.message), aNow);
  }
  // A witness that is gone may have taken over first, so its own leases have to
  // be ended together with this one.
  std::vector<Incarnation> witnesses = row.witnesses;
  witnesses.insert(witnesses.end(), row.former.begin(), row.former.end());
  for (const Incarnation& suspect : aSuspects) {
    const bool is_witness =
      std::any_of(witnesses.begin(), witnesses.end(), [&](const auto& aOne) {
        return aOne.IsSameProcess(suspect);
      });
    if (is_witness) {
      RequestVotesRecursively(suspect, aSuspects, aRequested, aNow);
    }
  }
}

bool
Ownership::Impl::DeleteEndedLeases(Instant aNow)
{
  std::set<Incarnation> suspects;
  for (const auto& [lease, row] : m_map.Leases()) {
    if (IsSuspect(row, aNow)) {
      suspects.insert(lease);
    } else {
      m_due_since.erase(lease.instance.Text());
    }
  }
  const std::set<Incarnation> due = DueSuspects(suspects, aNow);
  std::set<Incarnation> requested;
  std::vector<LeaseRow> deletable;
  for (const Incarnation& lease : due) {
    RequestVotesRecursively(lease, suspects, requested, aNow);
  }
  for (const Incarnation& lease : due) {
    if (deletable.empty()) {
      deletable = m_reaper.FindDeletable(lease, m_map, m_watch, aNow);
    }
  }
  if (m_expired_since) {
    suspects.insert(m_lease->Row().lease);
  }
  m_reaper.Retain(suspects);
  if (deletable.empty() || deletable.size() > kMaxGroupsPerWrite) {
    return false;
  }
  constexpr Duration kMaxLeaseReadAge = std::chrono::seconds(2);
  if (aNow > m_leases_known_at + kMaxLeaseReadAge) {
    m_must_reread = true;
    return false;
  }
  WriteRows write;
  write.deletes = std::move(deletable);
  Write(std::move(write));
  return true;
}

} // namespace jujubehead::core
