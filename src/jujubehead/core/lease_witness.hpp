#ifndef JUJUBEHEAD_SRC_CORE_LEASE_WITNESS_HPP
#define JUJUBEHEAD_SRC_CORE_LEASE_WITNESS_HPP

#include <map>      // for map
#include <optional> // for optional
#include <vector>   // for vector

#include "jujubehead/core/ownership.hpp" // for OwnershipRules

namespace jujubehead::core {

/// @brief An expired lease whose first witness is this process.
struct Candidacy
{
  Incarnation lease;
  std::vector<Incarnation> others; ///< Witnesses that must agree.
};

/// @brief Result of a won election.
struct Takeover
{
  Incarnation lease;
  std::vector<GroupRow> groups;
  Instant
    previous_grants_end; ///< The lease had expired by then, by this clock.
};

/// @brief The witness role for other instances' leases. Its state is lost when
/// the process ends; holders identify witnesses by incarnation, so that a
/// restarted witness counts as a different one.
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
  /// @return expired leases for which to request the other witnesses' votes.
  [[nodiscard]] std::vector<Candidacy> Candidacies(Instant aNow) const;
  /// @brief Records another witness's vote.
  void OnVoteReply(const VoteReply& aReply, Instant aNow);
  /// @brief Takes over an expired lease if all other witnesses agreed.
  /// @param aUnder this process's lease, under which the groups will be owned.
  /// @return the groups taken over, or nullopt.
  std::optional<Takeover> Elect(const Incarnation& aLease,
                                const Incarnation& aUnder,
                                Instant aNow);
  /// @return the number of unexpired leases witnessed here.
  [[nodiscard]] std::size_t CountUnexpired(Instant aNow) const;

private:
  enum class State
  {
    kRenewing,
    kVotedInElection,   ///< Voted for `voted_for`.
    kReleasedToService, ///< Left to whoever deletes the row.
  };

  struct Record
  {
    LeaseRow row;
    OwnedList list;
    Instant expires_at;
    State state = State::kRenewing;
    Incarnation voted_for;
    /// Witnesses that permanently refuse the lease, and when it expired there.
    std::map<Incarnation, Instant> agreed;
  };

  [[nodiscard]] bool IsFirstWitness(const Record& aRecord) const;
  [[nodiscard]] Vote Decide(Record& aRecord,
                            const VoteRequest& aRequest,
                            Instant aNow) const;

  Incarnation m_self;
  OwnershipRules m_rules;
  /// Refused leases are never removed: a suspended holder may resume at any
  /// time.
  std::map<Incarnation, Record> m_records;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_SRC_CORE_LEASE_WITNESS_HPP
