#include "bench/context/keeping_policy.hpp"

#include <algorithm> // for find_if, min
#include <charconv>  // for from_chars
#include <chrono>    // for hours
#include <string>    // for to_string

#include "bench/context/world.hpp"              // for World
#include "jujubehead/core/candidates.hpp"       // for PickCandidates
#include "jujubehead/core/retention_policy.hpp" // for ExportGain, RetentionPrice

namespace jujubehead::bench::context {
namespace {

using core::AccountId;
using core::StoreId;
using core::TargetId;

constexpr std::size_t kMaxAccounts = 10;
constexpr std::size_t kMaxKeys = 1'000'000;
/// Share of a target's cache that is used before an export is weighed.
constexpr double kDueShare = 0.8;
/// Past the whole cache nothing can be left; the margin is for what the cache
/// holds besides.
constexpr double kEvictedShare = 1.05;
constexpr Duration kKeptFor = std::chrono::hours(6);
constexpr Duration kForgetAfter = std::chrono::hours(8);

std::size_t
NumberOf(std::string_view aName)
{
  std::size_t number = 0;
  std::from_chars(aName.data(), aName.data() + aName.size(), number);
  return number;
}

TargetId
NameOf(std::size_t aTarget)
{
  return TargetId(std::to_string(aTarget));
}

} // namespace

KeepingPolicy::KeepingPolicy(const Hardware& aHardware)
  : m_directory(kMaxKeys)
  , m_forecasts(aHardware.targets,
                core::EvictionForecast(aHardware.target_blocks))
  , m_evictions(aHardware.targets,
                core::EvictionForecast(aHardware.target_blocks))
{
  for (std::size_t i = 0; i < aHardware.targets; ++i) {
    m_targets.push_back(NameOf(i));
  }
  for (std::size_t i = 0; i < kMaxAccounts; ++i) {
    m_accounts.emplace_back(std::to_string(i));
  }
}

Placement
KeepingPolicy::Route(World& aWorld, const Request& aRequest)
{
  Observe(aWorld, aRequest);
  const std::span keys =
    std::span(aWorld.Work().keys[aRequest.context]).first(aRequest.blocks);
  const auto hints = m_directory.Lookup(keys);
  const core::RouteQuery query{ aRequest.blocks,
                                aWorld.Parts().tokens_per_block,
                                aWorld.User().tail_tokens,
                                aWorld.User().recompute_price,
                                {} };
  const auto views = Candidates(aWorld, keys.front(), hints);
  const auto copies = Copies(aWorld, aRequest, hints);
  const auto plan = core::RankRoutes(query, views, copies).front();
  Placement placement;
  placement.target = NumberOf(plan.target.View());
  placement.planned_seconds = aWorld.ServiceSeconds(plan.recomputed_blocks);
  placement.hinted_blocks = plan.cached_blocks;
  if (plan.import) {
    const double computing = aWorld.ServiceSeconds(plan.imported_blocks);
    placement.import = ImportPlan{ NumberOf(plan.import->store.View()),
                                   plan.import_from,
                                   plan.import_from + plan.imported_blocks,
                                   plan.import_from > plan.cached_blocks,
                                   aWorld.Now() + plan.import->link_wait +
                                     ToDuration(computing) };
  }
  return placement;
}

void
KeepingPolicy::Observe(World& aWorld, const Request& aRequest)
{
  m_known.resize(aWorld.Work().keys.size());
  Known& known = m_known[aRequest.context];
  if (known.seen) {
    m_returns.Observe(m_accounts[aRequest.account],
                      known.counted - known.last_use,
                      aWorld.Now() - known.last_use,
                      true);
  }
  m_contexts[aWorld.Work().keys[aRequest.context].front()] = aRequest.context;
  known = {
    aRequest.account, aRequest.blocks, aWorld.Now(), aWorld.Now(), true
  };
}

std::vector<core::TargetView>
KeepingPolicy::Candidates(World& aWorld,
                          const core::ContextKey& aRoot,
                          const std::vector<core::PrefixHint>& aHints)
{
  const auto targets =
    core::PickCandidates(aHints, aRoot, m_targets, aWorld.Random()());
  std::vector<core::TargetView> views;
  for (const TargetId& target : targets) {
    const auto hint =
      std::find_if(aHints.begin(), aHints.end(), [&](const auto& aHint) {
        return aHint.holder == core::Holder(target);
      });
    views.push_back({ target,
                      {},
                      aWorld.Backlog(NumberOf(target.View())),
                      aWorld.Parts().prefill_tokens_per_second,
                      hint == aHints.end() ? 0 : hint->blocks,
                      true,
                      0,
                      1,
                      true });
  }
  return views;
}

std::vector<core::StoredCopy>
KeepingPolicy::Copies(World& aWorld,
                      const Request& aRequest,
                      const std::vector<core::PrefixHint>& aHints)
{
  const AccountId& account = m_accounts[aRequest.account];
  std::vector<core::StoredCopy> copies;
  for (const core::PrefixHint& hint : aHints) {
    if (const auto* store = std::get_if<StoreId>(&hint.holder)) {
      const auto& link = aWorld.Link(NumberOf(store->View()));
      copies.push_back(
        { *store,
          hint.copy->handle,
          hint.copy->generation,
          hint.blocks,
          link.ExpectedWait(core::TransferKind::kImport, account, aWorld.Now()),
          link.BytesPerSecond(),
          static_cast<std::uint32_t>(aWorld.Parts().bytes_per_block),
          link.Utilization(core::TransferKind::kImport, aWorld.Now()) });
    }
  }
  return copies;
}

void
KeepingPolicy::OnRan(World& aWorld,
                     const Request& aRequest,
                     std::size_t aTarget)
{
  const auto& keys = aWorld.Work().keys[aRequest.context];
  m_directory.Learn(NameOf(aTarget), std::span(keys).first(aRequest.blocks));
  auto& forecast = m_forecasts[aTarget];
  forecast.OnUse(keys.front(), aRequest.blocks);
  for (const core::ContextKey& root : forecast.TakeNearEviction(kDueShare)) {
    ConsiderExport(aWorld, m_contexts.at(root), aTarget);
  }
  auto& evictions = m_evictions[aTarget];
  evictions.OnUse(keys.front(), aRequest.blocks);
  for (const core::ContextKey& root :
       evictions.TakeNearEviction(kEvictedShare)) {
    m_directory.RecordRemoved(NameOf(aTarget),
                              aWorld.Work().keys[m_contexts.at(root)]);
  }
}

void
KeepingPolicy::ConsiderExport(World& aWorld,
                              std::uint32_t aContext,
                              std::size_t aTarget)
{
  const Known& known = m_known[aContext];
  std::optional<std::size_t> chosen;
  std::uint32_t kept = 0;
  for (std::size_t i = 0; i < aWorld.Stores(); ++i) {
    if (aWorld.Store(i).IsLost()) {
      continue;
    }
    const StoredContext* copy = aWorld.Store(i).Find(aContext);
    if (copy != nullptr && copy->blocks > kept) {
      kept = copy->blocks;
      chosen = i;
    } else if (kept == 0 &&
               (!chosen || (aContext + i) % aWorld.Stores() == 0)) {
      chosen = i;
    }
  }
  if (!chosen || kept >= known.blocks) {
    return;
  }
  const double bytes = aWorld.Parts().bytes_per_block;
  const core::ExportInput view{
    ValueOf(aWorld, known),
    static_cast<std::uint64_t>((known.blocks - kept) * bytes),
    aWorld.Link(*chosen).BytesPerSecond(),
    aWorld.Link(*chosen).Utilization(core::TransferKind::kImport, aWorld.Now()),
    kKeptFor,
    known.blocks * aWorld.Parts().tokens_per_block *
      aWorld.User().recompute_price
  };
  if (core::ExportGain(m_returns, view) > 0) {
    aWorld.Export({ aTarget,
                    *chosen,
                    aContext,
                    known.account,
                    known.blocks,
                    true,
                    core::TransferKind::kExport });
  }
}

core::RetentionInput
KeepingPolicy::ValueOf(const World& aWorld, const Known& aKnown) const
{
  const double seconds =
    aWorld.ServiceSeconds(aKnown.blocks) - aWorld.ServiceSeconds(0);
  const double tokens =
    static_cast<double>(aKnown.blocks) * aWorld.Parts().tokens_per_block;
  return { m_accounts[aKnown.account],
           aWorld.Now() - aKnown.last_use,
           static_cast<std::uint64_t>(aKnown.blocks *
                                      aWorld.Parts().bytes_per_block),
           seconds,
           core::ReuseValue(seconds, tokens, aWorld.User().recompute_price) };
}

double
KeepingPolicy::PriceOf(World& aWorld, std::uint32_t aContext) const
{
  const Known& known = m_known[aContext];
  return core::RetentionPrice(m_returns, ValueOf(aWorld, known));
}

bool
KeepingPolicy::MakeRoom(World& aWorld,
                        std::size_t aStore,
                        std::uint32_t aContext,
                        std::uint32_t aBlocks)
{
  FakeStore& store = aWorld.Store(aStore);
  const std::uint32_t missing = store.Missing(aBlocks);
  if (missing == 0) {
    return true;
  }
  std::vector<core::EvictionCandidate> views;
  std::vector<std::uint32_t> contexts;
  for (const auto& [context, copy] : store.Copies()) {
    if (context != aContext) {
      views.push_back({ PriceOf(aWorld, context), copy.blocks });
      contexts.push_back(context);
    }
  }
  const auto victims =
    core::ChooseVictims(views, missing, PriceOf(aWorld, aContext));
  if (!victims) {
    return false;
  }
  for (const std::size_t index : *victims) {
    const std::uint32_t context = contexts[index];
    const auto generation = store.Find(context)->generation;
    m_directory.RemoveCopy(StoreId(std::to_string(aStore)),
                           { std::to_string(context), generation });
    store.Free(context);
  }
  return true;
}

void
KeepingPolicy::FitMemory(World& aWorld, std::size_t aStore)
{
  FakeStore& store = aWorld.Store(aStore);
  if (store.MemoryExcess() == 0) {
    return;
  }
  std::vector<std::pair<double, std::uint32_t>> priced;
  for (const auto& [use, context] : store.InMemory()) {
    priced.emplace_back(PriceOf(aWorld, context), context);
  }
  std::sort(priced.begin(), priced.end());
  for (const auto& [price, context] : priced) {
    if (store.MemoryExcess() == 0) {
      return;
    }
    store.Demote(context);
  }
}

void
KeepingPolicy::OnCacheEvent(std::size_t aTarget, const core::CacheEvent& aEvent)
{
  m_directory.Apply(NameOf(aTarget), aEvent);
}

void
KeepingPolicy::OnCopy(std::size_t aStore, const core::CacheEvent& aEvent)
{
  m_directory.Apply(StoreId(std::to_string(aStore)), aEvent);
}

void
KeepingPolicy::OnStoreLost(std::size_t aStore)
{
  m_directory.RemoveHolder(StoreId(std::to_string(aStore)));
}

void
KeepingPolicy::OnMinute(World& aWorld)
{
  for (Known& known : m_known) {
    if (known.seen && aWorld.Now() - known.last_use < kForgetAfter) {
      m_returns.Observe(m_accounts[known.account],
                        known.counted - known.last_use,
                        aWorld.Now() - known.last_use,
                        false);
      known.counted = aWorld.Now();
    }
  }
}

} // namespace jujubehead::bench::context
