#include "ownership_impl.hpp"

#include <algorithm> // for any_of
#include <utility>   // for move, exchange

namespace jujubehead::core {

namespace {

Incarnation
ProcessIn(Incarnation aIncarnation)
{
  aIncarnation.number >>= Incarnation::kLeaseBits;
  aIncarnation.number <<= Incarnation::kLeaseBits;
  return aIncarnation;
}

} // namespace

Ownership::Impl::Impl(OwnershipOptions aOptions, Instant aNow)
  : m_options(std::move(aOptions))
  , m_process(ProcessIn({ m_options.self, m_options.process }))
  , m_watch(m_options.self, m_options.data_centre, m_options.rules)
  , m_witness(m_process, m_options.rules)
  , m_reaper(m_process)
  , m_gate(m_options.rules, m_options.process)
{
  const Duration spread = m_options.rules.jitter;
  m_gate.HoldUntil(aNow + m_gate.Jitter(spread) / 2);
  m_claim_at = aNow + m_gate.Jitter(spread);
}

void
Ownership::Impl::SetMembers(std::span<const InstanceMember> aMembers,
                            Instant aNow)
{
  m_watch.Set(aMembers, aNow);
}

void
Ownership::Impl::SetGroups(std::span<const GroupId> aGroups)
{
  m_groups = std::set<GroupId>(aGroups.begin(), aGroups.end());
}

void
Ownership::Impl::OnMessage(const InstanceId& aFrom,
                           const OwnershipMessage& aMessage,
                           Instant aNow)
{
  m_watch.RecordMessage(aFrom, aNow);
  std::visit([&](const auto& aTyped) { On(aFrom, aTyped, aNow); }, aMessage);
}

void
Ownership::Impl::Send(const InstanceId& aTo,
                      OwnershipMessage aMessage,
                      Instant aNow)
{
  if (aTo == m_options.self) {
    OnMessage(aTo, aMessage, aNow);
  } else {
    m_actions.emplace_back(SendMessage{ aTo, std::move(aMessage) });
  }
}

void
Ownership::Impl::On(const InstanceId& aFrom,
                    const LeaseRenew& aRenew,
                    Instant aNow)
{
  m_processes[aFrom] = ProcessIn(aRenew.lease.lease);
  const auto& witnesses = aRenew.lease.witnesses;
  const bool named =
    std::find(witnesses.begin(), witnesses.end(), m_process) != witnesses.end();
  if (named) {
    Send(aFrom, m_witness.OnRenew(aRenew, aNow), aNow);
  } else {
    // The holder's row names an earlier process of this instance.
    Send(aFrom,
         LeaseAck{ aRenew.lease.lease, m_process, false, aRenew.mark, 0, 0 },
         aNow);
  }
}

void
Ownership::Impl::On(const InstanceId& aFrom, const LeaseAck& aAck, Instant aNow)
{
  m_processes[aFrom] = aAck.witness;
  if (m_lease) {
    m_lease->OnAck(aAck, aNow);
  }
}

void
Ownership::Impl::On(const InstanceId& /*aFrom*/,
                    const LeaseResign& aResign,
                    Instant aNow)
{
  m_witness.OnResign(aResign.lease, aNow);
}

VoteReply
Ownership::Impl::AnswerVote(const VoteRequest& aRequest, Instant aNow)
{
  if (aRequest.lease.instance != m_options.self) {
    return m_witness.OnVoteRequest(aRequest, aNow);
  }
  VoteReply reply;
  reply.lease = aRequest.lease;
  reply.voter = m_process;
  const bool held = m_lease && m_lease->Row().lease == aRequest.lease;
  const bool opening = m_opening && m_opening->lease == aRequest.lease;
  reply.vote = held || opening ? Vote::kAlive : Vote::kReleased;
  return reply;
}

void
Ownership::Impl::On(const InstanceId& aFrom,
                    const VoteRequest& aRequest,
                    Instant aNow)
{
  m_processes[aFrom] = ProcessIn(aRequest.candidate);
  Send(aFrom, AnswerVote(aRequest, aNow), aNow);
}

void
Ownership::Impl::On(const InstanceId& aFrom,
                    const VoteReply& aReply,
                    Instant aNow)
{
  m_processes[aFrom] = aReply.voter;
  m_witness.OnVoteReply(aReply, aNow);
  m_reaper.OnVoteReply(aReply);
}

void
Ownership::Impl::On(const InstanceId& aFrom,
                    const OwnersAnnouncement& aAnnouncement,
                    Instant aNow)
{
  for (const LeaseRow& row : aAnnouncement.opened) {
    m_map.Put(row);
    if (row.lease.instance == aFrom) {
      m_processes[aFrom] = ProcessIn(row.lease);
    }
  }
  for (const Incarnation& lease : aAnnouncement.ended) {
    m_map.End(lease);
  }
  for (const GroupRow& row : aAnnouncement.groups) {
    m_map.Put(row);
    if (row.owner.instance == aFrom) {
      m_pending_handovers.erase(row.group);
    }
    const auto held = m_held.find(row.group);
    if (held != m_held.end() && row.epoch > held->second.epoch) {
      Stop(row.group);
    }
    const bool owned_here = m_lease && row.owner == m_lease->Row().lease;
    if (owned_here && !m_held.contains(row.group)) {
      // The group was handed over, but the message with its permits may be
      // lost.
      constexpr Duration kExpectedHandoverTime = std::chrono::seconds(1);
      m_reread.insert(row.group);
      m_check_at = std::min(m_check_at, aNow + kExpectedHandoverTime);
    }
  }
}

void
Ownership::Impl::On(const InstanceId& aFrom,
                    const OwnersQuery& /*aAsk*/,
                    Instant aNow)
{
  OwnersAnnouncement all;
  for (const auto& [group, row] : m_map.Groups()) {
    all.groups.push_back(row);
  }
  for (const auto& [lease, row] : m_map.Leases()) {
    all.opened.push_back(row);
  }
  Send(aFrom, std::move(all), aNow);
}

void
Ownership::Impl::OnHandover(const GroupHandover& aHandover, Instant aNow)
{
  const GroupRow& row = aHandover.row;
  const bool owned_here = m_lease && row.owner == m_lease->Row().lease;
  const auto held = m_held.find(row.group);
  if (!owned_here || held != m_held.end()) {
    return;
  }
  StartOwning start;
  start.has_all_permits = aHandover.complete;
  start.held = aHandover.held;
  start.previous_grants_end = aNow;
  Start(row, true, std::move(start));
}

void
Ownership::Impl::Start(const GroupRow& aRow, bool aRecorded, StartOwning aStart)
{
  aStart.group = aRow.group;
  aStart.epoch = aRow.epoch;
  Holding holding;
  holding.epoch = aRow.epoch;
  holding.row = aRow;
  holding.recorded = aRecorded;
  m_held.insert_or_assign(aRow.group, std::move(holding));
  m_lease_used = true;
  m_map.Put(aRow);
  m_unannounced.groups.push_back(aRow);
  m_actions.emplace_back(std::move(aStart));
  UpdateList();
}

void
Ownership::Impl::Stop(const GroupId& aGroup)
{
  const auto held = m_held.find(aGroup);
  if (held == m_held.end()) {
    return;
  }
  m_actions.emplace_back(StopOwning{ aGroup, held->second.epoch });
  m_held.erase(held);
  UpdateList();
}

void
Ownership::Impl::LoseLease()
{
  while (!m_held.empty()) {
    Stop(m_held.begin()->first);
  }
  m_inherited.clear();
  m_lease.reset();
  m_expired_since.reset();
}

void
Ownership::Impl::UpdateList()
{
  if (!m_lease) {
    return;
  }
  std::vector<GroupRow> groups;
  for (const auto& [group, holding] : m_held) {
    if (!holding.moving) {
      groups.push_back(holding.row);
      groups.back().epoch = holding.epoch;
    }
  }
  m_lease->SetGroups(std::move(groups));
}

void
Ownership::Impl::ApplyRow(const GroupRow& aRow, Instant aNow)
{
  m_map.Put(aRow);
  const bool owned_here = m_lease && aRow.owner == m_lease->Row().lease;
  const auto found = m_held.find(aRow.group);
  if (found == m_held.end()) {
    if (owned_here) {
      StartOwning start;
      start.is_first = aRow.rev == 1;
      start.previous_grants_end = aNow;
      Start(aRow, true, std::move(start));
    }
    return;
  }
  Holding& holding = found->second;
  if (owned_here && aRow.epoch == holding.epoch) {
    const bool written = aRow.rev > holding.row.rev;
    holding.row = aRow;
    holding.recorded = true;
    holding.uncertain = holding.uncertain && !written;
    holding.moving = holding.uncertain;
  } else if (aRow.epoch <= holding.epoch) {
    holding.row.rev = aRow.rev;
  } else if (holding.moving) {
    m_actions.emplace_back(HandOverGroup{ aRow, holding.epoch });
    m_unannounced.groups.push_back(aRow);
    m_pending_handovers.insert_or_assign(aRow.group,
                                         PendingHandover{ aRow, aNow });
    m_held.erase(found);
  } else {
    Stop(aRow.group);
  }
  UpdateList();
}

void
Ownership::Impl::ApplyRow(const LeaseRow& aRow, Instant aNow)
{
  m_map.Put(aRow);
  if (m_opening && m_opening->lease == aRow.lease) {
    m_lease.emplace(aRow, m_options.rules, aNow);
    m_lease_used = false;
    m_opening.reset();
    m_check_at = aNow + m_options.rules.member_timeout;
  } else if (m_lease && m_lease->Row().lease == aRow.lease &&
             aRow.rev > m_lease->Row().rev) {
    const bool all_count = !m_lease_used || m_lease->Row().witnesses.empty() ||
                           (m_safe_change && *m_safe_change == aRow);
    m_lease->Apply(aRow, all_count, aNow);
  } else {
    return;
  }
  m_unannounced.opened.push_back(aRow);
  UpdateList();
}

void
Ownership::Impl::ApplyEnd(const Incarnation& aLease)
{
  m_map.End(aLease);
  m_inherited.erase(aLease);
  m_unannounced.ended.push_back(aLease);
  if (m_lease && m_lease->Row().lease == aLease) {
    LoseLease();
    m_left = m_leaving_since.has_value();
  }
}

void
Ownership::Impl::OnWritten(std::uint64_t aToken,
                           WriteOutcome aOutcome,
                           Instant aNow)
{
  if (!m_gate.IsBusyWith(aToken) || !m_write) {
    return;
  }
  const WriteRows write = *std::exchange(m_write, std::nullopt);
  if (aOutcome == WriteOutcome::kCommitted) {
    m_gate.Succeeded();
    for (const LeaseRow& ended : write.deletes) {
      ApplyEnd(ended.lease);
    }
    for (RowPut put : write.puts) {
      std::visit(
        [&](auto& aRow) {
          ++aRow.rev;
          ApplyRow(aRow, aNow);
        },
        put);
    }
    return;
  }
  if (aOutcome == WriteOutcome::kConflict) {
    m_gate.Conflicted(aNow);
  } else {
    m_gate.Failed(aNow);
  }
  AfterFailedWrite(write, aOutcome);
}

void
Ownership::Impl::AfterFailedWrite(const WriteRows& aWrite,
                                  WriteOutcome aOutcome)
{
  m_must_reread = true;
  for (const RowPut& put : aWrite.puts) {
    const auto* row = std::get_if<GroupRow>(&put);
    if (row == nullptr) {
      continue;
    }
    m_reread.insert(row->group);
    const auto held = m_held.find(row->group);
    if (held == m_held.end() || !held->second.moving) {
      continue;
    }
    Holding& holding = held->second;
    const bool unknown = aOutcome == WriteOutcome::kUnknown;
    holding.uncertain = holding.uncertain || unknown;
    holding.moving = holding.uncertain;
  }
  UpdateList();
}

void
Ownership::Impl::CheckOwnLease(const RowsRead& aRead, Instant aNow)
{
  const auto is = [](const Incarnation& aLease) {
    return [&aLease](const LeaseRow& aRow) { return aRow.lease == aLease; };
  };
  if (m_lease && std::none_of(aRead.leases.begin(),
                              aRead.leases.end(),
                              is(m_lease->Row().lease))) {
    LoseLease();
    m_left = m_leaving_since.has_value();
  }
  if (m_opening && std::none_of(aRead.leases.begin(),
                                aRead.leases.end(),
                                is(m_opening->lease))) {
    m_opening.reset();
  }
  for (const LeaseRow& row : aRead.leases) {
    ApplyRow(row, aNow);
  }
}

void
Ownership::Impl::OnRead(const RowsRead& aRead, Instant aNow)
{
  if (!m_gate.IsBusyWith(aRead.token)) {
    return;
  }
  if (aRead.failed) {
    m_gate.Failed(aNow);
    return;
  }
  m_gate.Succeeded();
  m_must_reread = false;
  m_leases_known_at = m_read_requested_at;
  m_map.ReplaceLeases(aRead.leases);
  std::erase_if(m_inherited, [this](const Incarnation& aLease) {
    return m_map.Lease(aLease) == nullptr;
  });
  CheckOwnLease(aRead, aNow);
  for (const GroupRow& row : aRead.groups) {
    m_reread.erase(row.group);
    ApplyRow(row, aNow);
  }
  if (m_reading_all) {
    m_ready = true;
    m_reread.clear();
  }
}

std::vector<OwnershipAction>
Ownership::Impl::TakeActions()
{
  const bool has_changes = !m_unannounced.groups.empty() ||
                           !m_unannounced.opened.empty() ||
                           !m_unannounced.ended.empty();
  if (has_changes) {
    const OwnersAnnouncement announce = std::exchange(m_unannounced, {});
    for (const InstanceId& other : m_watch.Others()) {
      m_actions.emplace_back(SendMessage{ other, announce });
    }
  }
  return std::exchange(m_actions, {});
}

bool
Ownership::Impl::MayAdmit(const GroupId& aGroup, Instant aNow) const
{
  const auto held = m_held.find(aGroup);
  return held != m_held.end() && !held->second.moving &&
         aNow < LeaseExpiresAt();
}

std::optional<std::uint64_t>
Ownership::Impl::EpochOf(const GroupId& aGroup) const
{
  const auto held = m_held.find(aGroup);
  if (held == m_held.end()) {
    return std::nullopt;
  }
  return held->second.epoch;
}

std::optional<InstanceId>
Ownership::Impl::OwnerOf(const GroupId& aGroup) const
{
  const GroupRow* row = m_map.Group(aGroup);
  if (row == nullptr) {
    return std::nullopt;
  }
  return row->owner.instance;
}

std::vector<GroupId>
Ownership::Impl::Owned() const
{
  std::vector<GroupId> owned;
  owned.reserve(m_held.size());
  for (const auto& [group, holding] : m_held) {
    owned.push_back(group);
  }
  return owned;
}

std::optional<LeaseRow>
Ownership::Impl::Lease() const
{
  if (!m_lease) {
    return std::nullopt;
  }
  return m_lease->Row();
}

Instant
Ownership::Impl::LeaseExpiresAt() const
{
  return m_lease ? m_lease->ExpiresAt() : Instant::min();
}

} // namespace jujubehead::core
