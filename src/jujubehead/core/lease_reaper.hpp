#ifndef JUJUBEHEAD_SRC_CORE_LEASE_REAPER_HPP
#define JUJUBEHEAD_SRC_CORE_LEASE_REAPER_HPP

#include <map>      // for map
#include <optional> // for optional
#include <set>      // for set
#include <vector>   // for vector

#include "member_watch.hpp" // for MemberWatch
#include "owner_map.hpp"    // for OwnerMap

namespace jujubehead::core {

/// @brief Finds leases that may be ended because holder and witnesses are all
/// gone or have agreed. They end by deletion of their rows in the table
/// service, where only one candidate can succeed.
///
/// The first witness may have taken over before it was gone, and its own first
/// witness after it: so its leases must have ended too, or end in the same
/// transaction.
class LeaseReaper
{
public:
  explicit LeaseReaper(Incarnation aSelf)
    : m_self(std::move(aSelf))
  {
  }

  /// @brief Requests votes on a lease, repeated at most once per second.
  /// @return the messages to send.
  std::vector<SendMessage> RequestVotes(const LeaseRow& aRow, Instant aNow);
  void OnVoteReply(const VoteReply& aReply);
  /// @return whether that witness agreed to end the lease and did not take
  /// over.
  [[nodiscard]] bool HasGranted(const Incarnation& aLease,
                                const Incarnation& aWitness) const;
  /// @return whether a process will not take over any more, by its last reply.
  [[nodiscard]] bool HasReleased(const Incarnation& aLease,
                                 const Incarnation& aProcess) const;
  /// @return the candidate that a witness voted for in an election, by its last
  /// reply; nothing if it did not vote in one.
  [[nodiscard]] std::optional<Incarnation> CandidateOf(
    const Incarnation& aLease,
    const Incarnation& aWitness) const;
  /// @brief Discards the polls of all other leases.
  void Retain(const std::set<Incarnation>& aSuspects);
  /// @return the leases that must be ended together with this one, itself
  /// included; empty if it may not be ended yet.
  [[nodiscard]] std::vector<LeaseRow> FindDeletable(const Incarnation& aLease,
                                                    const OwnerMap& aMap,
                                                    MemberWatch& aWatch,
                                                    Instant aNow) const;

private:
  struct Poll
  {
    LeaseRow row;
    std::optional<Instant> requested_at;
    std::map<InstanceId, VoteReply> replies;
  };

  struct Context
  {
    const OwnerMap& map;
    MemberWatch& watch;
    Instant now;
  };

  /// @return the last reply of a voter; null if it has not replied.
  [[nodiscard]] const VoteReply* ReplyOf(const Incarnation& aLease,
                                         const InstanceId& aVoter) const;
  [[nodiscard]] static bool IsGone(const Poll& aPoll,
                                   const Incarnation& aMember,
                                   const Context& aContext);
  /// @return whether the member can no longer act under the polled lease.
  [[nodiscard]] static bool IsFenced(const Poll& aPoll,
                                     const Incarnation& aMember,
                                     const Context& aContext);
  [[nodiscard]] bool CollectDeletable(
    const Incarnation& aLease,
    const Context& aContext,
    std::map<Incarnation, LeaseRow>& aDeletable) const;
  /// A process that is gone may have taken over before.
  [[nodiscard]] bool CollectLeasesOf(
    const Incarnation& aProcess,
    const Context& aContext,
    std::map<Incarnation, LeaseRow>& aDeletable) const;

  Incarnation m_self;
  std::map<Incarnation, Poll> m_polls;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_SRC_CORE_LEASE_REAPER_HPP
