#include "transfer_plan.hpp"

#include <CppUTest/TestHarness.h> // for TEST

#include "jujubehead/core/routing/placement.hpp" // for WeightedOwner

using namespace jujubehead;
using namespace jujubehead::node;
using std::chrono::milliseconds;

namespace {

/// Planning transfers uses no header lines.
class NoHeaders : public HeaderCodec
{
public:
  [[nodiscard]] core::Checked<CallerMetadata> ParseCallerHeaders(
    const net::HttpHeaders& /*aHeaders*/) const override
  {
    return CallerMetadata{};
  }
  [[nodiscard]] ReplyMetadata ParseReplyHeaders(
    const net::MessageHead& /*aHead*/) const override
  {
    return {};
  }
  [[nodiscard]] net::HttpHeaders CallHeaders(
    const TargetCall& /*aCall*/) const override
  {
    return {};
  }
  [[nodiscard]] net::HttpHeaders LocalReplyHeaders(
    const std::string& /*aRequestId*/) const override
  {
    return {};
  }
  [[nodiscard]] bool IsReserved(std::string_view /*aName*/) const override
  {
    return false;
  }
  [[nodiscard]] bool IsForInstance(std::string_view /*aName*/) const override
  {
    return false;
  }
  [[nodiscard]] bool IsEndToEnd(std::string_view /*aName*/) const override
  {
    return false;
  }
};

const core::StoreId kStore("s1");
constexpr core::Duration kObjective = milliseconds(600);
const core::CacheScope kScope{ core::ModelId("m1"), 2, {}, 0 };

core::RegisteredTarget
TargetAt(const std::string& aId)
{
  core::RegisteredTarget target;
  target.id = core::TargetId(aId);
  target.service = core::ServiceId("models");
  target.address = "127.0.0.1:90";
  target.models = { { core::ModelId("m1"), 2 } };
  return target;
}

} // namespace

TEST_GROUP(TransferPlan)
{
  EntryOptions options;
  NoHeaders header_codec;
  std::unique_ptr<Metrics> metrics = Metrics::Create();
  DecisionLog log;
  ForwardState state{ options, header_codec, metrics->ForThread(), log };
  core::Prompt prompt{
    core::ModelId("m1"), { { "a", 100 }, { "b", 900 }, { "c", 9 } }, 1009, 8
  };
  TargetCall call;
  FleetTarget target;
  core::Instant now = core::RuntimeClock::now();
  core::DataCentreRegions regions{ { core::DataCentreId("d"),
                                     core::RegionId("north") } };
  core::Homes homes{ {}, {}, regions };

  void Declare(std::vector<core::DeclaredStore> aStores)
  {
    core::Declarations all;
    all.stores = std::move(aStores);
    core::DeclaredService models;
    models.id = core::ServiceId("models");
    models.kv_token_bytes = 100000;
    all.services = { models };
    state.configuration =
      std::make_shared<const core::Configuration>(std::move(all));
  }
  void setup() override
  {
    Declare({ { kStore, "10.0.0.1:80", core::DataCentreId("d"), 100000 } });
    target.target = TargetAt("t1");
    state.last_operator_contact = now;
    state.target_clock.OnReading(5000, now);
    call.cache_scope = core::ToText(kScope);
    ReportEvents({});
  }
  void ReportEvents(std::vector<core::PartEvent> aEvents)
  {
    core::PartEventPage page;
    page.epoch = 1;
    page.started_by = core::Instant{};
    page.events = std::move(aEvents);
    state.parts.OnPage(kStore, page, core::RuntimeClock::now());
  }
  void ReportCompletePart()
  {
    ReportEvents({ { core::ToText(kScope), "b", 900, true } });
  }
  PlannedTokens Plan()
  {
    return PlanTransfers(
      state, prompt, kScope, target, homes, kObjective, call);
  }
  bool Reads()
  {
    Plan();
    return call.read_from.size() > 1 && !call.read_from[1].address.empty();
  }
};

