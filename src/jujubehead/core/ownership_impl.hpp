#ifndef JUJUBEHEAD_SRC_CORE_OWNERSHIP_IMPL_HPP
#define JUJUBEHEAD_SRC_CORE_OWNERSHIP_IMPL_HPP

#include <map>      // for map
#include <optional> // for optional
#include <set>      // for set
#include <vector>   // for vector

#include "jujubehead/core/ownership.hpp" // for Ownership
#include "lease_holder.hpp"              // for LeaseHolder
#include "lease_reaper.hpp"              // for LeaseReaper
#include "lease_witness.hpp"             // for LeaseWitness
#include "member_watch.hpp"              // for MemberWatch
#include "owner_map.hpp"                 // for OwnerMap
#include "service_gate.hpp"              // for ServiceGate

namespace jujubehead::core {

/// Epochs of claims through the table service are multiples of this; takeovers
/// by witnesses increment the epoch in between.
inline constexpr std::uint64_t kEpochStride = 16;
/// Rows of groups per transaction; leaves room for checks and deletes.
inline constexpr std::size_t kMaxGroupsPerWrite = 80;

/// @brief Combines the roles of lease holder, witness and claimant. Results of
/// the table service arrive as rows, and state is derived from rows alone, so
/// that a lost response needs no special handling.
class Ownership::Impl
{
public:
  Impl(OwnershipOptions aOptions, Instant aNow);

  void SetMembers(std::span<const InstanceMember> aMembers, Instant aNow);
  void SetGroups(std::span<const GroupId> aGroups);
  void OnMessage(const InstanceId& aFrom,
                 const OwnershipMessage& aMessage,
                 Instant aNow);
  void OnHandover(const GroupHandover& aHandover, Instant aNow);
  void OnWritten(std::uint64_t aToken, WriteOutcome aOutcome, Instant aNow);
  void OnRead(const RowsRead& aRead, Instant aNow);
  void Tick(Instant aNow);
  void Leave(Instant aNow);
  std::vector<OwnershipAction> TakeActions();

  [[nodiscard]] bool MayAdmit(const GroupId& aGroup, Instant aNow) const;
  [[nodiscard]] std::optional<std::uint64_t> EpochOf(
    const GroupId& aGroup) const;
  [[nodiscard]] std::optional<InstanceId> OwnerOf(const GroupId& aGroup) const;
  [[nodiscard]] std::vector<GroupId> Owned() const;
  [[nodiscard]] Instant LeaseExpiresAt() const;
  [[nodiscard]] std::optional<LeaseRow> Lease() const;
  [[nodiscard]] bool IsReady() const { return m_ready; }
  [[nodiscard]] bool HasLeft() const { return m_left; }

private:
  struct Holding
  {
    std::uint64_t epoch = 0;
    GroupRow row; ///< As stored in the table service.
    bool recorded = true;
    bool moving = false;
    /// A move with unknown outcome may still commit: the row is written again
    /// before work is admitted.
    bool uncertain = false;
    std::uint64_t moving_since = 0; ///< First list version without it.
  };

  struct PendingHandover
  {
    GroupRow row;
    Instant at;
  };

  // ownership_impl.cpp: handling of messages and rows.
  void On(const InstanceId& aFrom, const LeaseRenew& aRenew, Instant aNow);
  void On(const InstanceId& aFrom, const LeaseAck& aAck, Instant aNow);
  void On(const InstanceId& aFrom, const LeaseResign& aResign, Instant aNow);
  void On(const InstanceId& aFrom, const VoteRequest& aRequest, Instant aNow);
  void On(const InstanceId& aFrom, const VoteReply& aReply, Instant aNow);
  void On(const InstanceId& aFrom,
          const OwnersAnnouncement& aAnnouncement,
          Instant aNow);
  void On(const InstanceId& aFrom, const OwnersQuery& aAsk, Instant aNow);
  [[nodiscard]] VoteReply AnswerVote(const VoteRequest& aRequest, Instant aNow);
  void Send(const InstanceId& aTo, OwnershipMessage aMessage, Instant aNow);
  void ApplyRow(const GroupRow& aRow, Instant aNow);
  void ApplyRow(const LeaseRow& aRow, Instant aNow);
  void ApplyEnd(const Incarnation& aLease);
  void CheckOwnLease(const RowsRead& aRead, Instant aNow);
  void Start(const GroupRow& aRow, bool aRecorded, StartOwning aStart);
  void Stop(const GroupId& aGroup);
  void LoseLease();
  void UpdateList();

