#ifndef JUJUBEHEAD_CORE_OWNERSHIP_MESSAGES_HPP
#define JUJUBEHEAD_CORE_OWNERSHIP_MESSAGES_HPP

#include <compare> // for strong_ordering
#include <cstdint> // for uint64_t
#include <tuple>   // for tie
#include <variant> // for variant
#include <vector>  // for vector

#include "jujubehead/core/ids.hpp"           // for InstanceId
#include "jujubehead/core/runtime_clock.hpp" // for Duration

/// Messages between instances about group ownership. Times are durations or
/// echoed values of the sender's clock: clocks of two instances are never
/// compared.
namespace jujubehead::core {

/// The unit of ownership: a target or a store, by its id.
using GroupId = Id<struct GroupKind>;

/// @brief One process run of an instance, or one of its leases. The high bits
/// of the number are random for each process, the low bits count its leases: a
/// process that lost its lease opens another.
struct Incarnation
{
  InstanceId instance;
  std::uint64_t number = 0;

  static constexpr unsigned kLeaseBits = 16;

  /// @return whether both are of the same process.
  [[nodiscard]] bool IsSameProcess(const Incarnation& aOther) const
  {
    return instance == aOther.instance &&
           (number >> kLeaseBits) == (aOther.number >> kLeaseBits);
  }

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Incarnation&, const Incarnation&) = default;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.instance, aSelf.number);
  }
};

/// @brief A group's row in the table service.
struct GroupRow
{
  GroupId group;
  Incarnation owner; ///< The lease under which it is owned.
  std::uint64_t epoch = 0;
  std::uint64_t rev = 0; ///< Revision of the row; 0: no row exists.

  friend bool operator==(const GroupRow&, const GroupRow&) = default;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.group, aSelf.owner, aSelf.epoch, aSelf.rev);
  }
};

/// @brief A lease's row in the table service. While the row exists, groups that
/// refer to it belong to its holder or to the successor its witnesses elected.
struct LeaseRow
{
  Incarnation lease;
  std::vector<Incarnation> witnesses; ///< The first may take over.
  /// Replaced witnesses that may still have a takeover in progress.
  std::vector<Incarnation> former;
  std::uint64_t rev = 0; ///< Revision of the row; 0: no row exists.

  friend bool operator==(const LeaseRow&, const LeaseRow&) = default;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.lease, aSelf.witnesses, aSelf.former, aSelf.rev);
  }
};

/// @brief The groups owned under a lease, as replicated to its witnesses.
struct OwnedList
{
  std::uint64_t version = 0; ///< Incremented by each change; 0: no list yet.
  std::vector<GroupRow> groups;

  friend bool operator==(const OwnedList&, const OwnedList&) = default;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.version, aSelf.groups);
  }
};

/// @brief Holder to witness: renews the lease.
struct LeaseRenew
{
  LeaseRow lease;
  std::uint64_t mark = 0;      ///< The holder's clock; echoed in the ack.
  std::uint64_t version = 0;   ///< Current version of the list.
  std::vector<OwnedList> list; ///< One element if the witness's is older.

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.lease, aSelf.mark, aSelf.version, aSelf.list);
  }
};

/// @brief Witness to holder: reply to LeaseRenew.
struct LeaseAck
{
  Incarnation lease;
  Incarnation witness;
  bool granted = false; ///< False: this witness will never renew it again.
  std::uint64_t mark = 0;
  std::uint64_t config = 0;  ///< The latest LeaseRow::rev it knows.
  std::uint64_t version = 0; ///< Version of its copy of the list.

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.lease,
                    aSelf.witness,
                    aSelf.granted,
                    aSelf.mark,
                    aSelf.config,
                    aSelf.version);
  }
};

/// @brief Holder to witness: ends the lease at once, before it expires.
struct LeaseResign
{
  Incarnation lease;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.lease);
  }
};

/// @brief Candidate to witnesses and holder: asks to end a lease.
struct VoteRequest
{
  Incarnation lease;
  Incarnation candidate;
  /// True: the first witness asks the others, to take over at once; only one
  /// candidate can get this vote. False: the candidate must also delete the row
  /// in the table service, which decides between several candidates.
  bool election = false;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.lease, aSelf.candidate, aSelf.election);
  }
};

/// @brief Reply of a lease's holder or witness to a VoteRequest.
enum class Vote : std::uint8_t
{
  kGranted,        ///< The voter never renews this lease again.
  kAlive,          ///< The lease has not expired at the voter.
  kGrantedToOther, ///< `voted_for` took over or may have done so.
  kReleased,       ///< The voter was the holder and no longer holds it.
};

/// @brief Reply to a VoteRequest.
struct VoteReply
{
  Incarnation lease;
  Incarnation voter;
  Vote vote = Vote::kAlive;
  Incarnation voted_for;
  Duration expired_for{}; ///< Time since the lease expired at the voter.
  std::uint64_t config = 0;
  OwnedList list;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.lease,
                    aSelf.voter,
                    aSelf.vote,
                    aSelf.voted_for,
                    aSelf.expired_for,
                    aSelf.config,
                    aSelf.list);
  }
};

/// @brief Broadcast of ownership changes. The groups are hints for finding
/// owners; the leases show which instances can own groups, and which process an
/// instance runs.
struct OwnersAnnouncement
{
  std::vector<GroupRow> groups;
  std::vector<LeaseRow> opened;
  std::vector<Incarnation> ended; ///< Leases whose rows were deleted.

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.groups, aSelf.opened, aSelf.ended);
  }
};

/// @brief Starting instance to a peer, when the table service is unavailable:
/// requests all owners. The reply is OwnersAnnouncement.
struct OwnersQuery
{
  template<typename Self>
  static auto Fields(Self& /*aSelf*/)
  {
    return std::tie();
  }
};

using OwnershipMessage = std::variant<LeaseRenew,
                                      LeaseAck,
                                      LeaseResign,
                                      VoteRequest,
                                      VoteReply,
                                      OwnersAnnouncement,
                                      OwnersQuery>;

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_OWNERSHIP_MESSAGES_HPP
