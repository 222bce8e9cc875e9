#ifndef JUJUBEHEAD_SRC_CORE_LEASE_WITNESS_HPP
#define JUJUBEHEAD_SRC_CORE_LEASE_WITNESS_HPP

#include <map>      // for map
#include <optional> // for optional
#include <vector>   // for vector

#include "jujubehead/core/ownership.hpp" // for OwnershipRules

namespace jujubehead::core {

/// @brief A lease that lapsed and whose first witness this process is.
struct Candidacy
{
  Incarnation lease;
  std::vector<Incarnation> others; ///< Witnesses that have to agree.
};

/// @brief What an election won.
struct Succession
{
  Incarnation lease;
  std::vector<GroupRow> groups;
  Instant previous_end; ///< The lease had lapsed by then, by this clock.
};

/// @brief The witness of other instances' leases. Its memory dies with its
/// process; a holder names its witnesses with their incarnations, so that a
/// restarted witness counts as another.
class LeaseWitness
{
public:
  LeaseWitness(Incarnation aSelf, OwnershipRules aRules)
    : m_self(std::move(aSelf))
    , m_rules(aRules)
  {
  }

  LeaseAck OnRenew(const LeaseRenew& aRenew, Instant aNow);
  void OnResign(const Incarnation& aLease, Instant aNow);
  VoteReply OnVoteRequest(const VoteRequest& aRequest, Instant aNow);
  /// @return leases for which to ask the other witnesses.
  [[nodiscard]] std::vector<Candidacy> Candidacies(Instant aNow) const;
  /// @brief Notes another witness's agreement.
  void OnVoteReply(const VoteReply& aReply, Instant aNow);
  /// @return the lease's groups, if this process takes over now.
  /// @param aUnder the own lease under which they would be owned.
  std::optional<Succession> Elect(const Incarnation& aLease,
                                  const Incarnation& aUnder,
                                  Instant aNow);
  /// @return leases renewed here of late.
  [[nodiscard]] std::size_t Watched(Instant aNow) const;

private:
  enum class Standing
  {
    kRenewing,
    kElection, ///< The vote is with `voted_for`.
    kService,  ///< Whoever deletes the row in the table service.
  };

  struct Record
  {
    LeaseRow row;
    OwnedList list;
    Instant lapses_at;
    Standing standing = Standing::kRenewing;
    Incarnation voted_for;
    /// Witnesses that refuse it for good, with when it lapsed there.
    std::map<Incarnation, Instant> agreed;
  };

  [[nodiscard]] bool IsFirst(const Record& aRecord) const;
  [[nodiscard]] Vote Decide(Record& aRecord,
                            const VoteRequest& aRequest,
                            Instant aNow) const;

  Incarnation m_self;
  OwnershipRules m_rules;
  /// Refused leases stay for good: a holder may wake at any time.
  std::map<Incarnation, Record> m_records;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_SRC_CORE_LEASE_WITNESS_HPP
