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

/// @brief Joins the holder's, the witness's and the claimant's parts. All that
/// the table service does comes back as rows; state follows from rows alone,
/// so that a lost answer needs no rule of its own.
class Ownership::Impl
{
public:
  Impl(OwnershipOptions aOptions, Instant aNow);

  void SetMembers(std::span<const InstanceMember> aMembers, Instant aNow);
  void SetGroups(std::span<const GroupId> aGroups);
  void OnMessage(const InstanceId& aFrom,
                 const OwnershipMessage& aMessage,
                 Instant aNow);
  void OnHandedOver(const HandedOver& aHanded, Instant aNow);
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
  [[nodiscard]] Instant LeaseUntil() const;
  [[nodiscard]] std::optional<LeaseRow> Lease() const;
  [[nodiscard]] bool IsReady() const { return m_ready; }
  [[nodiscard]] bool HasLeft() const { return m_left; }

private:
  struct Holding
  {
    std::uint64_t epoch = 0;
    GroupRow row; ///< As the table service has it.
    bool recorded = true;
    bool moving = false;
    /// A move may still land: written again before it is admitted to.
    bool uncertain = false;
    std::uint64_t moving_since = 0; ///< Version of the list without it.
  };

  struct Handed
  {
    GroupRow row;
    Instant at;
  };

  // ownership_impl.cpp: messages and rows.
  void On(const InstanceId& aFrom, const LeaseRenew& aRenew, Instant aNow);
  void On(const InstanceId& aFrom, const LeaseAck& aAck, Instant aNow);
  void On(const InstanceId& aFrom, const LeaseResign& aResign, Instant aNow);
  void On(const InstanceId& aFrom, const VoteRequest& aRequest, Instant aNow);
  void On(const InstanceId& aFrom, const VoteReply& aReply, Instant aNow);
  void On(const InstanceId& aFrom, const OwnersAnnounce& aNews, Instant aNow);
  void On(const InstanceId& aFrom, const OwnersAsk& aAsk, Instant aNow);
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

  // ownership_tick.cpp: what time brings.
  void KeepLease(Instant aNow);
  void HoldElections(Instant aNow);
  void Take(const Succession& aSuccession);
  void UseService(Instant aNow);
  /// Reads the rows that should name this instance but are not held.
  void LookForOwn(Instant aNow);
  void ReadAll(Instant aNow);
  bool Reread();
  bool OpenLease();
  bool Record(Instant aNow);
  bool ChangeWitnesses(Instant aNow);
  [[nodiscard]] std::optional<LeaseRow> NextWitnesses(Instant aNow);
  bool EndLeases(Instant aNow);
  /// @return those that this instance is to end, by now.
  [[nodiscard]] std::set<Incarnation> DueSuspects(
    const std::set<Incarnation>& aSuspects,
    Instant aNow);
  void PursueWithWitnesses(const Incarnation& aLease,
                           const std::set<Incarnation>& aSuspects,
                           std::set<Incarnation>& aPursued,
                           Instant aNow);
  bool Claim(Instant aNow);
  bool Move(Instant aNow);
  bool Close();
  void PickMoves(Instant aNow);
  void ResignIfStuck(Instant aNow);
  void Write(WriteRows aWrite);
  /// @brief As Write(), but in this instance's share of the pace of all.
  /// @return whether it was written, or shall be later.
  bool WritePaced(WriteRows aWrite, double aRowsPerSecond, Instant aNow);
  void AnnounceAgain(Instant aNow);
  [[nodiscard]] bool HasValidLease(Instant aNow) const;
  [[nodiscard]] std::vector<Incarnation> PickWitnesses(
    const std::vector<Incarnation>& aKept,
    Instant aNow) const;
  [[nodiscard]] std::optional<Incarnation> ProcessOf(
    const InstanceId& aInstance) const;
  [[nodiscard]] bool IsAllLostSafely(Instant aNow);
  /// @return who may hold leases now, without this instance.
  [[nodiscard]] std::vector<InstanceId> OtherHolders() const;
  /// @return who may own groups now.
  [[nodiscard]] std::vector<InstanceId> Candidates(Instant aNow) const;
  [[nodiscard]] std::optional<LeaseRow> LeaseOf(
    const InstanceId& aInstance) const;
  void AfterFailedWrite(const WriteRows& aWrite, WriteOutcome aOutcome);
  [[nodiscard]] bool IsSuspect(const LeaseRow& aRow, Instant aNow);
  /// @return how long after the first this instance acts on a key; nothing if
  /// it never does.
  [[nodiscard]] std::optional<Duration> DelayFor(
    std::string_view aKey,
    const std::vector<InstanceId>& aCandidates) const;
  [[nodiscard]] bool IsFree(const GroupRow* aRow) const;

  OwnershipOptions m_options;
  Incarnation m_process;
  MemberWatch m_watch;
  OwnerMap m_map;
  LeaseWitness m_witness;
  LeaseReaper m_reaper;
  ServiceGate m_gate;
  std::optional<LeaseHolder> m_lease;
  bool m_lease_used = false; ///< Something was owned under it.
  std::optional<LeaseRow> m_opening;
  /// The row as it will be after a change that no earlier witness can disturb.
  std::optional<LeaseRow> m_safe_change;
  std::uint64_t m_leases_opened = 0;
  std::map<GroupId, Holding> m_held;
  std::set<GroupId> m_groups;
  std::map<GroupId, Handed> m_handed; ///< Not announced by the new owner yet.
  std::map<InstanceId, Incarnation> m_processes; ///< As they said themselves.
  std::map<InstanceId, Instant> m_avoid;         ///< Witnesses that were lost.
  std::set<Incarnation> m_inherited; ///< Leases won, whose rows still stand.
  std::map<std::string, Instant> m_due_since; ///< Free groups, ended leases.

  std::optional<WriteRows> m_write;
  std::optional<Instant> m_first_read_at;
  std::optional<Instant> m_paced_until;
  std::size_t m_paced_rows = 0;
  std::set<GroupId> m_reread;
  bool m_must_reread = false;
  bool m_reading_all = false;
  bool m_ready = false;
  Instant m_scan_at;
  Instant m_check_at;
  Instant m_read_asked_at;
  Instant m_leases_known_at; ///< When the last read of them was asked for.
  Instant m_elect_at;
  Instant m_claim_at;
  Instant m_announce_at;
  std::optional<Instant> m_lapsed_since;
  std::optional<Instant> m_leaving_since;
  bool m_left = false;

  std::vector<OwnershipAction> m_actions;
  OwnersAnnounce m_news;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_SRC_CORE_OWNERSHIP_IMPL_HPP
