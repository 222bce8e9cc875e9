#include "standin/engine_model.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::standin;
using Keys = std::vector<std::string>;

namespace {

constexpr std::size_t kBlockBytes = 400;

RunRequest
Request(const std::string& aId, const Keys& aKeys = {})
{
  RunRequest request;
  request.request_id = aId;
  request.fencing = 1;
  request.prompt =
    std::string(std::max<std::size_t>(aKeys.size(), 1) * kBlockBytes, 'p');
  request.max_tokens = 4;
  request.salt = "salt";
  request.block_bytes = kBlockBytes;
  request.keys = aKeys;
  return request;
}

EngineOptions
SmallEngine()
{
  EngineOptions options;
  options.batch = 2;
  options.hard_limit = 4;
  options.total_blocks = 4;
  options.load_lag_ms = 0;
  return options;
}

} // namespace

TEST_GROUP(EngineModel)
{
  EngineModel engine{ SmallEngine() };
  EpochMs now = 1000;

  RunPtr Submit(RunRequest aRequest, bool aImports = false)
  {
    return std::get<RunPtr>(engine.Submit(std::move(aRequest), aImports, now));
  }
  Refusal Refused(RunRequest aRequest)
  {
    return std::get<Refusal>(engine.Submit(std::move(aRequest), false, now));
  }
  void RunToEnd()
  {
    while (engine.HasWork()) {
      engine.BeginStep(now);
      engine.EndStep(now);
    }
  }
};

TEST(EngineModel, AnswersDependOnPromptVersionAdapterSeedAndIndexAlone)
{
  const AnswerInput input{ "prompt", "v1", "", 0, 40, {} };
  const Answer answer = MakeAnswer(input);
  CHECK(answer.tokens == MakeAnswer(input).tokens);
  for (const AnswerInput& other :
       { AnswerInput{ "prompT", "v1", "", 0, 40, {} },
         AnswerInput{ "prompt", "v2", "", 0, 40, {} },
         AnswerInput{ "prompt", "v1", "a", 0, 40, {} },
         AnswerInput{ "prompt", "v1", "", 1, 40, {} } }) {
    CHECK(answer.tokens != MakeAnswer(other).tokens);
  }
  AnswerInput longer = input;
  longer.max_tokens = 60;
  const auto more = MakeAnswer(longer).tokens;
  CHECK(std::equal(answer.tokens.begin(), answer.tokens.end(), more.begin()));
}

TEST(EngineModel, AStopTextEndsTheAnswerBeforeIt)
{
  AnswerInput input{ "prompt", "v1", "", 0, 40, {} };
  const Answer whole = MakeAnswer(input);
  input.stop = { whole.tokens[3] };
  const Answer cut = MakeAnswer(input);
  CHECK(cut.finish_reason == "stop");
  LONGS_EQUAL(3, cut.tokens.size());
}

TEST(EngineModel, ReturningContextIsServedFromTheCache)
{
  Submit(Request("one", { "a", "b" }));
  RunToEnd();
  const RunPtr run = Submit(Request("two", { "a", "b", "c" }));
  RunToEnd();
  LONGS_EQUAL(200, run->cached_tokens);
  LONGS_EQUAL(100, run->recomputed_tokens);
  CHECK(run->state == RunState::kDone);
}

TEST(EngineModel, BatchesUpToItsLimitAndRefusesAboveTheHardOne)
{
  for (const char* id : { "1", "2", "3", "4" }) {
    Submit(Request(id));
  }
  CHECK(Refused(Request("5")) == Refusal::kFull);
  RunToEnd();
  const auto stats = engine.Stats();
  LONGS_EQUAL(2, stats["max_running_seen"].get<int>());
  LONGS_EQUAL(4, stats["max_held_seen"].get<int>());
  LONGS_EQUAL(1, stats["runs_started"]["4"].get<int>());
  LONGS_EQUAL(4, stats["done"].get<int>());
}

