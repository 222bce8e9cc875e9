#include "lease_witness.hpp"

#include <algorithm> // for all_of, any_of, max

namespace jujubehead::core {

LeaseAck
LeaseWitness::OnRenew(const LeaseRenew& aRenew, Instant aNow)
{
  Record& record = m_records[aRenew.lease.lease];
  LeaseAck ack{ aRenew.lease.lease, m_self, false, aRenew.mark, 0, 0 };
  if (record.standing != Standing::kRenewing) {
    return ack;
  }
  if (aRenew.lease.rev >= record.row.rev) {
    record.row = aRenew.lease;
  }
  if (!aRenew.list.empty() &&
      aRenew.list.front().version > record.list.version) {
    record.list = aRenew.list.front();
  }
  record.lapses_at =
    std::max(record.lapses_at, aNow + m_rules.lease + m_rules.drift);
  ack.granted = true;
  ack.config = record.row.rev;
  ack.version = record.list.version;
  return ack;
}

void
LeaseWitness::OnResign(const Incarnation& aLease, Instant aNow)
{
  const auto found = m_records.find(aLease);
  if (found != m_records.end()) {
    found->second.lapses_at = std::min(found->second.lapses_at, aNow);
  }
}

Vote
LeaseWitness::Decide(Record& aRecord,
                     const VoteRequest& aRequest,
                     Instant aNow) const
{
  if (aNow < aRecord.lapses_at) {
    return Vote::kAlive;
  }
  if (!aRequest.election) {
    if (aRecord.standing == Standing::kElection) {
      return Vote::kOther;
    }
    aRecord.standing = Standing::kService;
    return Vote::kGranted;
  }
  if (aRecord.standing == Standing::kElection) {
    return aRecord.voted_for == aRequest.candidate ? Vote::kGranted
                                                   : Vote::kOther;
  }
  const auto& witnesses = aRecord.row.witnesses;
  const bool from_first =
    !witnesses.empty() && witnesses.front() == aRequest.candidate;
  if (aRecord.standing == Standing::kService || !from_first) {
    return Vote::kAlive;
  }
  aRecord.standing = Standing::kElection;
  aRecord.voted_for = aRequest.candidate;
  return Vote::kGranted;
}

VoteReply
LeaseWitness::OnVoteRequest(const VoteRequest& aRequest, Instant aNow)
{
  auto [at, is_new] = m_records.try_emplace(aRequest.lease);
  Record& record = at->second;
  if (is_new) {
    // Its holder may be about to renew it here for the first time.
    record.lapses_at = aNow + m_rules.lease + m_rules.drift;
  }
  VoteReply reply;
  reply.lease = aRequest.lease;
  reply.voter = m_self;
  reply.vote = Decide(record, aRequest, aNow);
  reply.voted_for = record.voted_for;
  reply.lapsed_since = std::max(aNow - record.lapses_at, Duration{});
  reply.config = record.row.rev;
  if (aRequest.election && reply.vote == Vote::kGranted) {
    reply.list = record.list;
  }
  return reply;
}

bool
LeaseWitness::IsFirst(const Record& aRecord) const
{
  return !aRecord.row.witnesses.empty() &&
         aRecord.row.witnesses.front() == m_self;
}

std::vector<Candidacy>
LeaseWitness::Candidacies(Instant aNow) const
{
  std::vector<Candidacy> candidacies;
  for (const auto& [lease, record] : m_records) {
    if (record.standing != Standing::kRenewing || aNow < record.lapses_at ||
        !IsFirst(record)) {
      continue;
    }
    const auto& witnesses = record.row.witnesses;
    candidacies.push_back(
      { lease, { witnesses.begin() + 1, witnesses.end() } });
  }
  return candidacies;
}

void
LeaseWitness::OnVoteReply(const VoteReply& aReply, Instant aNow)
{
  const auto found = m_records.find(aReply.lease);
  if (found == m_records.end()) {
    return;
  }
  Record& record = found->second;
  if (aReply.vote == Vote::kGranted) {
    record.agreed[aReply.voter] = aNow - aReply.lapsed_since;
    if (aReply.list.version > record.list.version) {
      record.list = aReply.list;
    }
  } else if (aReply.config > record.row.rev) {
    // The holder replaced this witness meanwhile.
    record.row.witnesses.clear();
    record.row.rev = aReply.config;
  }
}

std::optional<Succession>
LeaseWitness::Elect(const Incarnation& aLease,
                    const Incarnation& aUnder,
                    Instant aNow)
{
  const auto found = m_records.find(aLease);
  if (found == m_records.end()) {
    return std::nullopt;
  }
  Record& record = found->second;
  const bool lapsed =
    record.standing == Standing::kRenewing && aNow >= record.lapses_at;
  // Of an empty list there is nothing to take over, and its holder may go on
  // with other witnesses.
  if (!lapsed || !IsFirst(record) || record.list.groups.empty()) {
    return std::nullopt;
  }
  Instant previous_end = record.lapses_at;
  for (const Incarnation& witness : record.row.witnesses) {
    if (witness == m_self) {
      continue;
    }
    const auto agreed = record.agreed.find(witness);
    if (agreed == record.agreed.end()) {
      return std::nullopt;
    }
    previous_end = std::max(previous_end, agreed->second);
  }
  record.standing = Standing::kElection;
  record.voted_for = aUnder;
  return Succession{ aLease, record.list.groups, previous_end };
}

std::size_t
LeaseWitness::Watched(Instant aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(m_records.begin(), m_records.end(), [&](const auto& aEntry) {
      return aEntry.second.standing == Standing::kRenewing &&
             aNow < aEntry.second.lapses_at;
    }));
}

} // namespace jujubehead::core
