#include <cstdio>  // for remove
#include <fstream> // for ofstream
#include <sstream> // for ostringstream

#include <CppUTest/TestHarness.h> // for TEST

#include "jujubehead/core/account_key.hpp"     // for VerifyKey
#include "jujubehead/net/fake_http_client.hpp" // for FakeHttpClient
#include "jujubehead/net/fake_platform.hpp"    // for FakeTableService
#include "jujubehead/node/status.hpp"          // for InstanceStatus
#include "run.hpp"                             // for Run

using namespace jujubehead;
using namespace jujubehead::app;

namespace {

/// What all commands of a test share.
struct World
{
  boost::asio::io_context context;
  net::FakeHttpClient client;
  net::FakeTableService service;
  net::FakeObjectStore store;
  std::unique_ptr<net::TableLog> log = net::TableLog::Create(service, store);
  std::int64_t now_ms = 1'000'000;
};

class FakePlatform : public Platform
{
public:
  explicit FakePlatform(World& aWorld)
    : m_world(aWorld)
  {
  }
  boost::asio::io_context& Context() override { return m_world.context; }
  net::HttpClient& Client() override { return m_world.client; }
  net::TableLog& Log() override { return *m_world.log; }
  net::SleepFor Sleeper() override
  {
    return [this](core::Duration aTime) { return Wait(aTime); };
  }

private:
  boost::asio::awaitable<void> Wait(core::Duration aTime)
  {
    m_world.now_ms +=
      std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
    co_return;
  }

  World& m_world;
};

constexpr const char* kFile = "commands_test.csv";
constexpr const char* kBaseFile = "commands_test_base.csv";
constexpr const char* kHeader =
  "account,model,version,adapter,weight,max_running,max_waiting,priority,"
  "deadline_ms,recompute_price,key_hash\n";

} // namespace

TEST_GROUP(Commands)
{
  World world;
  std::ostringstream out;
  std::ostringstream err;

  void teardown() override
  {
    std::remove(kFile);
    std::remove(kBaseFile);
  }
  ExitCode Do(const Command& aCommand)
  {
    out.str("");
    err.str("");
    Tools tools{ out,
                 err,
                 [this](const PlatformOptions&) {
                   return std::make_unique<FakePlatform>(world);
                 },
                 [](const node::ServeOptions&) { return 0; },
                 [](const node::EntryOptions&) { return 0; },
                 "ann",
                 [this] { return world.now_ms; } };
    return Run(aCommand, tools);
  }
  static void Write(const std::string& aRows, const char* aFile = kFile)
  {
    std::ofstream(aFile) << kHeader << aRows;
  }
  ExitCode Apply(const std::string& aRows, BaseOptions aBase = {})
  {
    Write(aRows);
    return Do(ApplyCommand{ kFile, {}, std::move(aBase), "" });
  }
  ExitCode Plan(const std::string& aRows, BaseOptions aBase = {})
  {
    Write(aRows);
    return Do(PlanCommand{ kFile, {}, std::move(aBase) });
  }
  bool Said(const std::string& aText) const
  {
    return (out.str() + err.str()).find(aText) != std::string::npos;
  }
  void NextStatus(const node::InstanceStatus& aStatus)
  {
    world.client.Next(200, node::ToJson(aStatus));
  }
};

TEST(Commands, CheckPrintsEveryFinding)
{
  Write("*,m,v1,,,8,,,,,\na,m,,,0,99,,,,,\n");
  CHECK(Do(CheckCommand{ kFile }) == ExitCode::kFindings);
  CHECK(Said("commands_test.csv:3:5: weight is '0'"));
  CHECK(Said("1 finding\n"));
  Write("*,m,v1,,,8,,,,,\n");
  CHECK(Do(CheckCommand{ kFile }) == ExitCode::kDone);
  CHECK(Said("1 rows, 1 models, no findings"));
  CHECK(Do(CheckCommand{ "no such file" }) == ExitCode::kFindings);
}

TEST(Commands, ApplyAsksForABaseOnceATableIsInForce)
{
  CHECK(Apply("*,m,v1,,,8,,,,,\n") == ExitCode::kDone);
  CHECK(Apply("*,m,v2,,,8,,,,,\n") == ExitCode::kFindings);
  CHECK(Said("flags:--base: not set, and version 1 is in force"));
  CHECK(Apply("*,m,v2,,,8,,,,,\n", { "", 1 }) == ExitCode::kDone);
}