TEST(EngineModel, LowerPriorityNumbersRunFirst)
{
  RunRequest late = Request("late");
  late.priority = 5;
  const RunPtr second = Submit(late);
  Submit(Request("1"));
  Submit(Request("2"));
  engine.BeginStep(now);
  CHECK(second->state == RunState::kWaiting);
}

TEST(EngineModel, AnImportCountsOnlyOwnKeysUnderTheOwnSalt)
{
  const RunPtr wrong_salt = Submit(Request("1", { "a", "b" }), true);
  engine.FinishImport(wrong_salt, Keys{ "a", "b" }, "other", now);
  const RunPtr wrong_keys = Submit(Request("2", { "c", "d" }), true);
  engine.FinishImport(wrong_keys, Keys{ "x", "d" }, "salt", now);
  RunToEnd();
  LONGS_EQUAL(0, wrong_salt->cached_tokens + wrong_keys->cached_tokens);
  LONGS_EQUAL(2, engine.Stats()["foreign_imports"].get<int>());
  const RunPtr good = Submit(Request("3", { "e", "f" }), true);
  engine.FinishImport(good, Keys{ "e" }, "salt", now);
  RunToEnd();
  LONGS_EQUAL(100, good->imported_tokens);
  LONGS_EQUAL(100, good->cached_tokens);
}

TEST(EngineModel, OldFencingNumbersAreRefusedWhereTheyAreChecked)
{
  CHECK(engine.AcceptFencing(7));
  CHECK(Refused(Request("old")) == Refusal::kOldFencing);
  EngineOptions options = SmallEngine();
  options.checks_fencing = false;
  EngineModel careless(options);
  careless.AcceptFencing(7);
  CHECK(std::holds_alternative<RunPtr>(
    careless.Submit(Request("old"), false, now)));
}

TEST(EngineModel, AVersionServesOnlyOnceLoaded)
{
  RunRequest request = Request("1");
  request.version = "v2";
  CHECK(engine.TakeOrder({ { "order", "load_version" }, { "version", "v2" } },
                         now));
  CHECK(Refused(request) == Refusal::kWrongVersion);
  CHECK(engine.Load(now)["loading"].get<bool>());
  now += engine.Options().load_ms;
  Submit(request);
  CHECK(!engine.Load(now)["loading"].get<bool>());
}

TEST(EngineModel, AResumedRunMakesOnlyTheRestOfTheAnswer)
{
  RunRequest request = Request("1");
  request.resume_from = 3;
  const RunPtr run = Submit(request);
  engine.BeginStep(now);
  LONGS_EQUAL(1, engine.EndStep(now).size());
  CHECK(run->state == RunState::kDone);
}

TEST(EngineModel, ACrashLosesRunsAndCache)
{
  Submit(Request("1", { "a" }));
  RunToEnd();
  engine.SetCrashText("ppp");
  const RunPtr run = Submit(Request("2", { "a" }));
  CHECK(engine.BeginStep(now).crashed);
  LONGS_EQUAL(1, engine.Crash().size());
  CHECK(run->state == RunState::kCut);
  CHECK(engine.PinForExport(Keys{ "a" }).empty());
}

TEST(EngineModel, EventsAndLoadComeLate)
{
  EngineOptions options = SmallEngine();
  options.load_lag_ms = 100;
  options.events.lag_ms = 100;
  EngineModel slow(options);
  slow.Submit(Request("1", { "a" }), false, now);
  slow.ObserveLoad(now);
  slow.BeginStep(now);
  slow.EndStep(now);
  now += 50;
  LONGS_EQUAL(1, slow.Load(now)["waiting"].get<int>());
  LONGS_EQUAL(0, slow.CacheEvents(0, now)["events"].size());
  now += 100;
  LONGS_EQUAL(0, slow.Load(now)["waiting"].get<int>());
  const auto events = slow.CacheEvents(0, now)["events"];
  CHECK(events.at(0).at("kind") == "stored");
  CHECK(events.at(0).at("key") == "a");
}