TEST(TransferPlan, ReadsCompletePartAndStoresMissingOnesExceptTheLast)
{
  ReportCompletePart();
  CHECK(Reads());
  STRCMP_EQUAL("10.0.0.1:80", call.store_at[0].address.c_str());
  CHECK(call.store_at[1].address.empty());
  CHECK(call.store_at[2].address.empty());
  CHECK(call.read_from[2].address.empty());
  CHECK(*call.read_deadline_ms >= 5000 + 2900);
}

TEST(TransferPlan, DoesNotReadPartWithFewerTokens)
{
  ReportEvents({ { core::ToText(kScope), "b", 899, true } });
  CHECK_FALSE(Reads());
}

TEST(TransferPlan, DoesNotReadWithoutOperatorContact)
{
  ReportCompletePart();
  state.last_operator_contact = now - std::chrono::seconds(2);
  CHECK_FALSE(Reads());
}

TEST(TransferPlan, DoesNotReadForWeightsBeingReplaced)
{
  ReportCompletePart();
  state.wanted_weights[core::ModelId("m1")].Add(3, core::Instant::max());
  CHECK_FALSE(Reads());
}

TEST(TransferPlan, DoesNotReadWithoutTargetClock)
{
  ReportCompletePart();
  state.target_clock = {};
  CHECK_FALSE(Reads());
}

TEST(TransferPlan, DoesNotUseUnreachableStore)
{
  ReportCompletePart();
  state.parts.OnNoResponse(kStore);
  CHECK_FALSE(Reads());
  CHECK(call.store_at[0].address.empty());
}

// Requests that read from the store before it restarted may still be waiting at
// their targets, and would get parts that are being written again.
TEST(TransferPlan, DoesNotWriteToAStoreThatHasJustRestarted)
{
  core::PartEventPage page;
  page.epoch = 2;
  page.started_by = now;
  state.parts.OnPage(kStore, page, now);
  Plan();
  CHECK(call.store_at.at(0).address.empty());
}

TEST(TransferPlan, DoesNotWriteToFullStore)
{
  ReportEvents({ { core::ToText(kScope), "x", 99950, true } });
  Plan();
  CHECK(call.store_at[0].address.empty());
}

// 900 tokens of 100 kB take 180 ms on a 0.5 GB/s link; at a tenth of the link,
// an instance's share here, they take 1.8 s.
TEST(TransferPlan, SkipsStoreWithBusyLink)
{
  core::DeclaredStore store{
    kStore, "10.0.0.1:80", core::DataCentreId("d"), 100000
  };
  store.bytes_per_second = 0.5e9;
  Declare({ store });
  target.target.data_centre = core::DataCentreId("d");
  for (int i = 0; i < 1000; ++i) {
    state.shares[core::ServiceId("models")].AddSample(1, 10);
  }
  ReportEvents({ { core::ToText(kScope), "a", 100, true },
                 { core::ToText(kScope), "b", 900, true } });
  LONGS_EQUAL(1000, Plan().transferred);
  call.read_from.clear();
  const PlannedTokens planned = Plan();
  LONGS_EQUAL(0, planned.transferred);
  LONGS_EQUAL(1000, planned.skipped);
  CHECK(call.read_from[1].address.empty());
}

TEST(TransferPlan, StoresHotPartInEachDataCentre)
{
  const core::StoreId other("s2");
  Declare({ { kStore, "10.0.0.1:80", core::DataCentreId("d"), 100000 },
            { other, "10.0.0.2:80", core::DataCentreId("e"), 100000 } });
  target.target.data_centre = core::DataCentreId("e");
  core::PartEventPage page;
  page.epoch = 1;
  page.started_by = core::Instant{};
  state.parts.OnPage(other, page, core::RuntimeClock::now());
  ReportCompletePart();
  CHECK(Reads());
  CHECK(call.store_at[1].address.empty());
  for (int i = 0; i < 20; ++i) {
    Plan();
  }
  STRCMP_EQUAL("10.0.0.2:80", call.store_at[1].address.c_str());
}

