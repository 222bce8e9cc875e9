#include "part_places.hpp"

#include <vector> // for vector

#include "jujubehead/core/routing/placement.hpp" // for WeightedHome

namespace jujubehead::node {

std::string
CacheScope(const core::Prompt& aPrompt,
           std::uint64_t aWeightVersion,
           const core::DeclaredAccount* aAccount)
{
  std::string scope =
    aPrompt.model.Text() + "." + std::to_string(aWeightVersion);
  if (aAccount != nullptr && aAccount->dedicated) {
    scope += "." + aAccount->id.Text();
  }
  return scope;
}

void
PlaceParts(const ForwardState& aState,
           const core::Prompt& aPrompt,
           TargetCall& aCall)
{
  const auto& stores = aState.configuration->All().stores;
  if (stores.empty() || aCall.cache_scope.empty() || aPrompt.parts.size() < 2) {
    return;
  }
  const core::Instant now = core::RuntimeClock::now();
  std::vector<core::PlacementCandidate> homes;
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

} // namespace jujubehead::node
