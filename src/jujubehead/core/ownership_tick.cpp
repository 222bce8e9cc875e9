#include <algorithm> // for find, all_of
#include <utility>   // for move

#include "jujubehead/core/rendezvous.hpp" // for RankByRendezvous
#include "ownership_impl.hpp"

namespace jujubehead::core {

namespace {

constexpr std::size_t kWitnessCount = 2;
/// Per transaction; leaves room for checks and deletes.
constexpr std::size_t kMaxGroupsPerWrite = 80;
/// Epochs of claims through the table service are multiples of this; takeovers
/// by witnesses increment the epoch in between.
constexpr std::uint64_t kEpochStride = 16;
/// Delay of each further candidate behind the one before it.
constexpr Duration kCandidateDelay = std::chrono::seconds(15);
constexpr std::size_t kMaxCandidates = 3;
/// Spreads the first reads when all instances of a data centre start at once.
constexpr Duration kStartSpreadPerInstance = std::chrono::milliseconds(20);
constexpr Duration kClaimInterval = std::chrono::seconds(1);
constexpr Duration kAnnounceInterval = std::chrono::seconds(5);
/// A handover is announced again to its new owner until that owner announces
/// the group, at most for this long.
constexpr Duration kHandoverAnnouncePeriod = std::chrono::minutes(2);

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

std::uint64_t
NextClaimEpoch(std::uint64_t aEpoch)
{
  return (aEpoch / kEpochStride + 1) * kEpochStride;
}

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
