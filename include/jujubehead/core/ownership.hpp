#ifndef JUJUBEHEAD_CORE_OWNERSHIP_HPP
#define JUJUBEHEAD_CORE_OWNERSHIP_HPP

#include <cstdint>  // for uint64_t
#include <memory>   // for unique_ptr
#include <optional> // for optional
#include <span>     // for span
#include <string>   // for string
#include <variant>  // for variant
#include <vector>   // for vector

#include "jujubehead/core/ownership_messages.hpp" // for OwnershipMessage
#include "jujubehead/core/permit.hpp"             // for HeldPermit

namespace jujubehead::core {

/// @brief Timings of leases and of the use of the table service.
struct OwnershipRules
{
  Duration renew_interval = std::chrono::seconds(1);
  Duration lease = std::chrono::seconds(4);
  /// Added by witnesses to the lease duration: bounds clock drift over a lease.
  Duration drift = std::chrono::milliseconds(500);
  Duration vote_retry_interval = std::chrono::milliseconds(250);
  /// A witness that has not replied for this long is replaced.
  Duration witness_timeout = std::chrono::seconds(8);
  /// An instance that is missing from the platform's list and has sent nothing
  /// for this long is considered gone.
  Duration member_timeout = std::chrono::seconds(30);
  /// The member list must be unchanged for this long before groups are
  /// rebalanced.
  Duration settle_time = std::chrono::seconds(10);
  /// Interval between full scans of the rows.
  Duration scan_interval = std::chrono::minutes(5);
  Duration service_retry_min = std::chrono::milliseconds(500);
  Duration service_retry_max = std::chrono::seconds(10);
  /// Random spread of an instance's first claim and of its scans.
  Duration jitter = std::chrono::seconds(2);
  /// A leaving instance resigns its lease when the table service has been
  /// unavailable for this long.
  Duration resign_timeout = std::chrono::seconds(5);
  std::size_t max_concurrent_moves = 8;
  /// Approximate write rates in rows per second over all instances. Each
  /// instance waits for a random time that grows with the number of instances.
  /// The first limits claims of unowned groups, the second all deferrable
  /// writes.
  double claims_per_second = 100;
  double other_rows_per_second = 30;
};

/// @brief Identity and settings of this instance.
struct OwnershipOptions
{
  InstanceId self;
  DataCentreId data_centre;
  std::uint64_t process = 0; ///< Random; chosen when the process starts.
  OwnershipRules rules;
};

/// @brief An entry of the platform's list of instances.
struct InstanceMember
{
  InstanceId id;
  DataCentreId data_centre;
  bool leaving = false;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const InstanceMember&,
                          const InstanceMember&) = default;
};

/// @brief The new content of a row. `rev` is the revision to replace; 0 creates
/// the row.
using RowPut = std::variant<LeaseRow, GroupRow>;

/// @brief One atomic transaction of at most 100 items. Each row that is put
/// gets the next revision.
struct WriteRows
{
  std::uint64_t token = 0; ///< Unique within this process.
  std::vector<RowPut> puts;
  std::vector<LeaseRow> deletes; ///< Conditional on the revision.
  std::vector<LeaseRow> checks;  ///< Must have this revision; 0: absent.
};

/// @brief Reads all leases, and either all groups or those listed.
struct ReadRows
{
  std::uint64_t token = 0;
  bool all_groups = false;
  std::vector<GroupId> groups;
};

/// @brief Result of WriteRows.
enum class WriteOutcome : std::uint8_t
{
  kCommitted,
  kConflict, ///< A condition failed; nothing was written.
  kUnknown,  ///< May have been written; still unclear after a retry.
  kFailed,   ///< Nothing was written.
};

/// @brief Result of ReadRows.
struct RowsRead
{
  std::uint64_t token = 0;
  bool failed = false;
  std::vector<LeaseRow> leases;
  std::vector<GroupRow> groups;
};

