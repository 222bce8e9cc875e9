#ifndef JUJUBEHEAD_NODE_ENTRY_SERVICE_HPP
#define JUJUBEHEAD_NODE_ENTRY_SERVICE_HPP

#include <cstdint>  // for uint32_t, uint64_t
#include <map>      // for map
#include <memory>   // for shared_ptr
#include <optional> // for optional
#include <random>   // for mt19937_64
#include <span>     // for span
#include <string>   // for string
#include <variant>  // for variant
#include <vector>   // for vector

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/core/change_log.hpp"    // for TableView
#include "jujubehead/core/context_key.hpp"   // for ContextKey
#include "jujubehead/core/permit_holder.hpp" // for PermitHolder
#include "jujubehead/core/router.hpp"        // for RoutePlan, StoredCopy
#include "jujubehead/node/owner_map.hpp"     // for OwnerMap
#include "jujubehead/node/status.hpp"        // for RunsStatus
#include "jujubehead/wire/messages.hpp"      // for PermitReply

namespace jujubehead::node {

class DirectoryService;
class MemberBook;
class PeerCalls;

/// @brief One attempt to run a request, as the entry describes it.
struct AdmissionAsk
{
  core::RequestId attempt; ///< Unique for each attempt.
  core::AccountId account;
  core::ModelId model;
  std::string version;
  std::string adapter;
  std::vector<core::ContextKey> chain; ///< One key a full block.
  std::uint32_t tokens_per_block = 0;
  std::uint32_t tail_tokens = 0;
  std::uint32_t cost_tokens = 0;
  std::int32_t priority = 0;
  double recompute_price = 0;        ///< Seconds a token.
  core::Duration deadline{};         ///< How long it may wait from now.
  std::vector<core::TargetId> avoid; ///< Targets that failed it already.
};

/// @brief The request may run: where, and under which permit.
struct Admitted
{
  core::TargetId target;
  std::string authority; ///< `address:port` of the target.
  core::PermitId permit;
  core::Instant start_by; ///< Dispatch before this or give the permit back.
  core::RoutePlan plan;
  std::string import_authority; ///< Of the store, when the plan imports.
  std::vector<std::string> sparse_keys; ///< As told to the owner at the end.
};

/// @brief Why no target took the request. It was not run.
enum class NotAdmittedReason : std::uint8_t
{
  kNoTarget,    ///< No target of the model takes new work now.
  kOverload,    ///< Waiting longer would miss the deadline, or queues are full.
  kNoShare,     ///< The account has no share of the model's targets.
  kUnreachable, ///< No owner answered.
};

struct NotAdmitted
{
  NotAdmittedReason reason = NotAdmittedReason::kNoTarget;
  core::Duration retry_after{};
};

using Admission = std::variant<Admitted, NotAdmitted>;

/// @brief Counters of the entry, for metrics.
struct EntryCounters
{
  std::uint64_t asked = 0;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  std::uint64_t permits_too_late = 0;
  std::uint64_t not_owner = 0;
};

/// @brief Finds a target for a request and a permit to use it, on the control
/// thread of the instance that took the caller.
class EntryService
{
public:
  /// @param aPeers, aMembers, aTable, aOwners, aDirectory outlive this.
  EntryService(PeerCalls& aPeers,
               const MemberBook& aMembers,
               const core::TableView& aTable,
               const OwnerMap& aOwners,
               DirectoryService& aDirectory);
  ~EntryService();

  boost::asio::awaitable<Admission> Admit(AdmissionAsk aAsk);
  /// @brief The caller went away while Admit() goes on.
  void Abandon(const core::RequestId& aAttempt);
  /// @brief The run began at the target.
  void Started(const core::TargetId& aTarget, const core::PermitId& aPermit);
  /// @brief The run is over, or will never begin.
  void Release(wire::PermitRelease aRelease);

  /// @brief A run ended whole: its context may be worth keeping in a store.
  void OfferToKeep(wire::ExportOffer aOffer);
  /// @brief An import brought nothing: the hint of the copy was wrong.
  void ReportMissing(const core::StoredCopy& aCopy);

  /// @brief Messages from owners.
  void OnAnswer(const wire::PermitReply& aAnswer);
  [[nodiscard]] wire::HoldingsReply Holdings(const wire::HoldingsRequest& aAsk);

  /// @return how many requests this instance runs at each target.
  [[nodiscard]] std::vector<RunsStatus> Runs() const;
  [[nodiscard]] const EntryCounters& Counters() const { return m_counters; }

private:
  struct Waiter;
  struct Candidates;

  boost::asio::awaitable<Admission> TryToAdmit(const AdmissionAsk& aAsk,
                                               core::Instant aUntil);
  [[nodiscard]] std::vector<core::RoutePlan> Plans(
    const AdmissionAsk& aAsk,
    const Candidates& aCandidates,
    std::span<const wire::TargetQuote> aQuotes,
    std::span<const core::StoredCopy> aCopies) const;
  [[nodiscard]] Candidates ChooseCandidates(const AdmissionAsk& aAsk,
                                            const wire::HoldersReply& aHolders);
  boost::asio::awaitable<std::vector<wire::TargetQuote>> Quotes(
    const AdmissionAsk& aAsk,
    std::vector<core::TargetId> aTargets);
  boost::asio::awaitable<std::vector<core::StoredCopy>> Copies(
    core::AccountId aAccount,
    std::vector<wire::StoreHolder> aHolders);
  boost::asio::awaitable<std::optional<wire::PermitReply>> AskPermit(
    const AdmissionAsk& aAsk,
    core::TargetId aTarget,
    core::Instant aUntil);
  void SendAsk(const AdmissionAsk& aAsk,
               const core::TargetId& aTarget,
               core::Instant aUntil);
  [[nodiscard]] Admitted MakeAdmitted(const AdmissionAsk& aAsk,
                                      const core::RoutePlan& aPlan,
                                      const wire::PermitReply& aAnswer) const;
  [[nodiscard]] bool IsSilent(const core::InstanceId& aOwner) const;
  [[nodiscard]] core::PermitHolder& HolderOf(const core::TargetId& aTarget);
  void TellOwner(const core::TargetId& aTarget, wire::Message aMessage);

  PeerCalls& m_peers;
  const MemberBook& m_members;
  const core::TableView& m_table;
  const OwnerMap& m_owners;
  DirectoryService& m_directory;
  std::mt19937_64 m_random;
  std::uint64_t m_process; ///< Tells this process from earlier ones.
  std::map<core::RequestId, std::shared_ptr<Waiter>> m_waiting;
  std::map<core::TargetId, core::PermitHolder> m_holders;
  /// Owners that left a quote unanswered: not asked again until then.
  std::map<core::InstanceId, core::Instant> m_silent_until;
  EntryCounters m_counters;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_ENTRY_SERVICE_HPP
