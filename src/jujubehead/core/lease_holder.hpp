#ifndef JUJUBEHEAD_SRC_CORE_LEASE_HOLDER_HPP
#define JUJUBEHEAD_SRC_CORE_LEASE_HOLDER_HPP

#include <cstddef>  // for size_t
#include <optional> // for optional
#include <vector>   // for vector

#include "jujubehead/core/ownership.hpp" // for OwnershipRules, SendMessage

namespace jujubehead::core {

/// @brief This instance's own lease: renewed with its witnesses, valid while
/// any of them acknowledged it of late. Without witnesses it is always valid:
/// then nobody can take over without the table service.
class LeaseHolder
{
public:
  LeaseHolder(LeaseRow aRow, OwnershipRules aRules, Instant aNow);

  [[nodiscard]] const LeaseRow& Row() const { return m_row; }
  [[nodiscard]] Instant Until() const;
  /// @brief The row was written with other witnesses.
  /// @param aAllCount no earlier witness can take over any more, so that new
  /// ones need not wait until one that stayed knows the row.
  void Apply(const LeaseRow& aRow, bool aAllCount, Instant aNow);
  /// @brief What is owned changed.
  void SetGroups(std::vector<GroupRow> aGroups);
  [[nodiscard]] std::uint64_t Version() const { return m_list.version; }
  /// @return whether a takeover by the witnesses would know this version.
  [[nodiscard]] bool IsKnown(std::uint64_t aVersion) const;
  /// @return whether that witness keeps the list as it is now.
  [[nodiscard]] bool IsUpToDate(const Incarnation& aWitness) const;
  /// @return whether a witness of the row before knows the row as it is now.
  [[nodiscard]] bool IsConfirmed() const;
  /// @return renewals that are due, at once after a change of the list.
  std::vector<SendMessage> Renew(Instant aNow);
  void OnAck(const LeaseAck& aAck, Instant aNow);

  /// @return whether every witness refused for good.
  [[nodiscard]] bool IsRefused() const;
  /// @return whether that witness will not renew any more, or did not answer
  /// for long.
  [[nodiscard]] bool IsLost(const Incarnation& aWitness, Instant aNow) const;
  /// @return whether that witness is known to have restarted.
  [[nodiscard]] bool IsReplaced(const Incarnation& aWitness) const;
  /// @return whether that witness acknowledged of late, counting or not.
  [[nodiscard]] bool IsAcking(const Incarnation& aWitness, Instant aNow) const;
  [[nodiscard]] bool IsRefusedBy(const Incarnation& aWitness) const;

private:
  struct Slot
  {
    Incarnation witness;
    bool counts = true; ///< False: new, and the other does not know of it yet.
    bool refused = false;
    bool replaced = false;
    std::optional<Instant> acked; ///< Sending time of the renewal.
    Instant heard_at;
    std::uint64_t config = 0;
    std::uint64_t version = 0;
  };

  [[nodiscard]] const Slot* Find(const Incarnation& aWitness) const;
  [[nodiscard]] LeaseRenew Renewal(const Slot& aSlot, Instant aNow) const;

  LeaseRow m_row;
  OwnershipRules m_rules;
  std::vector<Slot> m_slots;
  OwnedList m_list;
  Instant m_renew_at;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_SRC_CORE_LEASE_HOLDER_HPP
