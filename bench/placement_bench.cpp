#include "bench/benches.hpp"

#include <chrono>   // for steady_clock, duration
#include <iostream> // for cout
#include <random>   // for mt19937_64
#include <string>   // for string, to_string
#include <vector>   // for vector

#include "jujubehead/core/context/cache_scope.hpp"   // for CacheScope
#include "jujubehead/core/routing/placement.hpp"     // for PlacePrompt
#include "jujubehead/node/forward/transfer_plan.hpp" // for PlanTransfers
#include "jujubehead/node/metrics.hpp"               // for Metrics
#include "platform/platform_header_codec.hpp"        // for PlatformHeaderCodec

namespace jujubehead::bench {
namespace {

constexpr int kDecisions = 2000;
constexpr std::uint64_t kTokens = 5000;
constexpr int kDataCentres = 5;
const core::ServiceId kService("models");
const core::ModelId kModel("m1");
const core::CacheScope kScope{ kModel, 1, {} };

/// A system of one size: its targets, and stores that hold all parts.
struct Size
{
  int targets = 0;
  int stores = 0;
  int parts = 0;
};

core::DataCentreId
DataCentre(int aNumber)
{
  return core::DataCentreId("d" + std::to_string(aNumber % kDataCentres));
}

std::string
PartName(int aNumber)
{
  return "part-" + std::to_string(aNumber);
}

void
Fill(node::ForwardState& aState, const Size& aSize)
{
  core::Declarations all;
  core::DeclaredService service;
  service.id = kService;
  service.kv_token_bytes = 163840;
  all.services = { service };
  for (int i = 0; i < aSize.stores; ++i) {
    core::DeclaredStore store;
    store.id = core::StoreId("s" + std::to_string(i));
    store.address = "10.0.0.1:" + std::to_string(i);
    store.data_centre = DataCentre(i);
    store.capacity_tokens = 1'000'000'000;
    store.bytes_per_second = i % 2 == 0 ? 2e10 : 7e10;
    store.base_latency = std::chrono::microseconds(i % 2 == 0 ? 6000 : 500);
    all.stores.push_back(store);
  }
  std::vector<core::RegisteredTarget> targets;
  for (int i = 0; i < aSize.targets; ++i) {
    core::RegisteredTarget target;
    target.id = core::TargetId("t" + std::to_string(i));
    target.service = kService;
    target.address = "10.0.1.1:" + std::to_string(i + 1);
    target.data_centre = DataCentre(i);
    target.models = { { kModel, 1 } };
    targets.push_back(target);
  }
  aState.fleet.Update(targets);
  const core::Instant now = core::RuntimeClock::now();
  for (int i = 0; i < aSize.stores; ++i) {
    core::PartEventPage page;
    page.epoch = 1;
    page.started_by = core::Instant{};
    for (int part = i; part < aSize.parts; part += aSize.stores) {
      page.events.push_back(
        { core::ToText(kScope), PartName(part), kTokens, true });
    }
    aState.parts.OnPage(all.stores[static_cast<std::size_t>(i)].id, page, now);
  }
  aState.configuration =
    std::make_shared<const core::Configuration>(std::move(all));
}

/// What an instance decides for one prompt: its target, and where its parts are
/// read from and kept.
void
Decide(node::ForwardState& aState, const core::Prompt& aPrompt)
{
  const core::Instant now = core::RuntimeClock::now();
  const core::Homes homes({}, {}, aState.options.regions);
  const auto place =
    node::StoreDataCentreOf(aState, aPrompt, kScope, kService, homes);
  const auto targets = aState.fleet.Of(kService);
  std::vector<core::PlacementCandidate> candidates;
  candidates.reserve(targets.size());
  for (const auto& target : targets) {
    core::PlacementCandidate candidate;
    candidate.name_hash = target->name_hash;
    candidate.load = target->load.Requests(now);
    candidate.is_near_store = place && target->target.data_centre == *place;
    candidates.push_back(candidate);
  }
  const auto chosen =
    core::PlacePrompt(core::PlacementHash(aPrompt.AffinityPart()), candidates);
  node::TargetCall call;
  call.cache_scope = core::ToText(kScope);
  node::PlanTransfers(aState,
                      aPrompt,
                      kScope,
                      *targets.at(chosen.value_or(0)),
                      homes,
                      std::chrono::milliseconds(600),
                      call);
}

double
MicrosecondsADecision(const Size& aSize)
{
  const node::EntryOptions options;
  const platform::PlatformHeaderCodec header_codec;
  const auto metrics = node::Metrics::Create();
  node::DecisionLog log;
  node::ForwardState state(options, header_codec, metrics->ForThread(), log);
  Fill(state, aSize);
  std::mt19937_64 random(1);
  std::uniform_int_distribution<int> any(0, aSize.parts - 1);
  std::chrono::duration<double, std::micro> spent{};
  for (int i = 0; i < kDecisions; ++i) {
    const core::Prompt prompt{ kModel,
                               { { PartName(any(random) % 4), kTokens },
                                 { PartName(any(random)), kTokens },
                                 { "own", 1000 } },
                               2 * kTokens + 1000,
                               10 };
    const core::Instant now = core::RuntimeClock::now();
    state.last_operator_contact = now;
    state.target_clock.OnReading(1000, now);
    const auto begun = std::chrono::steady_clock::now();
    Decide(state, prompt);
    spent += std::chrono::steady_clock::now() - begun;
  }
  return spent.count() / kDecisions;
}

} // namespace

int
RunPlacementBench()
{
  const std::vector<Size> sizes = { { 18, 6, 1500 },
                                    { 140, 30, 7000 },
                                    { 3300, 700, 50000 } };
  for (const Size& size : sizes) {
    std::cout << "targets=" << size.targets << " stores=" << size.stores
              << " parts=" << size.parts
              << " us_a_decision=" << MicrosecondsADecision(size) << '\n';
  }
  return 0;
}

} // namespace jujubehead::bench
