#include <algorithm> // for any_of
#include <utility>   // for move

#include "jujubehead/core/rendezvous.hpp" // for RankByRendezvous
#include "ownership_impl.hpp"

namespace jujubehead::core {

namespace {

/// Spreads the first reads when all instances of a data centre start at once.
constexpr Duration kStartSpreadPerInstance = std::chrono::milliseconds(20);
/// A handover is announced again to its new owner until that owner announces
/// the group, at most for this long.
constexpr Duration kHandoverAnnouncePeriod = std::chrono::minutes(2);
constexpr Duration kAnnounceInterval = std::chrono::seconds(5);

} // namespace

void
Ownership::Impl::Tick(Instant aNow)
{
  if (m_left) {
    return;
  }
  RenewLease(aNow);
  RunElections(aNow);
  SelectMoves(aNow);
  RunServiceOperation(aNow);
  RepeatAnnouncements(aNow);
  ResignIfStuck(aNow);
}

bool
Ownership::Impl::HasValidLease(Instant aNow) const
{
  if (!m_lease || aNow >= m_lease->ExpiresAt()) {
    return false;
  }
  return !m_lease->Row().witnesses.empty() || m_watch.Others().empty();
}

void
Ownership::Impl::RenewLease(Instant aNow)
{
  if (!m_lease) {
    return;
  }
  for (SendMessage& renewal : m_lease->Renew(aNow)) {
    m_actions.emplace_back(std::move(renewal));
  }
  if (aNow < m_lease->ExpiresAt()) {
    m_expired_since.reset();
    return;
  }
  if (!m_expired_since) {
    m_expired_since = aNow;
  }
  const auto& witnesses = m_lease->Row().witnesses;
  const bool refused =
    std::any_of(witnesses.begin(), witnesses.end(), [this](const auto& aOne) {
      return m_lease->IsRefusedBy(aOne);
    });
  const bool long_expired =
    aNow >= *m_expired_since + m_options.rules.witness_timeout;
  if (m_lease->IsRefused() || (refused && long_expired)) {
    LoseLease();
  }
}

void
Ownership::Impl::RunElections(Instant aNow)
{
  if (aNow < m_elect_at || !HasValidLease(aNow) || m_leaving_since) {
    return;
  }
  m_elect_at = aNow + m_options.rules.vote_retry_interval;
  for (const Candidacy& candidacy : m_witness.Candidacies(aNow)) {
    if (const auto won =
          m_witness.Elect(candidacy.lease, m_lease->Row().lease, aNow)) {
      TakeOver(*won);
      continue;
    }
    for (const Incarnation& other : candidacy.others) {
      Send(
        other.instance, VoteRequest{ candidacy.lease, m_process, true }, aNow);
    }
  }
}

void
Ownership::Impl::TakeOver(const Takeover& aTakeover)
{
  m_inherited.insert(aTakeover.lease);
  for (GroupRow row : aTakeover.groups) {
    if ((row.epoch + 1) % kEpochStride == 0 || m_held.contains(row.group)) {
      continue;
    }
    ++row.epoch;
    row.owner = m_lease->Row().lease;
    StartOwning start;
    start.previous_grants_end = aTakeover.previous_grants_end;
    Start(row, false, std::move(start));
  }
}

void
Ownership::Impl::RunServiceOperation(Instant aNow)
{
  if (!m_gate.IsOpen(aNow)) {
    return;
  }
  m_read_requested_at = aNow;
  if (!m_ready || aNow >= m_scan_at) {
    ReadAll(aNow);
    return;
  }
  if (aNow >= m_check_at) {
    m_check_at = aNow + m_options.rules.member_timeout +
                 m_gate.Jitter(m_options.rules.jitter);
    RereadMissingGroups(aNow);
  }
  if (Reread() || OpenLease()) {
    return;
  }
  if (!m_lease) {
    return;
  }
  const bool done = RecordGroups(aNow) || ChangeWitnesses(aNow) ||
                    DeleteEndedLeases(aNow) || ClaimGroups(aNow) ||
                    MoveGroups(aNow) || CloseLease();
  static_cast<void>(done);
}

void
Ownership::Impl::RereadMissingGroups(Instant aNow)
{
  m_must_reread = true;
  const auto candidates = Candidates(aNow);
  for (const GroupId& group : m_groups) {
    const auto home = RankByRendezvous(group.View(), candidates, 1);
    const bool assigned_here = !home.empty() && home.front() == m_options.self;
    if (assigned_here && !m_held.contains(group)) {
      m_reread.insert(group);
    }
  }
}

void
Ownership::Impl::ReadAll(Instant aNow)
{
  if (!m_first_read_at) {
    const auto others = static_cast<Duration::rep>(m_watch.Others().size());
    m_first_read_at = aNow + m_gate.Jitter(kStartSpreadPerInstance * others);
  }
  if (!m_watch.IsKnown() || aNow < *m_first_read_at) {
    return;
  }
  if (!m_ready && !m_gate.IsHealthy()) {
    const auto others = m_watch.Others();
    if (!others.empty()) {
      const auto pick = static_cast<std::size_t>(
        m_gate.Jitter(Duration(static_cast<Duration::rep>(others.size() - 1)))
          .count());
      Send(others[pick], OwnersQuery{}, aNow);
    }
  }
  m_scan_at = aNow + m_options.rules.scan_interval +
              m_gate.Jitter(m_options.rules.scan_interval / 4);
  m_reading_all = true;
  m_actions.emplace_back(ReadRows{ m_gate.Begin(), true, {} });
}

bool
Ownership::Impl::Reread()
{
  if (!m_must_reread) {
    return false;
  }
  m_reading_all = false;
  m_actions.emplace_back(
    ReadRows{ m_gate.Begin(), false, { m_reread.begin(), m_reread.end() } });
  return true;
}

void
Ownership::Impl::Write(WriteRows aWrite)
{
  if (m_lease) {
    const bool changes_lease =
      std::any_of(aWrite.puts.begin(), aWrite.puts.end(), [](const RowPut& aP) {
        return std::holds_alternative<LeaseRow>(aP);
      });
    const bool closing = std::any_of(
      aWrite.deletes.begin(), aWrite.deletes.end(), [this](const auto& aRow) {
        return aRow.lease == m_lease->Row().lease;
      });
    if (!changes_lease && !closing) {
      aWrite.checks.push_back(m_lease->Row());
    }
  }
  aWrite.token = m_gate.Begin();
  m_write = aWrite;
  m_actions.emplace_back(std::move(aWrite));
}

bool
Ownership::Impl::WriteRateLimited(WriteRows aWrite,
                                  double aRowsPerSecond,
                                  Instant aNow)
{
  const std::size_t rows = aWrite.puts.size() + aWrite.deletes.size();
  if (!m_rate_limited_until || rows > m_rate_limited_rows) {
    const double spread = 2.0 * static_cast<double>(rows) *
                          static_cast<double>(m_watch.Others().size() + 1) /
                          aRowsPerSecond;
    m_rate_limited_until =
      aNow + m_gate.Jitter(std::chrono::duration_cast<Duration>(
               std::chrono::duration<double>(spread)));
    m_rate_limited_rows = rows;
  }
  if (aNow < *m_rate_limited_until) {
    return true;
  }
  m_rate_limited_until.reset();
  m_rate_limited_rows = 0;
  Write(std::move(aWrite));
  return true;
}

std::optional<Incarnation>
Ownership::Impl::ProcessOf(const InstanceId& aInstance) const
{
  const auto reported = m_processes.find(aInstance);
  if (reported != m_processes.end()) {
    return reported->second;
  }
  const auto rows = m_map.LeasesOf(aInstance);
  if (rows.empty()) {
    return std::nullopt;
  }
  Incarnation process = rows.back().lease;
  process.number >>= Incarnation::kLeaseBits;
  process.number <<= Incarnation::kLeaseBits;
  return process;
}

bool
Ownership::Impl::OpenLease()
{
  if (m_lease || m_leaving_since || !m_watch.IsKnown()) {
    return false;
  }
  LeaseRow row;
  row.lease = m_process;
  row.lease.number += ++m_leases_opened;
  row.witnesses = PickWitnesses({}, m_read_requested_at);
  m_opening = row;
  WriteRows write;
  write.puts.emplace_back(row);
  Write(std::move(write));
  return true;
}

bool
Ownership::Impl::CloseLease()
{
  if (!m_leaving_since || !m_held.empty() || !m_inherited.empty()) {
    return false;
  }
  WriteRows write;
  write.deletes.push_back(m_lease->Row());
  Write(std::move(write));
  return true;
}

void
Ownership::Impl::Leave(Instant aNow)
{
  if (!m_leaving_since) {
    m_leaving_since = aNow;
  }
}

void
Ownership::Impl::ResignIfStuck(Instant aNow)
{
  if (!m_leaving_since) {
    return;
  }
  const bool timed_out =
    aNow >= *m_leaving_since + m_options.rules.resign_timeout;
  if (m_lease && !(timed_out && !m_gate.IsHealthy())) {
    return;
  }
  if (m_lease) {
    for (const Incarnation& witness : m_lease->Row().witnesses) {
      Send(witness.instance, LeaseResign{ m_lease->Row().lease }, aNow);
    }
  }
  LoseLease();
  m_left = true;
}

void
Ownership::Impl::RepeatAnnouncements(Instant aNow)
{
  if (aNow < m_announce_at) {
    return;
  }
  m_announce_at = aNow + kAnnounceInterval;
  for (const auto& [group, holding] : m_held) {
    if (!holding.recorded) {
      m_unannounced.groups.push_back(holding.row);
      m_unannounced.groups.back().epoch = holding.epoch;
    }
  }
  std::erase_if(m_pending_handovers, [aNow](const auto& aEntry) {
    return aNow >= aEntry.second.at + kHandoverAnnouncePeriod;
  });
  for (const auto& [group, handover] : m_pending_handovers) {
    Send(handover.row.owner.instance,
         OwnersAnnouncement{ { handover.row }, {}, {} },
         aNow);
  }
}

} // namespace jujubehead::core
