#ifndef JUJUBEHEAD_SRC_CORE_LEASE_REAPER_HPP
#define JUJUBEHEAD_SRC_CORE_LEASE_REAPER_HPP

#include <map>      // for map
#include <optional> // for optional
#include <set>      // for set
#include <vector>   // for vector

#include "member_watch.hpp" // for MemberWatch
#include "owner_map.hpp"    // for OwnerMap

namespace jujubehead::core {

/// @brief Ends leases whose holder and witnesses are all gone or agree, by
/// deleting their rows in the table service, which lets one candidate win.
///
/// The first witness may have taken over before it went, and its own first
/// witness after it: so its leases must be over too, or end at the same time.
class LeaseReaper
{
public:
  explicit LeaseReaper(Incarnation aSelf)
    : m_self(std::move(aSelf))
  {
  }

  /// @brief Begins or goes on asking about a lease.
  /// @return what to send.
  std::vector<SendMessage> Pursue(const LeaseRow& aRow, Instant aNow);
  void OnVoteReply(const VoteReply& aReply);
  /// @return whether that witness gave up the lease and took nothing over.
  [[nodiscard]] bool HasGranted(const Incarnation& aLease,
                                const Incarnation& aWitness) const;
  /// @brief Forgets all but these.
  void Retain(const std::set<Incarnation>& aSuspects);
  /// @return leases that may be ended together, this one among them; empty if
  /// it may not yet.
  [[nodiscard]] std::vector<LeaseRow> Endable(const Incarnation& aLease,
                                              const OwnerMap& aMap,
                                              MemberWatch& aWatch,
                                              Instant aNow) const;

private:
  struct Case
  {
    LeaseRow row;
    std::optional<Instant> asked_at;
    std::map<InstanceId, VoteReply> replies;
  };

  struct Evidence
  {
    const OwnerMap& map;
    MemberWatch& watch;
    Instant now;
  };

  [[nodiscard]] static bool IsGone(const Case& aCase,
                                   const Incarnation& aMember,
                                   const Evidence& aEvidence);
  [[nodiscard]] static bool IsAccounted(const Case& aCase,
                                        const Incarnation& aMember,
                                        const Evidence& aEvidence);
  [[nodiscard]] bool Collect(const Incarnation& aLease,
                             const Evidence& aEvidence,
                             std::map<Incarnation, LeaseRow>& aSet) const;
  /// Who went may have taken over before.
  [[nodiscard]] bool CollectOf(const Incarnation& aProcess,
                               const Evidence& aEvidence,
                               std::map<Incarnation, LeaseRow>& aSet) const;

  Incarnation m_self;
  std::map<Incarnation, Case> m_cases;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_SRC_CORE_LEASE_REAPER_HPP