/// @brief Action: send a message to one instance.
struct SendMessage
{
  InstanceId to;
  OwnershipMessage message;
};

/// @brief Action: begin to admit work to a group.
struct StartOwning
{
  GroupId group;
  std::uint64_t epoch = 0;
  bool is_first = false;        ///< Never owned before: no earlier permits.
  bool has_all_permits = false; ///< `held` has all permits of earlier owners.
  std::vector<HeldPermit> held; ///< Permits known to be outstanding.
  /// No earlier owner granted a permit after this, by this instance's clock.
  Instant previous_grants_end;
};

/// @brief Action: stop admitting at once; another instance may own the group.
struct StopOwning
{
  GroupId group;
  std::uint64_t epoch = 0;
};

/// @brief Action: the group moved. Send GroupHandover with the outstanding
/// permits and discard the permit book.
struct HandOverGroup
{
  GroupRow row; ///< With its new owner and epoch.
  std::uint64_t old_epoch = 0;
};

using OwnershipAction = std::variant<SendMessage,
                                     WriteRows,
                                     ReadRows,
                                     StartOwning,
                                     StopOwning,
                                     HandOverGroup>;

/// @brief Previous owner to the next: the outstanding permits.
struct GroupHandover
{
  GroupRow row;
  std::vector<HeldPermit> held;
  bool complete = false; ///< `held` has all permits; none are unknown.

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.row, aSelf.held, aSelf.complete);
  }
};

/// @brief State machine for the groups that an instance owns and the leases
/// that it witnesses. It never blocks or reads a clock: pass it events, call
/// Tick() at least every 250 ms, and carry out the actions in order.
///
/// Either of two witnesses, in other data centres, can keep a lease alive. Only
/// when both refuse it may the first of them take over, without the table
/// service. See docs/design/0040-ownership.md.
class Ownership
{
public:
  static Ownership Create(OwnershipOptions aOptions, Instant aNow);
  Ownership(Ownership&&) noexcept;
  Ownership& operator=(Ownership&&) noexcept;
  ~Ownership();

  /// @brief Sets the platform's list of instances, with or without this one.
  void SetMembers(std::span<const InstanceMember> aMembers, Instant aNow);
  /// @brief Sets all groups that need an owner.
  void SetGroups(std::span<const GroupId> aGroups, Instant aNow);
  void OnMessage(const InstanceId& aFrom,
                 const OwnershipMessage& aMessage,
                 Instant aNow);
  void OnHandover(const GroupHandover& aHandover, Instant aNow);
  void OnWritten(std::uint64_t aToken, WriteOutcome aOutcome, Instant aNow);
  void OnRead(const RowsRead& aRead, Instant aNow);
  void Tick(Instant aNow);
  /// @brief Begins a planned stop of this instance: hands over all groups.
  void Leave(Instant aNow);
  [[nodiscard]] std::vector<OwnershipAction> TakeActions();

  /// @return whether work may be admitted now. Check before each grant.
  [[nodiscard]] bool MayAdmit(const GroupId& aGroup, Instant aNow) const;
  /// @return the epoch under which this instance owns the group.
  [[nodiscard]] std::optional<std::uint64_t> EpochOf(
    const GroupId& aGroup) const;
  /// @return the probable owner; a hint.
  [[nodiscard]] std::optional<InstanceId> OwnerOf(const GroupId& aGroup) const;
  [[nodiscard]] std::vector<GroupId> Owned() const;
  /// @return when this instance must stop admitting, by its own clock.
  [[nodiscard]] Instant LeaseExpiresAt() const;
  /// @return this instance's lease as stored in the table service.
  [[nodiscard]] std::optional<LeaseRow> Lease() const;
  /// @return whether the first full scan has completed.
  [[nodiscard]] bool IsReady() const;
  /// @return whether, after Leave(), this instance owns nothing any more.
  [[nodiscard]] bool HasLeft() const;

private:
  class Impl;
  explicit Ownership(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> m_impl;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_OWNERSHIP_HPP