TEST(Commands, PlanShowsAndApplyBringsInForce)
{
  CHECK(Plan("*,m,v1,,,8,,,,,\na,m,,,,,,,,,\n") == ExitCode::kDone);
  CHECK(Said("in force: version 0, 0 rows"));
  CHECK(Said("2 rows differ: 2 added"));
  CHECK(Said("jujubehead apply commands_test.csv --base_version=0"));
  CHECK(Do(TableCommand{}) == ExitCode::kDone);
  CHECK_EQUAL(std::string(kHeader), out.str());
  CHECK(Apply("*,m,v1,,,8,,,,,\na,m,,,,,,,,,\n") == ExitCode::kDone);
  CHECK(Said("in force as version 1"));
  CHECK(Apply("*,m,v1,,,8,,,,,\na,m,,,,,,,,,\n", { "", 0 }) == ExitCode::kDone);
  CHECK(Said("nothing to change"));
  Do(TableCommand{});
  CHECK_EQUAL(std::string(kHeader) + "*,m,v1,,,8,,,,,\na,m,,,,,,,,,\n",
              out.str());
}

TEST(Commands, ATableMadeFromAnOlderVersionKeepsOthersRows)
{
  const std::string first = "*,m,v1,,,8,,,,,\na,m,,,1,,,,,,\nb,m,,,1,,,,,,\n";
  Apply(first);
  Apply("*,m,v1,,,8,,,,,\na,m,,,1,,,,,,\nb,m,,,7,,,,,,\n", { "", 1 });
  const std::string mine = "*,m,v1,,,8,,,,,\na,m,,,2,,,,,,\nb,m,,,1,,,,,,\n";
  CHECK(Plan(mine, { "", 1 }) == ExitCode::kDone);
  CHECK(Said("~ a"));
  CHECK_FALSE(Said("~ b"));
  CHECK(Apply(mine, { "", 1 }) == ExitCode::kDone);
  Do(TableCommand{});
  CHECK(Said("a,m,,,2,"));
  CHECK(Said("b,m,,,7,"));
  Do(TableCommand{ {}, 1 });
  CHECK(Said("b,m,,,1,"));
}

TEST(Commands, ConflictsAreNamedRowByRowAndNothingIsWritten)
{
  const std::string first = "*,m,v1,,,8,,,,,\na,m,,,1,,,,,,\nb,m,,,1,,,,,,\n";
  Apply(first);
  Apply("*,m,v1,,,8,,,,,\na,m,,,1,,,,,,\nb,m,,,7,,,,,,\n", { "", 1 });
  const std::string mine = "*,m,v1,,,8,,,,,\na,m,,,2,,,,,,\nb,m,,,3,,,,,,\n";
  CHECK(Plan(mine, { "", 1 }) == ExitCode::kConflict);
  CHECK(Apply(mine, { "", 1 }) == ExitCode::kConflict);
  CHECK(Said("conflict: row b,m was changed by ann in version 2"));
  CHECK(Said("nothing was written"));
  Write(first, kBaseFile);
  CHECK(Apply(mine, { kBaseFile, 0 }) == ExitCode::kConflict);
  CHECK(Said("conflict: row b,m"));
  Do(TableCommand{});
  CHECK(Said("a,m,,,1,"));
}

TEST(Commands, ALostAnswerIsSettledOrSaid)
{
  world.service.lose_answers = 1;
  CHECK(Apply("*,m,v1,,,8,,,,,\n") == ExitCode::kDone);
  CHECK(Said("in force as version 1"));
  world.service.lose_writes = 1000;
  CHECK(Apply("*,m,v2,,,8,,,,,\n", { "", 1 }) == ExitCode::kUnknown);
  CHECK(Said("run the same command again"));
  world.service.down = true;
  CHECK(Apply("*,m,v2,,,8,,,,,\n", { "", 1 }) == ExitCode::kFailed);
}

