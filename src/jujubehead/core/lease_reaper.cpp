#include "lease_reaper.hpp"

#include <algorithm> // for all_of

namespace jujubehead::core {

namespace {

constexpr Duration kAskEvery = std::chrono::seconds(1);

/// Who got a vote, perhaps under a row before this one.
std::vector<Incarnation>
Elected(const std::map<InstanceId, VoteReply>& aReplies)
{
  std::vector<Incarnation> elected;
  for (const auto& [instance, reply] : aReplies) {
    if (reply.vote == Vote::kOther) {
      elected.push_back(reply.voted_for);
    }
  }
  return elected;
}

std::vector<Incarnation>
Witnesses(const LeaseRow& aRow)
{
  std::vector<Incarnation> all = aRow.witnesses;
  all.insert(all.end(), aRow.former.begin(), aRow.former.end());
  return all;
}

} // namespace

std::vector<SendMessage>
LeaseReaper::Pursue(const LeaseRow& aRow, Instant aNow)
{
  Case& pursued = m_cases[aRow.lease];
  if (pursued.row.rev != aRow.rev) {
    pursued.replies.clear();
  }
  pursued.row = aRow;
  std::vector<SendMessage> messages;
  if (pursued.asked_at && aNow < *pursued.asked_at + kAskEvery) {
    return messages;
  }
  pursued.asked_at = aNow;
  const VoteRequest request{ aRow.lease, m_self, false };
  messages.push_back({ aRow.lease.instance, request });
  for (const Incarnation& witness : Witnesses(aRow)) {
    messages.push_back({ witness.instance, request });
  }
  for (const Incarnation& elected : Elected(pursued.replies)) {
    messages.push_back({ elected.instance, request });
  }
  return messages;
}

void
LeaseReaper::OnVoteReply(const VoteReply& aReply)
{
  const auto found = m_cases.find(aReply.lease);
  if (found != m_cases.end()) {
    found->second.replies.insert_or_assign(aReply.voter.instance, aReply);
  }
}

bool
LeaseReaper::HasGranted(const Incarnation& aLease,
                        const Incarnation& aWitness) const
{
  const auto found = m_cases.find(aLease);
  if (found == m_cases.end()) {
    return false;
  }
  const auto reply = found->second.replies.find(aWitness.instance);
  return reply != found->second.replies.end() &&
         reply->second.voter == aWitness &&
         reply->second.vote == Vote::kGranted;
}

void
LeaseReaper::Retain(const std::set<Incarnation>& aSuspects)
{
  std::erase_if(m_cases, [&aSuspects](const auto& aEntry) {
    return !aSuspects.contains(aEntry.first);
  });
}

bool
LeaseReaper::IsGone(const Case& aCase,
                    const Incarnation& aMember,
                    const Evidence& aEvidence)
{
  const auto reply = aCase.replies.find(aMember.instance);
  if (reply != aCase.replies.end()) {
    return !reply->second.voter.IsSameProcess(aMember);
  }
  return aEvidence.watch.IsGone(aMember.instance, aEvidence.now);
}

bool
LeaseReaper::IsAccounted(const Case& aCase,
                         const Incarnation& aMember,
                         const Evidence& aEvidence)
{
  if (IsGone(aCase, aMember, aEvidence)) {
    return true;
  }
  const auto reply = aCase.replies.find(aMember.instance);
  if (reply == aCase.replies.end()) {
    return false;
  }
  const VoteReply& said = reply->second;
  if (said.vote != Vote::kOther) {
    return said.vote != Vote::kAlive;
  }
  if (said.voted_for.IsSameProcess(aMember)) {
    // It took over, under a lease that may be over too.
    return said.voted_for != aMember &&
           aEvidence.map.Lease(said.voted_for) == nullptr;
  }
  // Who took over speaks for itself.
  return IsAccounted(aCase, said.voted_for, aEvidence);
}

bool
LeaseReaper::Collect(const Incarnation& aLease,
                     const Evidence& aEvidence,
                     std::map<Incarnation, LeaseRow>& aSet) const
{
  if (aSet.contains(aLease)) {
    return true;
  }
  const auto found = m_cases.find(aLease);
  if (found == m_cases.end()) {
    return false;
  }
  const Case& pursued = found->second;
  const auto accounted = [&](const Incarnation& aMember) {
    return IsAccounted(pursued, aMember, aEvidence);
  };
  auto witnesses = Witnesses(pursued.row);
  const auto elected = Elected(pursued.replies);
  witnesses.insert(witnesses.end(), elected.begin(), elected.end());
  if (!accounted(aLease) ||
      !std::all_of(witnesses.begin(), witnesses.end(), accounted)) {
    return false;
  }
  aSet.emplace(aLease, pursued.row);
  return std::all_of(
    witnesses.begin(), witnesses.end(), [&](const Incarnation& aWitness) {
      return !IsGone(pursued, aWitness, aEvidence) ||
             CollectOf(aWitness, aEvidence, aSet);
    });
}

bool
LeaseReaper::CollectOf(const Incarnation& aProcess,
                       const Evidence& aEvidence,
                       std::map<Incarnation, LeaseRow>& aSet) const
{
  for (const LeaseRow& row : aEvidence.map.LeasesOf(aProcess.instance)) {
    if (row.lease.IsSameProcess(aProcess) &&
        !Collect(row.lease, aEvidence, aSet)) {
      return false;
    }
  }
  return true;
}

std::vector<LeaseRow>
LeaseReaper::Endable(const Incarnation& aLease,
                     const OwnerMap& aMap,
                     MemberWatch& aWatch,
                     Instant aNow) const
{
  std::map<Incarnation, LeaseRow> set;
  std::vector<LeaseRow> rows;
  if (Collect(aLease, { aMap, aWatch, aNow }, set)) {
    for (const auto& [lease, row] : set) {
      rows.push_back(row);
    }
  }
  return rows;
}

} // namespace jujubehead::core