TEST(TransferPlan, PrefersDataCentreOfStoreOnlyForLongTransfer)
{
  core::DeclaredStore store{
    kStore, "10.0.0.1:80", core::DataCentreId("d"), 100000
  };
  store.bytes_per_second = 1e9;
  Declare({ store });
  const core::ServiceId models("models");
  CHECK_FALSE(
    StoreDataCentreOf(state, prompt, kScope, models, homes).has_value());
  ReportCompletePart();
  CHECK(StoreDataCentreOf(state, prompt, kScope, models, homes) ==
        core::DataCentreId("d"));
  store.bytes_per_second = 1e10;
  Declare({ store });
  CHECK_FALSE(
    StoreDataCentreOf(state, prompt, kScope, models, homes).has_value());
}

TEST(TransferPlan, ReadsOnlyFromLiveHomeTargetWithSameWeights)
{
  state.fleet.Update({ TargetAt("t1"), TargetAt("t2") });
  const auto targets = state.fleet.Of(core::ServiceId("models"));
  std::vector<core::PlacementCandidate> candidates(2);
  candidates[0].name_hash = targets[0]->name_hash;
  candidates[1].name_hash = targets[1]->name_hash;
  const auto home = *core::WeightedOwner(core::PlacementHash("b"), candidates);
  FleetTarget& away = *targets[1 - home];
  call.weight_version = 2;
  // A request is outstanding and there was no response: it may be dead.
  targets[home]->load.OnBegin();
  ReadFromHomeTarget(state, prompt, away, homes, call);
  CHECK(call.read_from.empty());
  targets[home]->load.OnEnd(std::chrono::seconds(1));
  targets[home]->health.OnUnreachable(now);
  ReadFromHomeTarget(state, prompt, away, homes, call);
  CHECK(call.read_from.empty());
  targets[home]->health.OnAnswer();
  // With many instances, each seldom gets a response from a healthy target.
  ReadFromHomeTarget(state, prompt, away, homes, call);
  STRCMP_EQUAL("127.0.0.1:90", call.read_from[1].address.c_str());
  call.read_from.clear();
  targets[home]->load.OnBegin();
  targets[home]->last_response_at = now;
  ReadFromHomeTarget(state, prompt, *targets[home], homes, call);
  CHECK(call.read_from.empty());
  ReadFromHomeTarget(state, prompt, away, homes, call);
  STRCMP_EQUAL("127.0.0.1:90", call.read_from[1].address.c_str());
  CHECK(call.read_from[2].address.empty());
  call.read_from.clear();
  call.weight_version = 3;
  ReadFromHomeTarget(state, prompt, away, homes, call);
  CHECK(call.read_from.empty());
}

TEST(TransferPlan, NeitherReadsNorWritesInAStoppedDataCentre)
{
  ReportCompletePart();
  CHECK(Reads());
  state.fleet.SetStoppedDataCentres({ core::DataCentreId("d") });
  call.read_from.clear();
  CHECK_FALSE(Reads());
  CHECK(call.store_at.at(1).address.empty());
  state.fleet.SetStoppedDataCentres({});
  CHECK(Reads());
}

TEST(TransferPlan, KeepsPartsWithinTheAllowedRegions)
{
  ReportCompletePart();
  homes = core::Homes({ std::vector{ core::RegionId("south") } }, {}, regions);
  CHECK_FALSE(Reads());
  CHECK(call.store_at.at(1).address.empty());
  homes = core::Homes({}, { std::vector{ core::RegionId("north") } }, regions);
  CHECK(Reads());
}

// A target that was cold has lost its cache: its prompts' parts are at the
// targets that stood in for it.
TEST(TransferPlan, ATargetThatWasColdReadsFromTheOneThatStoodInForIt)
{
  call.weight_version = 2;
  state.fleet.SetColdTimes(
    { { core::ServiceId("models"), std::chrono::seconds(1) } });
  state.fleet.Update({ TargetAt("t1"), TargetAt("t2") });
  for (const auto& returned : state.fleet.Of(core::ServiceId("models"))) {
    for (const auto& other : state.fleet.Of(core::ServiceId("models"))) {
      other->cold_start = core::ColdStart();
    }
    returned->cold_start.OnCold(now - std::chrono::seconds(1), now);
    call.read_from.clear();
    ReadFromHomeTarget(state, prompt, *returned, homes, call);
    STRCMP_EQUAL("127.0.0.1:90", call.read_from.at(1).address.c_str());
  }
}
