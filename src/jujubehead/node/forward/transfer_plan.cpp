#include "transfer_plan.hpp"

#include <algorithm> // for max
#include <string>    // for string
#include <vector>    // for vector

#include "jujubehead/core/routing/placement.hpp" // for WeightedOwner

#include "../reading_times.hpp" // for kHearTime
#include "store_index.hpp"      // for StoreIndex

namespace jujubehead::node {

namespace {

/// A target that responded within this time counts as alive.
constexpr core::Duration kHomeResponseMaxAge = std::chrono::milliseconds(1500);
/// Uses per second, over all instances, from which a part is also stored in the
/// fastest store of each data centre, so that reads avoid slow links.
constexpr double kHotUsesPerSecond = 1.0;
/// Extra time to read a part from another data centre from which its prompt is
/// placed near the store. For shorter times, concentrating prompts on few
/// targets costs more in queueing than it saves on the link.
constexpr core::Duration kMinReadTimeSaving = std::chrono::milliseconds(30);

/// Whether a target is probably alive. With many instances, each one seldom
/// gets a response from a given target; a target that is usable and has no
/// request outstanding here counts as alive too.
bool
IsProbablyAlive(const FleetTarget& aTarget, core::Instant aNow)
{
  if (aNow - aTarget.last_response_at <= kHomeResponseMaxAge) {
    return true;
  }
  return aTarget.load.Own() == 0 && aTarget.health.IsUsable(aNow);
}

bool
MayUseStores(const ForwardState& aState,
             const core::CacheScope& aScope,
             core::Instant aNow)
{
  if (aNow - aState.last_operator_contact > kHearTime) {
    return false;
  }
  const auto wanted = aState.wanted_weights.find(aScope.model);
  return wanted == aState.wanted_weights.end() ||
         aScope.weight_version >= wanted->second.Newest();
}

bool
HasSharedParts(const ForwardState& aState, const core::Prompt& aPrompt)
{
  return !aState.configuration->All().stores.empty() &&
         aPrompt.parts.size() > 1;
}

/// Plans the transfers of one prompt's parts for one target.
class TransferPlanner
{
public:
  TransferPlanner(ForwardState& aState,
                  const FleetTarget& aTarget,
                  const core::Homes& aHomes,
                  core::Duration aObjective,
                  TargetCall& aCall)
    : m_state(aState)
    , m_data_centre(aTarget.target.data_centre)
    , m_objective(aObjective)
    , m_call(aCall)
    , m_lookup(aState, aCall.cache_scope, aTarget.target.service, aHomes)
    , m_share(aState.shares[aTarget.target.service].Value())
    , m_now(core::RuntimeClock::now())
  {
  }

  void Plan(const core::PromptPart& aPart, std::size_t aIndex)
  {
    const core::DeclaredStore* fastest = FastestStoreIfHot(aPart);
    if (fastest != nullptr && m_lookup.HasPart(*fastest, aPart)) {
      ReadOrSkip(*fastest, aPart, aIndex);
      return;
    }
    const PartHome home = m_lookup.FindHome(aPart, m_data_centre);
    if (fastest != nullptr && m_lookup.HasRoom(*fastest, aPart)) {
      PlanWrite(*fastest, aPart, aIndex);
    } else if (home.store != nullptr && !home.has_part) {
      PlanWrite(*home.store, aPart, aIndex);
    }
    if (home.has_part) {
      ReadOrSkip(*home.store, aPart, aIndex);
    } else {
      m_planned.recomputed += aPart.tokens;
    }
  }

  [[nodiscard]] const PlannedTokens& Planned() const { return m_planned; }

private:
  /// @return the fastest store of this data centre if the part is frequently
  /// used; null otherwise.
  const core::DeclaredStore* FastestStoreIfHot(const core::PromptPart& aPart)
  {
    const double uses = m_state.part_uses.CountUse(aPart.id, m_now);
    return uses >= kHotUsesPerSecond * m_share
             ? m_lookup.FastestStore(aPart, m_data_centre)
             : nullptr;
  }

  /// A possible transfer.
  struct Transfer
  {
    core::StoreLink& links; ///< Of all stores with the same link rate.
    double share = 0;       ///< This instance's share of them.
    core::Duration link_time{};
    core::TransferEstimate offer;
  };

  Transfer TransferOf(const core::DeclaredStore& aStore,
                      const core::PromptPart& aPart)
  {
    Transfer transfer{
      m_state.links[StoreIndex::LinkRateOf(aStore)], 0, {}, {}
    };
    transfer.share =
      m_share * static_cast<double>(m_lookup.CountWithSameLink(aStore));
    transfer.link_time = m_lookup.LinkTime(aStore, aPart, m_data_centre);
    transfer.offer.wait = transfer.links.Wait(transfer.share, m_now);
    transfer.offer.transfer = transfer.link_time + aStore.base_latency;
    transfer.offer.objective = m_objective;
    m_planned.link_wait = std::max(m_planned.link_wait, transfer.offer.wait);
    return transfer;
  }

