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

/// @brief One permit that is out.
struct LedgerEntry
{
  HeldPermit held;
  Instant granted_at;
  Instant heard_at;     ///< Of the message that the latest grant answers.
  Instant confirmed_at; ///< When its holder last listed it, or the grant.
  bool started = false;
  std::uint32_t cost_tokens = 1;
  Duration charged{};
  std::uint64_t mark = 0;
};

/// @brief Accounts for every place of a target: permits that are out, runs
/// that only the target knows, and a reserve for what nobody told of.
class PermitLedger
{
public:
  PermitLedger(std::uint64_t aEpoch, PermitRules aRules)
    : m_epoch(aEpoch)
    , m_rules(aRules)
  {
  }

  /// @return places taken or reserved.
  [[nodiscard]] std::uint32_t Taken() const;
  [[nodiscard]] std::uint32_t Reserved() const;

  void Add(LedgerEntry aEntry);
  [[nodiscard]] LedgerEntry* Find(const RequestId& aRequest);
  [[nodiscard]] LedgerEntry* Find(const PermitId& aPermit);
  std::optional<LedgerEntry> Release(const PermitId& aPermit);
  void Heard(const InstanceId& aHolder, std::uint64_t aProcess, Instant aNow);

  void ReserveUnknown(std::uint32_t aCount, Instant aStartsEnd);
  /// @return whether it was not known before.
  bool Adopt(const HeldPermit& aHeld, Instant aNow);
  /// @return what the holder no longer holds.
  std::vector<LedgerEntry> Accept(const HoldingsAnswer& aAnswer, Instant aNow);
  /// @return what the target no longer runs, of silent holders.
  std::vector<LedgerEntry> Observe(const TargetReport& aReport);

  [[nodiscard]] std::vector<InstanceId> HoldersToAsk(Instant aNow) const;
  [[nodiscard]] bool NeedsTargetReport(Instant aNow) const;
  [[nodiscard]] std::vector<HeldPermit> Held() const;

private:
  struct Contact
  {
    std::uint64_t process = 0;
    Instant at;
  };

  /// @return whether the holder's process is gone or did not speak for long.
  [[nodiscard]] bool IsSilent(const HeldPermit& aHeld, Instant aNow) const;
  void SettleUnknown(const std::set<RequestId>& aRunning, Instant aAsOf);
  std::vector<LedgerEntry> DropVanished(const std::set<RequestId>& aRunning,
                                        Instant aAsOf);
  void AccountOne();

  std::uint64_t m_epoch;
  PermitRules m_rules;
  std::map<PermitId, LedgerEntry> m_out;
  std::unordered_map<RequestId, PermitId> m_by_request;
  std::map<InstanceId, Contact> m_heard;
  /// Of earlier epochs: released, so that a late answer does not revive them.
  std::set<PermitId> m_ended_before;
  std::uint32_t m_unknown = 0;
  Instant m_starts_end;
  std::set<RequestId> m_strays; ///< Run by the target, held by nobody known.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_SRC_CORE_PERMIT_LEDGER_HPP
