#include "part_places.hpp"

#include <vector> // for vector

#include "jujubehead/core/routing/placement.hpp" // for WeightedHome

#include "../reading_times.hpp" // for kHearTime, kReadTime

namespace jujubehead::node {

namespace {

/// A target that spoke within this time is there.
constexpr core::Duration kHomeSpoke = std::chrono::milliseconds(1500);

/// Whether a target is there, as far as this instance can tell. One of many
/// instances seldom hears of each target; then it goes by whether the target
/// owes it an answer.
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

} // namespace

void
PlaceParts(const ForwardState& aState,
           const core::Prompt& aPrompt,
           const core::CacheScope& aScope,
           TargetCall& aCall)
{
  const auto& stores = aState.configuration->All().stores;
  const core::Instant now = core::RuntimeClock::now();
  const auto read_until = aState.target_clock.At(now + kReadTime);
  if (stores.empty() || aPrompt.parts.size() < 2 || !read_until ||
      !MayUseStores(aState, aScope, now)) {
    return;
  }
  aCall.read_until_ms = read_until;
  std::vector<core::PlacementCandidate> homes;
  homes.reserve(stores.size());
  for (const core::DeclaredStore& store : stores) {
    homes.push_back({ core::PlacementHash(store.id.View()),
                      0,
                      static_cast<double>(store.capacity_tokens),
                      false });
  }
  aCall.read_from.resize(aPrompt.parts.size());
  aCall.keep_at.resize(aPrompt.parts.size());
  for (std::size_t i = 0; i + 1 < aPrompt.parts.size(); ++i) {
    const core::PromptPart& part = aPrompt.parts[i];
    const auto home = core::WeightedHome(core::PlacementHash(part.id), homes);
    const core::DeclaredStore& store = stores[*home];
    if (!aState.parts.IsPresent(store.id, now)) {
      continue;
    }
    const std::uint64_t whole =
      aState.parts.TokensAt(store.id, aCall.cache_scope, part.id, now);
    if (whole >= part.tokens) {
      aCall.read_from[i] = { store.address, part.tokens };
    } else if (aState.parts.TokensKept(store.id) + part.tokens <=
               store.capacity_tokens) {
      aCall.keep_at[i] = { store.address, part.tokens };
    }
  }
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
    homes.push_back({ target->name_hash, 0, 1, false });
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
