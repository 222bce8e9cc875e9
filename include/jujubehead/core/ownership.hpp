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

/// @brief The times of leases and of the table service's use.
struct OwnershipRules
{
  Duration renew_every = std::chrono::seconds(1);
  Duration lease = std::chrono::seconds(4);
  /// Witnesses wait this longer than the holder: clock drift over a lease.
  Duration drift = std::chrono::milliseconds(500);
  Duration vote_retry = std::chrono::milliseconds(250);
  /// A witness that did not answer for so long is replaced.
  Duration witness_lost = std::chrono::seconds(8);
  /// Not in the platform's list and silent for so long: taken for gone.
  Duration gone_after = std::chrono::seconds(30);
  /// Members must look unchanged for so long before a group moves by choice.
  Duration settle = std::chrono::seconds(10);
  /// All rows are read again after this.
  Duration scan_every = std::chrono::minutes(5);
  Duration service_retry_least = std::chrono::milliseconds(500);
  Duration service_retry_most = std::chrono::seconds(10);
  /// Spread of the first claim of an instance, and of its scans.
  Duration jitter = std::chrono::seconds(2);
  /// A leaving instance gives up on the table service and resigns.
  Duration resign_after = std::chrono::seconds(5);
  std::size_t moves_at_once = 8;
  /// All instances together keep to about this many rows a second, each by
  /// waiting for a random time that grows with the number of instances: claims
  /// of groups that nobody owns, and what can wait.
  double claims_per_second = 100;
  double other_rows_per_second = 30;
};

/// @brief Who this instance is.
struct OwnershipOptions
{
  InstanceId self;
  DataCentreId data_centre;
  std::uint64_t process = 0; ///< Drawn at random when the process starts.
  OwnershipRules rules;
};

/// @brief An instance as the platform's list has it.
struct InstanceMember
{
  InstanceId id;
  DataCentreId data_centre;
  bool leaving = false;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const InstanceMember&,
                          const InstanceMember&) = default;
};

/// @brief A row as it shall be; its `rev` is the one to replace, 0 for none.
using RowPut = std::variant<LeaseRow, GroupRow>;

/// @brief One transaction: all of it or nothing, at most 100 items. The rows
/// that are put get the next rev.
struct WriteRows
{
  std::uint64_t token = 0; ///< Unique within this process.
  std::vector<RowPut> puts;
  std::vector<LeaseRow> deletes; ///< Only at this rev.
  std::vector<LeaseRow> checks;  ///< At this rev; 0: absent.
};

/// @brief Reads all leases, and the groups: all, or those that are named.
struct ReadRows
{
  std::uint64_t token = 0;
  bool all_groups = false;
  std::vector<GroupId> groups;
};

/// @brief What became of WriteRows.
enum class WriteOutcome : std::uint8_t
{
  kCommitted,
  kConflict, ///< Nothing was written: a condition failed.
  kUnknown,  ///< Written or not, also after asking again.
  kFailed,   ///< Nothing was written.
};

/// @brief What ReadRows found.
struct RowsRead
{
  std::uint64_t token = 0;
  bool failed = false;
  std::vector<LeaseRow> leases;
  std::vector<GroupRow> groups;
};

/// @brief Send to one instance.
struct SendMessage
{
  InstanceId to;
  OwnershipMessage message;
};

/// @brief Begin to admit work to a group.
struct StartOwning
{
  GroupId group;
  std::uint64_t epoch = 0;
  bool is_first = false;        ///< Never owned before: no earlier permits.
  bool is_handed = false;       ///< `held` are all permits of earlier owners.
  std::vector<HeldPermit> held; ///< Permits that are known to be out.
  /// No earlier owner granted anything after this, by this instance's clock.
  Instant previous_end;
};

/// @brief Stop at once: somebody else may own it.
struct StopOwning
{
  GroupId group;
  std::uint64_t epoch = 0;
};

/// @brief The group moved: send HandedOver with the permits that are out, and
/// drop the book.
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

/// @brief Previous owner to the next: the permits that are out.
struct HandedOver
{
  GroupRow row;
  std::vector<HeldPermit> held;
  bool complete = false; ///< Nothing was reserved for unknown ones.

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.row, aSelf.held, aSelf.complete);
  }
};

/// @brief What an instance owns and witnesses. It never blocks and never reads
/// a clock: feed it, call Tick() at least every 250 ms, and carry out the
/// actions in their order.
///
/// A lease is kept alive by either of two witnesses, in other data centres;
/// only when both refuse it may the first of them take over, with no need of
/// the table service. See docs/design/0040-ownership.md.
class Ownership
{
public:
  static Ownership Create(OwnershipOptions aOptions, Instant aNow);
  Ownership(Ownership&&) noexcept;
  Ownership& operator=(Ownership&&) noexcept;
  ~Ownership();

  /// @brief The platform's list of instances, this one included or not.
  void SetMembers(std::span<const InstanceMember> aMembers, Instant aNow);
  /// @brief All that needs an owner.
  void SetGroups(std::span<const GroupId> aGroups, Instant aNow);
  void OnMessage(const InstanceId& aFrom,
                 const OwnershipMessage& aMessage,
                 Instant aNow);
  void OnHandedOver(const HandedOver& aHanded, Instant aNow);
  void OnWritten(std::uint64_t aToken, WriteOutcome aOutcome, Instant aNow);
  void OnRead(const RowsRead& aRead, Instant aNow);
  void Tick(Instant aNow);
  /// @brief Planned stop of this instance: hands everything over.
  void Leave(Instant aNow);
  [[nodiscard]] std::vector<OwnershipAction> TakeActions();

  /// @return whether to admit work now. Ask before each grant.
  [[nodiscard]] bool MayAdmit(const GroupId& aGroup, Instant aNow) const;
  /// @return the epoch under which this instance owns the group.
  [[nodiscard]] std::optional<std::uint64_t> EpochOf(
    const GroupId& aGroup) const;
  /// @return who seems to own it; a hint.
  [[nodiscard]] std::optional<InstanceId> OwnerOf(const GroupId& aGroup) const;
  [[nodiscard]] std::vector<GroupId> Owned() const;
  /// @return when this instance must stop admitting, by its own clock.
  [[nodiscard]] Instant LeaseUntil() const;
  /// @return this instance's lease as the table service has it.
  [[nodiscard]] std::optional<LeaseRow> Lease() const;
  /// @return whether all rows were read once.
  [[nodiscard]] bool IsReady() const;
  /// @return after Leave(): nothing is owned any more.
  [[nodiscard]] bool HasLeft() const;

private:
  class Impl;
  explicit Ownership(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> m_impl;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_OWNERSHIP_HPP