TEST(Commands, DrainWaitsUntilNothingRunsThere)
{
  DrainCommand drain;
  drain.subject = { core::StopKind::kTarget, "t1" };
  drain.instances.addresses = { "127.0.0.1:1" };
  node::InstanceStatus status;
  status.instance_id = "i1";
  NextStatus(status);
  status.table_version = 1;
  status.runs = { { "t1", 1, "" } };
  NextStatus(status);
  status.runs.clear();
  NextStatus(status);
  CHECK(Do(drain) == ExitCode::kDone);
  CHECK(Said("target t1 takes no new work, by version 1"));
  CHECK(Said("instance i1 does not know of the stop yet"));
  CHECK(Said("instance i1 runs 1 request there"));
  CHECK(Said("target t1 is drained"));
  drain.undo = true;
  CHECK(Do(drain) == ExitCode::kDone);
  CHECK(Said("in force as version 2"));
}

TEST(Commands, DrainSaysWhatItWaitsForAtItsDeadline)
{
  DrainCommand drain;
  drain.subject = { core::StopKind::kTarget, "t1" };
  drain.instances.addresses = { "127.0.0.1:1" };
  drain.deadline_s = 2;
  for (int i = 0; i < 4; ++i) {
    world.client.NextFails(false);
  }
  CHECK(Do(drain) == ExitCode::kNotDrained);
  CHECK(err.str().find("instance at 127.0.0.1:1 does not answer") !=
        std::string::npos);
}

TEST(Commands, StatusShowsInstancesAndWhatNeedsALook)
{
  StatusCommand command;
  command.instances = { { "127.0.0.1:1", "127.0.0.1:2" }, "", "operator" };
  node::InstanceStatus status;
  status.instance_id = "i1";
  status.ready = true;
  status.targets = { { "t1", "m", 3, 2, 1, 0, 8, true, "" },
                     { "t2", "m", 3, 4, 0, 0, 8, false, "" } };
  NextStatus(status);
  world.client.NextFails(false);
  CHECK(Do(command) == ExitCode::kFailed);
  CHECK(Said("127.0.0.1:2: cut off"));
  CHECK(Said("6/16"));
  CHECK(Said("t1 (owner i1, epoch 3): 2/8 running, 1 waiting, stopping"));
  CHECK_FALSE(Said("t2 (owner"));
  CHECK(world.client.Calls()[0].headers.Find("Authorization") ==
        "Bearer operator");
  command.json = true;
  NextStatus(status);
  NextStatus(status);
  CHECK(Do(command) == ExitCode::kDone);
  CHECK(Said("\"instance_id\": \"i1\""));
}

TEST(Commands, StatusShowsWhatAStoppedDataCentreStillRuns)
{
  StatusCommand command;
  command.instances = { { "127.0.0.1:1" }, "", "operator" };
  node::InstanceStatus status;
  status.ready = true;
  status.stops = { { "data_centre", "north", 0 }, { "target", "t4", 0 } };
  status.runs = { { "t1", 2, "north" },
                  { "t2", 3, "north" },
                  { "t3", 4, "south" } };
  NextStatus(status);
  CHECK(Do(command) == ExitCode::kDone);
  CHECK(Said("data_centre north"));
  CHECK(Said("in data centre north: 5 requests left at 2 targets"));
  CHECK_FALSE(Said("in data centre south"));
}

TEST(Commands, KeyMakesASecretAndItsHash)
{
  CHECK(Do(KeyCommand{ "shop" }) == ExitCode::kDone);
  const std::string text = out.str();
  const std::string key = text.substr(4, text.find('\n') - 4);
  const std::size_t at = text.find("key_hash=") + 9;
  const std::string hash = text.substr(at, text.find('\n', at) - at);
  const auto parsed = core::ParseAccountKey(key);
  CHECK_EQUAL(std::string("shop"), parsed->account.Text());
  CHECK(core::VerifyKey(parsed->secret, hash));
}

TEST(Commands, HelpNamesEveryCommandAndFlag)
{
  CHECK(Do(HelpCommand{}) == ExitCode::kDone);
  CHECK(Said("Exit codes:"));
  CHECK(Do(HelpCommand{ "serve" }) == ExitCode::kDone);
  CHECK(Said("--peer_secret_file"));
  CHECK(Said("(default 127.0.0.1)"));
  CHECK(Do(HelpCommand{ "nothing" }) == ExitCode::kFindings);
  CHECK(Do(CompletionCommand{}) == ExitCode::kDone);
  CHECK(Said("drain) flags=\"--help --table_service"));
  CHECK(Do(VersionCommand{}) == ExitCode::kDone);
  CHECK(out.str().starts_with("jujubehead "));
}
