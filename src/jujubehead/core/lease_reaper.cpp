#include "lease_reaper.hpp"

#include <algorithm> // for all_of

namespace jujubehead::core {

namespace {

constexpr Duration kRequestInterval = std::chrono::seconds(1);

/// Candidates that got a vote, possibly under an earlier version of the row.
std::vector<Incarnation>
ElectedCandidates(const std::map<InstanceId, VoteReply>& aReplies)
{
  std::vector<Incarnation> elected;
  for (const auto& [instance, reply] : aReplies) {
    if (reply.vote == Vote::kGrantedToOther) {
      elected.push_back(reply.voted_for);
    }
  }
  return elected;
}

std::vector<Incarnation>
AllWitnesses(const LeaseRow& aRow)
{
  std::vector<Incarnation> all = aRow.witnesses;
  all.insert(all.end(), aRow.former.begin(), aRow.former.end());
  return all;
}

} // namespace

std::vector<SendMessage>
LeaseReaper::RequestVotes(const LeaseRow& aRow, Instant aNow)
{
  Poll& poll = m_polls[aRow.lease];
  if (poll.row.rev != aRow.rev) {
    poll.replies.clear();
  }
  poll.row = aRow;
  std::vector<SendMessage> messages;
  if (poll.requested_at && aNow < *poll.requested_at + kRequestInterval) {
    return messages;
  }
  poll.requested_at = aNow;
  const VoteRequest request{ aRow.lease, m_self, false };
  messages.push_back({ aRow.lease.instance, request });
  for (const Incarnation& witness : AllWitnesses(aRow)) {
    messages.push_back({ witness.instance, request });
  }
  for (const Incarnation& elected : ElectedCandidates(poll.replies)) {
    messages.push_back({ elected.instance, request });
  }
  return messages;
}

void
LeaseReaper::OnVoteReply(const VoteReply& aReply)
{
  const auto found = m_polls.find(aReply.lease);
  if (found != m_polls.end()) {
    found->second.replies.insert_or_assign(aReply.voter.instance, aReply);
  }
}

const VoteReply*
LeaseReaper::ReplyOf(const Incarnation& aLease, const InstanceId& aVoter) const
{
  const auto found = m_polls.find(aLease);
  if (found == m_polls.end()) {
    return nullptr;
  }
  const auto reply = found->second.replies.find(aVoter);
  return reply == found->second.replies.end() ? nullptr : &reply->second;
}

bool
LeaseReaper::HasGranted(const Incarnation& aLease,
                        const Incarnation& aWitness) const
{
  const VoteReply* reply = ReplyOf(aLease, aWitness.instance);
  return reply != nullptr && reply->voter == aWitness &&
         reply->vote == Vote::kGranted;
}

bool
LeaseReaper::HasReleased(const Incarnation& aLease,
                         const Incarnation& aProcess) const
{
  const VoteReply* reply = ReplyOf(aLease, aProcess.instance);
  return reply != nullptr && reply->voter.IsSameProcess(aProcess) &&
         reply->vote == Vote::kGranted;
}

std::optional<Incarnation>
LeaseReaper::CandidateOf(const Incarnation& aLease,
                         const Incarnation& aWitness) const
{
  const VoteReply* reply = ReplyOf(aLease, aWitness.instance);
  const bool has_voted = reply != nullptr && reply->voter == aWitness &&
                         reply->vote == Vote::kGrantedToOther;
  return has_voted ? std::optional(reply->voted_for) : std::nullopt;
}

void
LeaseReaper::Retain(const std::set<Incarnation>& aSuspects)
{
  std::erase_if(m_polls, [&aSuspects](const auto& aEntry) {
    return !aSuspects.contains(aEntry.first);
  });
}

bool
LeaseReaper::IsGone(const Poll& aPoll,
                    const Incarnation& aMember,
                    const Context& aContext)
{
  const auto reply = aPoll.replies.find(aMember.instance);
  if (reply != aPoll.replies.end()) {
    return !reply->second.voter.IsSameProcess(aMember);
  }
  return aContext.watch.IsGone(aMember.instance, aContext.now);
}

bool
LeaseReaper::IsFenced(const Poll& aPoll,
                      const Incarnation& aMember,
                      const Context& aContext)
{
  if (IsGone(aPoll, aMember, aContext)) {
    return true;
  }
  const auto reply = aPoll.replies.find(aMember.instance);
  if (reply == aPoll.replies.end()) {
    return false;
  }
  const VoteReply& answer = reply->second;
  if (answer.vote != Vote::kGrantedToOther) {
    return answer.vote != Vote::kAlive;
  }
  if (answer.voted_for.IsSameProcess(aMember)) {
    // It took over under a lease that may have ended as well.
    return answer.voted_for != aMember &&
           aContext.map.Lease(answer.voted_for) == nullptr;
  }
  // The instance that took over is judged by its own reply.
  return IsFenced(aPoll, answer.voted_for, aContext);
}

bool
LeaseReaper::CollectDeletable(const Incarnation& aLease,
                              const Context& aContext,
                              std::map<Incarnation, LeaseRow>& aDeletable) const
{
  if (aDeletable.contains(aLease)) {
    return true;
  }
  const auto found = m_polls.find(aLease);
  if (found == m_polls.end()) {
    return false;
  }
  const Poll& poll = found->second;
  const auto is_fenced = [&](const Incarnation& aMember) {
    return IsFenced(poll, aMember, aContext);
  };
  auto witnesses = AllWitnesses(poll.row);
  const auto elected = ElectedCandidates(poll.replies);
  witnesses.insert(witnesses.end(), elected.begin(), elected.end());
  if (!is_fenced(aLease) ||
      !std::all_of(witnesses.begin(), witnesses.end(), is_fenced)) {
    return false;
  }
  aDeletable.emplace(aLease, poll.row);
  return std::all_of(
    witnesses.begin(), witnesses.end(), [&](const Incarnation& aWitness) {
      return !IsGone(poll, aWitness, aContext) ||
             CollectLeasesOf(aWitness, aContext, aDeletable);
    });
}

bool
LeaseReaper::CollectLeasesOf(const Incarnation& aProcess,
                             const Context& aContext,
                             std::map<Incarnation, LeaseRow>& aDeletable) const
{
  for (const LeaseRow& row : aContext.map.LeasesOf(aProcess.instance)) {
    if (row.lease.IsSameProcess(aProcess) &&
        !CollectDeletable(row.lease, aContext, aDeletable)) {
      return false;
    }
  }
  return true;
}

std::vector<LeaseRow>
LeaseReaper::FindDeletable(const Incarnation& aLease,
                           const OwnerMap& aMap,
                           MemberWatch& aWatch,
                           Instant aNow) const
{
  std::map<Incarnation, LeaseRow> set;
  std::vector<LeaseRow> rows;
  if (CollectDeletable(aLease, { aMap, aWatch, aNow }, set)) {
    for (const auto& [lease, row] : set) {
      rows.push_back(row);
    }
  }
  return rows;
}

} // namespace jujubehead::core
