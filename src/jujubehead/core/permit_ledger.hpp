#ifndef JUJUBEHEAD_SRC_CORE_PERMIT_LEDGER_HPP
#define JUJUBEHEAD_SRC_CORE_PERMIT_LEDGER_HPP

#include <cstdint>       // for uint32_t
#include <map>           // for map
#include <optional>      // for optional
#include <set>           // for set
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "jujubehead/core/permit.hpp" // for PermitId, HeldPermit

namespace jujubehead::core {

/// @brief One outstanding permit.
struct LedgerEntry
{
  HeldPermit held;
  Instant granted_at;
  Instant last_request_at; ///< Of the message that the latest grant answers.
  Instant confirmed_at;    ///< When its holder last listed it, or the grant.
  bool started = false;
  std::uint32_t cost_tokens = 1;
  Duration charged{};
  std::uint64_t mark = 0;
};

/// @brief Accounts for every used slot of a target: outstanding permits, runs
/// that only the target reports, and a reserve for unreported permits.
class PermitLedger
{
public:
  PermitLedger(std::uint64_t aEpoch, PermitRules aRules)
    : m_epoch(aEpoch)
    , m_rules(aRules)
  {
  }

  /// @return slots used or reserved.
  [[nodiscard]] std::uint32_t UsedSlots() const;
  [[nodiscard]] std::uint32_t Reserved() const;

  void Add(LedgerEntry aEntry);
  [[nodiscard]] LedgerEntry* Find(const RequestId& aRequest);
  [[nodiscard]] LedgerEntry* Find(const PermitId& aPermit);
  std::optional<LedgerEntry> Release(const PermitId& aPermit);
  void RecordContact(const InstanceId& aHolder,
                     std::uint64_t aProcess,
                     Instant aNow);

  void ReserveUnknown(std::uint32_t aCount, Instant aLastStart);
  /// @return whether the permit is new to the ledger.
  bool Adopt(const HeldPermit& aHeld, Instant aNow);
  /// @return the entries that the holder no longer holds.
  std::vector<LedgerEntry> ApplyAnswer(const HoldingsReply& aAnswer,
                                       Instant aNow);
  /// @return the entries of unresponsive holders that the target no longer
  /// runs.
  std::vector<LedgerEntry> ApplyReport(const TargetReport& aReport);

  [[nodiscard]] std::vector<InstanceId> HoldersToQuery(Instant aNow) const;
  [[nodiscard]] bool NeedsTargetReport(Instant aNow) const;
  [[nodiscard]] std::vector<HeldPermit> Held() const;

private:
  struct Contact
  {
    std::uint64_t process = 0;
    Instant at;
  };

  /// @return whether the holder's process was replaced or has timed out.
  [[nodiscard]] bool IsUnresponsive(const HeldPermit& aHeld,
                                    Instant aNow) const;
  void ResolveUnknown(const std::set<RequestId>& aRunning, Instant aAsOf);
  std::vector<LedgerEntry> RemoveNotRunning(const std::set<RequestId>& aRunning,
                                            Instant aAsOf);
  void ReduceUnknown();

  std::uint64_t m_epoch;
  PermitRules m_rules;
  std::map<PermitId, LedgerEntry> m_outstanding;
  std::unordered_map<RequestId, PermitId> m_by_request;
  std::map<InstanceId, Contact> m_contacts;
  /// Released permits of earlier epochs; a late answer must not add them again.
  std::set<PermitId> m_released_earlier;
  std::uint32_t m_unknown = 0;
  Instant m_last_start;
  std::set<RequestId> m_unattributed; ///< Run by the target; no known holder.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_SRC_CORE_PERMIT_LEDGER_HPP
