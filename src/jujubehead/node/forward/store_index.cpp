#include "store_index.hpp"

#include <algorithm> // for count_if

#include "jujubehead/core/routing/placement.hpp" // for PlacementHash

namespace jujubehead::node {
namespace {

/// A store counts as full at this fraction of its capacity: parts occupy whole
/// blocks, and other writes may be in flight.
constexpr double kFullFraction = 0.93;

std::vector<const core::DeclaredStore*>
UsableStores(const ForwardState& aState, const core::Homes& aHomes)
{
  std::vector<const core::DeclaredStore*> usable;
  for (const core::DeclaredStore& store : aState.configuration->All().stores) {
    if (aHomes.Allow(store.data_centre) &&
        !aState.fleet.IsStopped(store.data_centre)) {
      usable.push_back(&store);
    }
  }
  return usable;
}

std::vector<core::StorePlacementInput>
FactsOf(const std::vector<const core::DeclaredStore*>& aStores)
{
  std::vector<core::StorePlacementInput> facts;
  facts.reserve(aStores.size());
  for (const core::DeclaredStore* store : aStores) {
    core::StorePlacementInput one;
    one.name_hash = core::PlacementHash(store->id.View());
    one.data_centre = store->data_centre.View();
    one.capacity_tokens = static_cast<double>(store->capacity_tokens);
    one.rate = StoreIndex::LinkRateOf(*store);
    facts.push_back(one);
  }
  return facts;
}

} // namespace

StoreIndex::StoreIndex(const ForwardState& aState,
                       std::string_view aScope,
                       const core::ServiceId& aService,
                       const core::Homes& aHomes)
  : m_state(aState)
  , m_stores(UsableStores(aState, aHomes))
  , m_facts(FactsOf(m_stores))
  , m_scope(aScope)
  , m_now(core::RuntimeClock::now())
{
  if (const auto* service = aState.configuration->ServiceOf(aService)) {
    m_token_bytes = service->kv_token_bytes;
  }
}

core::LinkRate
StoreIndex::LinkRateOf(const core::DeclaredStore& aStore)
{
  return { aStore.bytes_per_second, aStore.base_latency };
}

std::size_t
StoreIndex::CountWithSameLink(const core::DeclaredStore& aStore) const
{
  const core::LinkRate rate = LinkRateOf(aStore);
  return static_cast<std::size_t>(std::count_if(
    m_stores.begin(), m_stores.end(), [&](const core::DeclaredStore* aOther) {
      return LinkRateOf(*aOther) == rate;
    }));
}

bool
StoreIndex::HasPart(const core::DeclaredStore& aStore,
                    const core::PromptPart& aPart) const
{
  return m_state.parts.TokensAt(aStore.id, m_scope, aPart.id, m_now) >=
         aPart.tokens;
}

bool
StoreIndex::HasRoom(const core::DeclaredStore& aStore,
                    const core::PromptPart& aPart) const
{
  const auto tokens =
    static_cast<double>(m_state.parts.TokensStored(aStore.id) + aPart.tokens);
  return m_state.parts.AcceptsWrites(aStore.id, m_now) &&
         tokens <= kFullFraction * static_cast<double>(aStore.capacity_tokens);
}

core::TransferSize
StoreIndex::TransferSizeOf(const core::PromptPart& aPart, bool aIsFar) const
{
  return { aPart.tokens, m_token_bytes, aIsFar };
}

core::Duration
StoreIndex::LinkTime(const core::DeclaredStore& aStore,
                     const core::PromptPart& aPart,
                     const core::DataCentreId& aDataCentre) const
{
  const bool is_far = aStore.data_centre != aDataCentre;
  return core::LinkTime(TransferSizeOf(aPart, is_far), LinkRateOf(aStore));
}

PartHome
StoreIndex::FindHome(const core::PromptPart& aPart,
                     const core::DataCentreId& aDataCentre) const
{
  PartHome home;
  std::size_t kind = 0;
  const auto homes = core::SelectHomeStores(
    core::PlacementHash(aPart.id), TransferSizeOf(aPart, false), m_facts);
  for (const core::StoreHome& one : homes) {
    const core::DeclaredStore& store = *m_stores[one.index];
    if (HasPart(store, aPart)) {
      return { &store, true };
    }
    const bool is_nearer = one.kind == kind && store.data_centre == aDataCentre;
    if (HasRoom(store, aPart) && (home.store == nullptr || is_nearer)) {
      home.store = &store;
      kind = one.kind;
    }
  }
  return home;
}

const core::DeclaredStore*
StoreIndex::FastestStore(const core::PromptPart& aPart,
                         const core::DataCentreId& aDataCentre) const
{
  const core::DeclaredStore* fastest = nullptr;
  core::Duration shortest{};
  for (const core::DeclaredStore* store : m_stores) {
    if (store->data_centre != aDataCentre) {
      continue;
    }
    const core::Duration time =
      LinkTime(*store, aPart, aDataCentre) + store->base_latency;
    if (fastest == nullptr || time < shortest) {
      fastest = store;
      shortest = time;
    }
  }
  return fastest;
}

} // namespace jujubehead::node
