#ifndef JUJUBEHEAD_SRC_CORE_LEASE_HOLDER_HPP
#define JUJUBEHEAD_SRC_CORE_LEASE_HOLDER_HPP

#include <cstddef>  // for size_t
#include <optional> // for optional
#include <vector>   // for vector

#include "jujubehead/core/ownership.hpp" // for OwnershipRules, SendMessage

namespace jujubehead::core {

/// @brief This instance's own lease. It is renewed with its witnesses and valid
/// while any of them has acknowledged it recently. Without witnesses it is
/// always valid, as then no instance can take over without the table service.
class LeaseHolder
{
public:
  LeaseHolder(LeaseRow aRow, OwnershipRules aRules, Instant aNow);

  [[nodiscard]] const LeaseRow& Row() const { return m_row; }
  [[nodiscard]] Instant ExpiresAt() const;
  /// @brief Applies a written row with changed witnesses.
  /// @param aAllCount whether acks of new witnesses count at once, because no
  /// earlier witness can take over any more. Otherwise they count once a
  /// witness that stayed has confirmed the row.
  void Apply(const LeaseRow& aRow, bool aAllCount, Instant aNow);
  /// @brief Sets the groups owned under the lease.
  void SetGroups(std::vector<GroupRow> aGroups);
  [[nodiscard]] std::uint64_t Version() const { return m_list.version; }
  /// @return whether a takeover by the witnesses would use at least this
  /// version of the list.
  [[nodiscard]] bool IsKnown(std::uint64_t aVersion) const;
  /// @return whether that witness has the current list.
  [[nodiscard]] bool IsUpToDate(const Incarnation& aWitness) const;
  /// @return whether a witness of the previous row has confirmed the current
  /// one.
  [[nodiscard]] bool IsConfirmed() const;
  /// @return the renewals that are due. A change of the list makes them due at
  /// once.
  std::vector<SendMessage> Renew(Instant aNow);
  void OnAck(const LeaseAck& aAck, Instant aNow);

  /// @return whether there are witnesses and each has permanently refused the
  /// lease.
  [[nodiscard]] bool IsRefused() const;
  /// @return whether that witness will not renew any more, or has not replied
  /// for OwnershipRules::witness_timeout.
  [[nodiscard]] bool IsLost(const Incarnation& aWitness, Instant aNow) const;
  /// @return whether that witness is known to have restarted.
  [[nodiscard]] bool IsReplaced(const Incarnation& aWitness) const;
  /// @return whether that witness has acknowledged recently, whether or not its
  /// acks count yet.
  [[nodiscard]] bool IsAcking(const Incarnation& aWitness, Instant aNow) const;
  [[nodiscard]] bool IsRefusedBy(const Incarnation& aWitness) const;

private:
  struct WitnessState
  {
    Incarnation witness;
    bool counts = true; ///< False: new, not confirmed by another witness.
    bool refused = false;
    bool replaced = false;
    std::optional<Instant> acked; ///< Send time of the acknowledged renewal.
    Instant last_reply_at;
    std::uint64_t config = 0;
    std::uint64_t version = 0;
  };

  [[nodiscard]] const WitnessState* Find(const Incarnation& aWitness) const;
  [[nodiscard]] LeaseRenew Renewal(const WitnessState& aState,
                                   Instant aNow) const;

  LeaseRow m_row;
  OwnershipRules m_rules;
  std::vector<WitnessState> m_states;
  OwnedList m_list;
  Instant m_renew_at;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_SRC_CORE_LEASE_HOLDER_HPP
