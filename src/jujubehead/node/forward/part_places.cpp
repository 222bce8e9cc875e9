#include "part_places.hpp"

#include <algorithm> // for max
#include <string>    // for string
#include <vector>    // for vector

#include "jujubehead/core/routing/placement.hpp" // for WeightedHome

#include "../reading_times.hpp" // for kHearTime, kReadTime
#include "store_look.hpp"       // for StoreLook

namespace jujubehead::node {

namespace {

/// A target that responded within this time counts as alive.
constexpr core::Duration kHomeSpoke = std::chrono::milliseconds(1500);
/// Uses per second, over all instances, from which a part is also stored in the
/// fastest store of each data centre, so that reads avoid slow links.
constexpr double kHotUses = 1.0;
/// Extra time to read a part from another data centre from which its prompt is
/// placed near the store. For shorter times, concentrating prompts on few
/// targets costs more in queueing than it saves on the link.
constexpr core::Duration kNotablyLonger = std::chrono::milliseconds(30);

/// Whether a target is probably alive. With many instances, each one seldom
/// gets a response from a given target; a target that is usable and has no
/// request outstanding here counts as alive too.
bool
IsThere(const FleetTarget& aTarget, core::Instant aNow)
{
  if (aNow - aTarget.last_heard <= kHomeSpoke) {
    return true;
  }
  return aTarget.load.Own() == 0 && aTarget.health.IsUsable(aNow);
}

bool
MayUseStores(const ForwardState& aState,
             const core::CacheScope& aScope,
             core::Instant aNow)
{
  if (aNow - aState.operator_heard > kHearTime) {
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
class PartPlacer
{
public:
  PartPlacer(ForwardState& aState,
             const FleetTarget& aTarget,
             core::Duration aObjective,
             TargetCall& aCall)
    : m_state(aState)
    , m_data_centre(aTarget.target.data_centre)
    , m_objective(aObjective)
    , m_call(aCall)
    , m_look(aState, aCall.cache_scope, aTarget.target.service)
    , m_share(aState.shares[aTarget.target.service].Value())
    , m_now(core::RuntimeClock::now())
  {
  }

  void Place(const core::PromptPart& aPart, std::size_t aIndex)
  {
    const core::DeclaredStore* quickest = QuickestIfHot(aPart);
    if (quickest != nullptr && m_look.Has(*quickest, aPart)) {
      ReadOrPassOver(*quickest, aPart, aIndex);
      return;
    }
    const PartHome home = m_look.Home(aPart, m_data_centre);
    if (quickest != nullptr && m_look.HasRoom(*quickest, aPart)) {
      Keep(*quickest, aPart, aIndex);
    } else if (home.store != nullptr && !home.has_part) {
      Keep(*home.store, aPart, aIndex);
    }
    if (home.has_part) {
      ReadOrPassOver(*home.store, aPart, aIndex);
    } else {
      m_placed.anew += aPart.tokens;
    }
  }

  [[nodiscard]] const PlacedTokens& Placed() const { return m_placed; }

private:
  /// @return the fastest store of this data centre if the part is frequently
  /// used; null otherwise.
  const core::DeclaredStore* QuickestIfHot(const core::PromptPart& aPart)
  {
    const double uses = m_state.part_uses.OnUse(aPart.id, m_now);
    return uses >= kHotUses * m_share ? m_look.Quickest(aPart, m_data_centre)
                                      : nullptr;
  }

  /// A possible transfer.
  struct Transfer
  {
    core::StoreLink& links; ///< Of all stores with the same link rate.
    double share = 0;       ///< This instance's share of them.
    core::Duration link_time{};
    core::TransferOffer offer;
  };

  Transfer TransferOf(const core::DeclaredStore& aStore,
                      const core::PromptPart& aPart)
  {
    Transfer transfer{ m_state.links[StoreLook::RateOf(aStore)], 0, {}, {} };
    transfer.share = m_share * static_cast<double>(m_look.Alike(aStore));
    transfer.link_time = m_look.LinkTime(aStore, aPart, m_data_centre);
    transfer.offer.wait = transfer.links.Wait(transfer.share, m_now);
    transfer.offer.transfer = transfer.link_time + aStore.first_delay;
    transfer.offer.objective = m_objective;
    m_placed.link_wait = std::max(m_placed.link_wait, transfer.offer.wait);
    return transfer;
  }

  void Order(const Transfer& aTransfer)
  {
    aTransfer.links.Add(aTransfer.link_time, aTransfer.share, m_now);
  }

  void ReadOrPassOver(const core::DeclaredStore& aStore,
                      const core::PromptPart& aPart,
                      std::size_t aIndex)
  {
    const Transfer transfer = TransferOf(aStore, aPart);
    if (!core::IsWorthReading(transfer.offer)) {
      m_placed.passed_over += aPart.tokens;
      m_placed.anew += aPart.tokens;
      return;
    }
    m_call.read_from[aIndex] = { aStore.address, aPart.tokens };
    m_placed.transferred += aPart.tokens;
    Order(transfer);
  }

  void Keep(const core::DeclaredStore& aStore,
            const core::PromptPart& aPart,
            std::size_t aIndex)
  {
    const Transfer transfer = TransferOf(aStore, aPart);
    if (!core::IsWorthKeeping(transfer.offer)) {
      return;
    }
    m_call.keep_at[aIndex] = { aStore.address, aPart.tokens };
    m_placed.kept += aPart.tokens;
    Order(transfer);
  }

  ForwardState& m_state;
  const core::DataCentreId& m_data_centre; ///< Of the target.
  core::Duration m_objective;
  TargetCall& m_call;
  StoreLook m_look;
  double m_share;
  core::Instant m_now;
  PlacedTokens m_placed;
};

} // namespace

PlacedTokens
PlaceParts(ForwardState& aState,
           const core::Prompt& aPrompt,
           const core::CacheScope& aScope,
           const FleetTarget& aTarget,
           core::Duration aObjective,
           TargetCall& aCall)
{
  const core::Instant now = core::RuntimeClock::now();
  const auto read_until = aState.target_clock.At(now + kReadTime);
  if (!HasSharedParts(aState, aPrompt) || !read_until ||
      !MayUseStores(aState, aScope, now)) {
    return {};
  }
  aCall.read_until_ms = read_until;
  aCall.read_from.resize(aPrompt.parts.size());
  aCall.keep_at.resize(aPrompt.parts.size());
  PartPlacer placer(aState, aTarget, aObjective, aCall);
  for (std::size_t i = 0; i + 1 < aPrompt.parts.size(); ++i) {
    placer.Place(aPrompt.parts[i], i);
  }
  return placer.Placed();
}

std::optional<core::DataCentreId>
StorePlaceOf(const ForwardState& aState,
             const core::Prompt& aPrompt,
             const core::CacheScope& aScope,
             const core::ServiceId& aService)
{
  if (!HasSharedParts(aState, aPrompt)) {
    return std::nullopt;
  }
  const std::string scope = core::ToText(aScope);
  const StoreLook look(aState, scope, aService);
  const core::PromptPart& part = aPrompt.parts[aPrompt.parts.size() - 2];
  const core::DataCentreId elsewhere;
  const PartHome home = look.Home(part, elsewhere);
  if (!home.has_part) {
    return std::nullopt;
  }
  const core::DataCentreId& place = home.store->data_centre;
  const core::Duration longer = look.LinkTime(*home.store, part, elsewhere) -
                                look.LinkTime(*home.store, part, place);
  return longer >= kNotablyLonger ? std::optional(place) : std::nullopt;
}

void
ReadFromHome(const ForwardState& aState,
             const core::Prompt& aPrompt,
             const FleetTarget& aTarget,
             TargetCall& aCall)
{
  const core::Instant now = core::RuntimeClock::now();
  const auto targets = aState.fleet.Of(aTarget.target.service);
  std::vector<core::PlacementCandidate> homes;
  homes.reserve(targets.size());
  for (const auto& target : targets) {
    core::PlacementCandidate home;
    home.name_hash = target->name_hash;
    homes.push_back(home);
  }
  const auto index =
    core::WeightedHome(core::PlacementHash(aPrompt.ReturningPart()), homes);
  if (!index || targets[*index].get() == &aTarget) {
    return;
  }
  const FleetTarget& home = *targets[*index];
  if (!IsThere(home, now) || home.is_loading ||
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