  // ownership_tick.cpp: periodic work.
  void RenewLease(Instant aNow);
  void RunElections(Instant aNow);
  void TakeOver(const Takeover& aTakeover);
  void RunServiceOperation(Instant aNow);
  /// Schedules a read of the groups that are assigned to this instance but not
  /// held by it.
  void RereadMissingGroups(Instant aNow);
  void ReadAll(Instant aNow);
  bool Reread();
  bool OpenLease();
  bool RecordGroups(Instant aNow);
  bool ChangeWitnesses(Instant aNow);
  [[nodiscard]] std::optional<LeaseRow> NextWitnesses(Instant aNow);
  bool DeleteEndedLeases(Instant aNow);
  /// @return the suspects that it is now this instance's turn to end.
  [[nodiscard]] std::set<Incarnation> DueSuspects(
    const std::set<Incarnation>& aSuspects,
    Instant aNow);
  void RequestVotesRecursively(const Incarnation& aLease,
                               const std::set<Incarnation>& aSuspects,
                               std::set<Incarnation>& aRequested,
                               Instant aNow);
  bool ClaimGroups(Instant aNow);
  bool MoveGroups(Instant aNow);
  bool CloseLease();
  void SelectMoves(Instant aNow);
  void ResignIfStuck(Instant aNow);
  void Write(WriteRows aWrite);
  /// @brief As Write(), limited to this instance's share of the total rate.
  /// @return whether it was written or is deferred.
  bool WriteRateLimited(WriteRows aWrite, double aRowsPerSecond, Instant aNow);
  void RepeatAnnouncements(Instant aNow);
  [[nodiscard]] bool HasValidLease(Instant aNow) const;
  [[nodiscard]] std::vector<Incarnation> PickWitnesses(
    const std::vector<Incarnation>& aKept,
    Instant aNow) const;
  [[nodiscard]] std::optional<Incarnation> ProcessOf(
    const InstanceId& aInstance) const;
  /// @return whether a process has ended, by the members or because a later
  /// one reports under its instance's name.
  [[nodiscard]] bool IsProcessGone(const Incarnation& aProcess, Instant aNow);
  [[nodiscard]] bool HasLeaseRow(const Incarnation& aProcess) const;
  [[nodiscard]] bool AreAllWitnessesReplaceable(Instant aNow);
  /// @return the other instances that may hold leases now.
  [[nodiscard]] std::vector<InstanceId> OtherHolders() const;
  /// @return the instances that may own groups now.
  [[nodiscard]] std::vector<InstanceId> Candidates(Instant aNow) const;
  [[nodiscard]] std::optional<LeaseRow> LeaseOf(
    const InstanceId& aInstance) const;
  void AfterFailedWrite(const WriteRows& aWrite, WriteOutcome aOutcome);
  [[nodiscard]] bool IsSuspect(const LeaseRow& aRow, Instant aNow);
  /// @return this instance's delay behind the first candidate for a key;
  /// nullopt if it is no candidate.
  [[nodiscard]] std::optional<Duration> DelayFor(
    std::string_view aKey,
    const std::vector<InstanceId>& aCandidates) const;
  [[nodiscard]] bool IsUnowned(const GroupRow* aRow) const;

  OwnershipOptions m_options;
  Incarnation m_process;
  MemberWatch m_watch;
  OwnerMap m_map;
  LeaseWitness m_witness;
  LeaseReaper m_reaper;
  ServiceGate m_gate;
  std::optional<LeaseHolder> m_lease;
  bool m_lease_used = false; ///< At least one group was owned under it.
  std::optional<LeaseRow> m_opening;
  /// The row after a witness change during which no earlier witness can take
  /// over.
  std::optional<LeaseRow> m_safe_change;
  std::uint64_t m_leases_opened = 0;
  std::map<GroupId, Holding> m_held;
  std::set<GroupId> m_groups;
  /// Not announced by the new owner yet.
  std::map<GroupId, PendingHandover> m_pending_handovers;
  /// As they reported themselves.
  std::map<InstanceId, Incarnation> m_processes;
  /// Lost witnesses; when lost.
  std::map<InstanceId, Instant> m_avoided_witnesses;
  /// Taken over; rows not deleted yet.
  std::set<Incarnation> m_inherited;
  /// By unowned group and suspect.
  std::map<std::string, Instant> m_due_since;

  std::optional<WriteRows> m_write;
  std::optional<Instant> m_first_read_at;
  std::optional<Instant> m_rate_limited_until;
  std::size_t m_rate_limited_rows = 0;
  std::set<GroupId> m_reread;
  bool m_must_reread = false;
  bool m_reading_all = false;
  bool m_ready = false;
  Instant m_scan_at;
  Instant m_check_at;
  Instant m_read_requested_at;
  Instant m_leases_known_at; ///< Start of the last read of leases.
  Instant m_elect_at;
  Instant m_claim_at;
  Instant m_announce_at;
  std::optional<Instant> m_expired_since;
  std::optional<Instant> m_leaving_since;
  bool m_left = false;

  std::vector<OwnershipAction> m_actions;
  OwnersAnnouncement m_unannounced;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_SRC_CORE_OWNERSHIP_IMPL_HPP
