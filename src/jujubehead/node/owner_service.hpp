#ifndef JUJUBEHEAD_NODE_OWNER_SERVICE_HPP
#define JUJUBEHEAD_NODE_OWNER_SERVICE_HPP

#include <cstdint>    // for uint64_t
#include <functional> // for function
#include <map>        // for map
#include <optional>   // for optional
#include <span>       // for span
#include <vector>     // for vector

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/core/change_log.hpp"       // for TableView
#include "jujubehead/core/context_key.hpp"      // for ContextKey
#include "jujubehead/core/ownership.hpp"        // for StartOwning
#include "jujubehead/core/permit_scheduler.hpp" // for PermitScheduler
#include "jujubehead/node/status.hpp"           // for OwnedTargetStatus
#include "jujubehead/node/target_state.hpp"     // for TargetState
#include "jujubehead/wire/messages.hpp" // for PermitAcquire, QuoteRequest

namespace jujubehead::node {

class DirectoryService;
class MemberBook;
class PeerCalls;

/// @brief Admits work to the targets that this instance owns, on the control
/// thread. Entries ask by PermitAcquire and hear by PermitReply.
class OwnerService
{
public:
  /// @param aPeers, aMembers, aTable, aDirectory outlive this.
  OwnerService(PeerCalls& aPeers,
               const MemberBook& aMembers,
               const core::TableView& aTable,
               DirectoryService& aDirectory);
  ~OwnerService();

  /// @brief Says who knows whether this instance may admit now; until it is
  /// set nothing is granted.
  void SetMayAdmit(std::function<bool(const core::TargetId&)> aMayAdmit);
  /// @brief Starts to admit to a target. What earlier owners granted is
  /// reserved until shown free.
  void Own(const core::TargetId& aTarget, const core::StartOwning& aStart);
  void Disown(const core::TargetId& aTarget);
  [[nodiscard]] bool Owns(const core::TargetId& aTarget) const;
  /// @return the epoch of the ownership, which is the fencing number.
  [[nodiscard]] std::optional<std::uint64_t> EpochOf(
    const core::TargetId& aTarget) const;
  [[nodiscard]] std::vector<core::TargetId> Owned() const;
  /// @return what the next owner is told: all permits that are out.
  [[nodiscard]] core::GroupHandover HandOver(const core::GroupRow& aRow) const;

  [[nodiscard]] wire::QuoteReply Quote(const wire::QuoteRequest& aAsk) const;
  void OnAsk(const core::InstanceId& aFrom, const wire::PermitAcquire& aAsk);
  void OnWithdraw(const wire::PermitWithdraw& aWithdraw);
  void OnStarted(const wire::PermitStarted& aStarted);
  void OnRelease(const wire::PermitRelease& aRelease);

  /// @brief Takes in what the target said of itself.
  void OnState(const core::TargetId& aTarget, TargetState aState);
  /// @brief Takes in which requests the target runs.
  void OnReport(const core::TargetId& aTarget,
                const core::TargetReport& aReport);
  /// @brief Takes in keys that the target evicted.
  void OnEvicted(const core::TargetId& aTarget,
                 std::span<const core::ContextKey> aKeys);

  /// @brief Takes in that the target lost its whole cache.
  void OnCleared(const core::TargetId& aTarget);

  /// @brief Applies limits and planned stops of the table in force.
  void ApplyTable();
  /// @brief Sends what is due by time: grants, refusals. Also asks holders.
  void Tick();

  [[nodiscard]] std::vector<OwnedTargetStatus> Status() const;

private:
  struct OwnedTarget;

  [[nodiscard]] std::uint32_t LimitOf(const core::TargetId& aTarget) const;
  [[nodiscard]] bool IsStopping(const core::TargetId& aTarget) const;
  void Decide(const core::TargetId& aTarget, OwnedTarget& aOwned);
  static void LearnRate(OwnedTarget& aOwned,
                        const wire::PermitRelease& aRelease);
  void LearnCached(OwnedTarget& aOwned, const wire::PermitRelease& aRelease);
  void SendDecision(const core::TargetId& aTarget,
                    const core::PermitDecision& aDecision);
  boost::asio::awaitable<void> AskHoldings(core::TargetId aTarget,
                                           core::InstanceId aHolder);

  PeerCalls& m_peers;
  const MemberBook& m_members;
  const core::TableView& m_table;
  DirectoryService& m_directory;
  std::function<bool(const core::TargetId&)> m_may_admit;
  std::map<core::TargetId, OwnedTarget> m_owned;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_OWNER_SERVICE_HPP