  void Reserve(const Transfer& aTransfer)
  {
    aTransfer.links.Add(aTransfer.link_time, aTransfer.share, m_now);
  }

  void ReadOrSkip(const core::DeclaredStore& aStore,
                  const core::PromptPart& aPart,
                  std::size_t aIndex)
  {
    const Transfer transfer = TransferOf(aStore, aPart);
    if (!core::ShouldRead(transfer.offer)) {
      m_planned.skipped += aPart.tokens;
      m_planned.recomputed += aPart.tokens;
      return;
    }
    m_call.read_from[aIndex] = { aStore.address, aPart.tokens };
    m_planned.transferred += aPart.tokens;
    Reserve(transfer);
  }

  void PlanWrite(const core::DeclaredStore& aStore,
                 const core::PromptPart& aPart,
                 std::size_t aIndex)
  {
    const Transfer transfer = TransferOf(aStore, aPart);
    if (!core::ShouldWrite(transfer.offer)) {
      return;
    }
    m_call.store_at[aIndex] = { aStore.address, aPart.tokens };
    m_planned.to_store += aPart.tokens;
    Reserve(transfer);
  }

  ForwardState& m_state;
  const core::DataCentreId& m_data_centre; ///< Of the target.
  core::Duration m_objective;
  TargetCall& m_call;
  StoreIndex m_lookup;
  double m_share;
  core::Instant m_now;
  PlannedTokens m_planned;
};

} // namespace

PlannedTokens
PlanTransfers(ForwardState& aState,
              const core::Prompt& aPrompt,
              const core::CacheScope& aScope,
              const FleetTarget& aTarget,
              const core::Homes& aHomes,
              core::Duration aObjective,
              TargetCall& aCall)
{
  const core::Instant now = core::RuntimeClock::now();
  const auto read_until = aState.target_clock.At(now + core::kPartReadTime);
  if (!HasSharedParts(aState, aPrompt) || !read_until ||
      !MayUseStores(aState, aScope, now)) {
    return {};
  }
  aCall.read_deadline_ms = read_until;
  aCall.read_from.resize(aPrompt.parts.size());
  aCall.store_at.resize(aPrompt.parts.size());
  TransferPlanner planner(aState, aTarget, aHomes, aObjective, aCall);
  for (std::size_t i = 0; i + 1 < aPrompt.parts.size(); ++i) {
    planner.Plan(aPrompt.parts[i], i);
  }
  return planner.Planned();
}

std::optional<core::DataCentreId>
StoreDataCentreOf(const ForwardState& aState,
                  const core::Prompt& aPrompt,
                  const core::CacheScope& aScope,
                  const core::ServiceId& aService,
                  const core::Homes& aHomes)
{
  if (!HasSharedParts(aState, aPrompt)) {
    return std::nullopt;
  }
  const std::string scope = core::ToText(aScope);
  const StoreIndex lookup(aState, scope, aService, aHomes);
  const core::PromptPart& part = aPrompt.parts[aPrompt.parts.size() - 2];
  const core::DataCentreId other_data_centre;
  const PartHome home = lookup.FindHome(part, other_data_centre);
  if (!home.has_part) {
    return std::nullopt;
  }
  const core::DataCentreId& store_data_centre = home.store->data_centre;
  const core::Duration time_saving =
    lookup.LinkTime(*home.store, part, other_data_centre) -
    lookup.LinkTime(*home.store, part, store_data_centre);
  return time_saving >= kMinReadTimeSaving ? std::optional(store_data_centre)
                                           : std::nullopt;
}

void
ReadFromHomeTarget(const ForwardState& aState,
                   const core::Prompt& aPrompt,
                   const FleetTarget& aTarget,
                   const core::Homes& aHomes,
                   TargetCall& aCall)
{
  const core::Instant now = core::RuntimeClock::now();
  auto targets = aState.fleet.Of(aTarget.target.service);
  // The cache of a target that was cold is still empty; the prompts' parts are
  // at the targets that stood in for it.
  std::erase_if(targets, [&](const auto& aHome) {
    return aHome->cold_start.WasColdRecently(now) ||
           !aHomes.Allow(aHome->target.data_centre);
  });
  std::vector<core::PlacementCandidate> homes;
  homes.reserve(targets.size());
  for (const auto& target : targets) {
    core::PlacementCandidate home;
    home.name_hash = target->name_hash;
    homes.push_back(home);
  }
  const auto index =
    core::WeightedOwner(core::PlacementHash(aPrompt.AffinityPart()), homes);
  if (!index || targets[*index].get() == &aTarget) {
    return;
  }
  const FleetTarget& home = *targets[*index];
  if (!IsProbablyAlive(home, now) || !home.Accepts(now) ||
      home.VersionOf(aPrompt.model) != aCall.weight_version) {
    return;
  }
  aCall.read_from.resize(aPrompt.parts.size());
  for (std::size_t i = 0; i + 1 < aPrompt.parts.size(); ++i) {
    if (aCall.read_from[i].address.empty()) {
      aCall.read_from[i] = { home.target.address, aPrompt.parts[i].tokens };
    }
  }
}

} // namespace jujubehead::node
