#ifndef JUJUBEHEAD_CORE_OWNERSHIP_MESSAGES_HPP
#define JUJUBEHEAD_CORE_OWNERSHIP_MESSAGES_HPP

#include <compare> // for strong_ordering
#include <cstdint> // for uint64_t
#include <tuple>   // for tie
#include <variant> // for variant
#include <vector>  // for vector

#include "jujubehead/core/ids.hpp"           // for InstanceId
#include "jujubehead/core/runtime_clock.hpp" // for Duration

/// What instances tell each other about who owns what. Times are durations
/// or marks of one's own clock: clocks of two instances are never compared.
namespace jujubehead::core {

/// What is owned as one: a target or a store, by its id.
using GroupId = Id<struct GroupKind>;

/// @brief One life of an instance, or of its lease. The high bits of the
/// number are drawn when the process starts, the low ones count its leases: a
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

/// @brief A group as the table service's row has it.
struct GroupRow
{
  GroupId group;
  Incarnation owner; ///< The lease under which it is owned.
  std::uint64_t epoch = 0;
  std::uint64_t rev = 0; ///< Of the row; 0: there is none.

  friend bool operator==(const GroupRow&, const GroupRow&) = default;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.group, aSelf.owner, aSelf.epoch, aSelf.rev);
  }
};

/// @brief A lease as the table service's row has it. While the row is there,
/// groups that name it belong to its holder, or to whom its witnesses elected.
struct LeaseRow
{
  Incarnation lease;
  std::vector<Incarnation> witnesses; ///< The first may take over.
  /// Replaced, but a takeover that they began may be under way.
  std::vector<Incarnation> former;
  std::uint64_t rev = 0; ///< Of the row; 0: there is none.

  friend bool operator==(const LeaseRow&, const LeaseRow&) = default;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.lease, aSelf.witnesses, aSelf.former, aSelf.rev);
  }
};

/// @brief What is owned under a lease, as its witnesses keep it.
struct OwnedList
{
  std::uint64_t version = 0; ///< Rises with every change; 0: none yet.
  std::vector<GroupRow> groups;

  friend bool operator==(const OwnedList&, const OwnedList&) = default;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.version, aSelf.groups);
  }
};

/// @brief Holder to witness: I am alive.
struct LeaseRenew
{
  LeaseRow lease;
  std::uint64_t mark = 0;      ///< The holder's clock; echoed.
  std::uint64_t version = 0;   ///< Of the list now.
  std::vector<OwnedList> list; ///< One, when the witness has an older one.

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.lease, aSelf.mark, aSelf.version, aSelf.list);
  }
};

/// @brief Witness to holder.
struct LeaseAck
{
  Incarnation lease;
  Incarnation witness;
  bool granted = false; ///< False: this witness will never grant it again.
  std::uint64_t mark = 0;
  std::uint64_t config = 0;  ///< The LeaseRow::rev that it goes by.
  std::uint64_t version = 0; ///< Of the list that it keeps.

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

/// @brief Holder to witness: I stop now; do not wait for my lease to lapse.
struct LeaseResign
{
  Incarnation lease;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.lease);
  }
};

/// @brief To end somebody's lease.
struct VoteRequest
{
  Incarnation lease;
  Incarnation candidate;
  /// True: from its first witness to the others, to take over at once. Only
  /// one candidate gets that vote. False: the candidate needs the table
  /// service's word as well, which decides between several.
  bool election = false;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.lease, aSelf.candidate, aSelf.election);
  }
};

/// @brief How a member of a lease answers a VoteRequest.
enum class Vote : std::uint8_t
{
  kGranted, ///< And this member never renews that lease again.
  kAlive,   ///< The lease has not lapsed here.
  kOther,   ///< `voted_for` took over, or may have.
  kGone,    ///< This instance held that lease and does not any more.
};

/// @brief The answer to a VoteRequest.
struct VoteReply
{
  Incarnation lease;
  Incarnation voter;
  Vote vote = Vote::kAlive;
  Incarnation voted_for;
  Duration lapsed_since{}; ///< How long ago the lease lapsed here.
  std::uint64_t config = 0;
  OwnedList list;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.lease,
                    aSelf.voter,
                    aSelf.vote,
                    aSelf.voted_for,
                    aSelf.lapsed_since,
                    aSelf.config,
                    aSelf.list);
  }
};

/// @brief To everybody: what changed hands. Hints for finding owners; the
/// leases here tell who can own, and which process an instance runs.
struct OwnersAnnounce
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

/// @brief A starting instance to a peer, when the table service is away: tell
/// me all owners. Answered by OwnersAnnounce.
struct OwnersAsk
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
                                      OwnersAnnounce,
                                      OwnersAsk>;

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_OWNERSHIP_MESSAGES_HPP
