#include "lease_witness.hpp"

#include <algorithm> // for all_of, any_of, max

namespace jujubehead::core {

LeaseAck
LeaseWitness::OnRenew(const LeaseRenew& aRenew, Instant aNow)
{
  Record& record = m_records[aRenew.lease.lease];
  LeaseAck ack{ aRenew.lease.lease, m_self, false, aRenew.mark, 0, 0 };
  if (record.state != State::kRenewing) {
    return ack;
  }
  if (aRenew.lease.rev >= record.row.rev) {
    record.row = aRenew.lease;
  }
  if (!aRenew.list.empty() &&
      aRenew.list.front().version > record.list.version) {
    record.list = aRenew.list.front();
  }
  record.expires_at =
    std::max(record.expires_at, aNow + m_rules.lease + m_rules.drift);
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
    found->second.expires_at = std::min(found->second.expires_at, aNow);
  }
}

Vote
LeaseWitness::Decide(Record& aRecord,
                     const VoteRequest& aRequest,
                     Instant aNow) const
{
  if (aNow < aRecord.expires_at) {
    return Vote::kAlive;
  }
  if (!aRequest.election) {
    if (aRecord.state == State::kVotedInElection) {
      return Vote::kGrantedToOther;
    }
    aRecord.state = State::kReleasedToService;
    return Vote::kGranted;
  }
  if (aRecord.state == State::kVotedInElection) {
    return aRecord.voted_for == aRequest.candidate ? Vote::kGranted
                                                   : Vote::kGrantedToOther;
  }
  const auto& witnesses = aRecord.row.witnesses;
  const bool from_first =
    !witnesses.empty() && witnesses.front() == aRequest.candidate;
  if (aRecord.state == State::kReleasedToService || !from_first) {
    return Vote::kAlive;
  }
  aRecord.state = State::kVotedInElection;
  aRecord.voted_for = aRequest.candidate;
  return Vote::kGranted;
}

VoteReply
LeaseWitness::OnVoteRequest(const VoteRequest& aRequest, Instant aNow)
{
  auto [at, is_new] = m_records.try_emplace(aRequest.lease);
  Record& record = at->second;
  if (is_new) {
    // The holder may be about to send its first renewal to this witness.
    record.expires_at = aNow + m_rules.lease + m_rules.drift;
  }
  VoteReply reply;
  reply.lease = aRequest.lease;
  reply.voter = m_self;
  reply.vote = Decide(record, aRequest, aNow);
  reply.voted_for = record.voted_for;
  reply.expired_for = std::max(aNow - record.expires_at, Duration{});
  reply.config = record.row.rev;
  if (aRequest.election && reply.vote == Vote::kGranted) {
    reply.list = record.list;
  }
  return reply;
}

bool
LeaseWitness::IsFirstWitness(const Record& aRecord) const
{
  return !aRecord.row.witnesses.empty() &&
         aRecord.row.witnesses.front() == m_self;
}

std::vector<Candidacy>
LeaseWitness::Candidacies(Instant aNow) const
{
  std::vector<Candidacy> candidacies;
  for (const auto& [lease, record] : m_records) {
    if (record.state != State::kRenewing || aNow < record.expires_at ||
        !IsFirstWitness(record)) {
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
    record.agreed[aReply.voter] = aNow - aReply.expired_for;
    if (aReply.list.version > record.list.version) {
      record.list = aReply.list;
    }
  } else if (aReply.config > record.row.rev) {
    // The holder has replaced the witnesses in the meantime.
    record.row.witnesses.clear();
    record.row.rev = aReply.config;
  }
}

std::optional<Takeover>
LeaseWitness::Elect(const Incarnation& aLease,
                    const Incarnation& aUnder,
                    Instant aNow)
{
  const auto found = m_records.find(aLease);
  if (found == m_records.end()) {
    return std::nullopt;
  }
  Record& record = found->second;
  const bool expired =
    record.state == State::kRenewing && aNow >= record.expires_at;
  // An empty list leaves nothing to take over, and the holder may continue with
  // other witnesses.
  if (!expired || !IsFirstWitness(record) || record.list.groups.empty()) {
    return std::nullopt;
  }
  Instant previous_grants_end = record.expires_at;
  for (const Incarnation& witness : record.row.witnesses) {
    if (witness == m_self) {
      continue;
    }
    const auto agreed = record.agreed.find(witness);
    if (agreed == record.agreed.end()) {
      return std::nullopt;
    }
    previous_grants_end = std::max(previous_grants_end, agreed->second);
  }
  record.state = State::kVotedInElection;
  record.voted_for = aUnder;
  return Takeover{ aLease, record.list.groups, previous_grants_end };
}

std::size_t
LeaseWitness::CountUnexpired(Instant aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(m_records.begin(), m_records.end(), [&](const auto& aEntry) {
      return aEntry.second.state == State::kRenewing &&
             aNow < aEntry.second.expires_at;
    }));
}

} // namespace jujubehead::core
