#include "bench/context/policies.hpp"

#include <algorithm> // for max, min
#include <map>       // for map

#include "bench/context/world.hpp"        // for World
#include "jujubehead/core/rendezvous.hpp" // for detail::RendezvousWeight

namespace jujubehead::bench::context {
namespace {

std::size_t
LeastLoaded(const World& aWorld)
{
  std::size_t best = 0;
  for (std::size_t i = 1; i < aWorld.Targets(); ++i) {
    if (aWorld.Backlog(i) < aWorld.Backlog(best)) {
      best = i;
    }
  }
  return best;
}

/// Of the stores that are up, the one that a context belongs to.
std::optional<std::size_t>
StoreOf(World& aWorld, std::uint32_t aContext)
{
  std::vector<std::size_t> live;
  for (std::size_t i = 0; i < aWorld.Stores(); ++i) {
    if (!aWorld.Store(i).IsLost()) {
      live.push_back(i);
    }
  }
  if (live.empty()) {
    return std::nullopt;
  }
  return live[aContext % live.size()];
}

} // namespace

Placement
RandomPolicy::Route(World& aWorld, const Request& aRequest)
{
  Placement placement;
  placement.target = aWorld.Random()() % aWorld.Targets();
  placement.planned_seconds = aWorld.ServiceSeconds(aRequest.blocks);
  return placement;
}

Placement
AffinityPolicy::Route(World& aWorld, const Request& aRequest)
{
  const core::ContextKey& root = aWorld.Work().keys[aRequest.context].front();
  Placement placement;
  std::uint64_t best = 0;
  for (std::size_t i = 0; i < aWorld.Targets(); ++i) {
    const auto weight =
      core::detail::RendezvousWeight(root, "target-" + std::to_string(i));
    if (weight >= best) {
      best = weight;
      placement.target = i;
    }
  }
  placement.planned_seconds = aWorld.ServiceSeconds(aRequest.blocks);
  return placement;
}

Placement
ExportAllPolicy::Route(World& aWorld, const Request& aRequest)
{
  Placement placement;
  placement.target = LeastLoaded(aWorld);
  placement.planned_seconds = aWorld.ServiceSeconds(aRequest.blocks);
  const auto store = StoreOf(aWorld, aRequest.context);
  const StoredContext* copy =
    store ? aWorld.Store(*store).Find(aRequest.context) : nullptr;
  if (copy == nullptr) {
    return placement;
  }
  const std::uint32_t blocks = std::min(copy->blocks, aRequest.blocks);
  const auto& link = aWorld.Link(*store);
  const double importing =
    ToSeconds(link.ExpectedWait(
      core::TransferKind::kImport, core::AccountId(), aWorld.Now())) +
    blocks * aWorld.Parts().bytes_per_block / link.BytesPerSecond();
  const double computing =
    aWorld.ServiceSeconds(blocks) - aWorld.ServiceSeconds(0);
  if (importing < computing) {
    placement.import = ImportPlan{ *store, 0, blocks, false, kNever };
    placement.planned_seconds = aWorld.ServiceSeconds(aRequest.blocks - blocks);
  }
  return placement;
}

void
ExportAllPolicy::OnRan(World& aWorld,
                       const Request& aRequest,
                       std::size_t aTarget)
{
  const auto store = StoreOf(aWorld, aRequest.context);
  if (!store) {
    return;
  }
  const StoredContext* copy = aWorld.Store(*store).Find(aRequest.context);
  if (copy == nullptr || copy->blocks < aRequest.blocks) {
    aWorld.Export({ aTarget,
                    *store,
                    aRequest.context,
                    aRequest.account,
                    aRequest.blocks,
                    true,
                    core::TransferKind::kImport });
  }
}

bool
ExportAllPolicy::MakeRoom(World& aWorld,
                          std::size_t aStore,
                          std::uint32_t aContext,
                          std::uint32_t aBlocks)
{
  FakeStore& store = aWorld.Store(aStore);
  auto victim = store.ByUse().begin();
  while (store.Missing(aBlocks) > 0) {
    if (victim != store.ByUse().end() && victim->second == aContext) {
      ++victim;
    }
    if (victim == store.ByUse().end()) {
      return false;
    }
    const std::uint32_t context = victim->second;
    ++victim;
    store.Free(context);
  }
  return true;
}

void
ExportAllPolicy::FitMemory(World& aWorld, std::size_t aStore)
{
  FakeStore& store = aWorld.Store(aStore);
  while (store.MemoryExcess() > 0 && !store.InMemory().empty()) {
    store.Demote(store.InMemory().begin()->second);
  }
}

} // namespace jujubehead::bench::context
