#include "standin/entry_deployment.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;
using nlohmann::json;
using standin::EntryDeployment;

namespace {

constexpr std::size_t kTargets = 2;

net::HttpHeaders
Lines(const std::string& aId)
{
  net::HttpHeaders lines;
  lines.Add("X-Attempt-Id", aId);
  lines.Add("Authorization", "Token key-1");
  return lines;
}

net::HttpHeaders
PromptLines(const std::string& aId)
{
  net::HttpHeaders lines = Lines(aId);
  lines.Add("X-Model", "m1");
  lines.Add("X-Token-Usage", "1460,80");
  lines.Add("X-Prompt-Prefix", "aa:800,bb:410,cc:250");
  return lines;
}

std::string
Events(int aFrom, int aTo)
{
  std::string text;
  for (int i = aFrom; i <= aTo; ++i) {
    const std::string number = std::to_string(i);
    text.append("id: ").append(number).append("\ndata: token");
    text.append(number).append("\n\n");
  }
  return text;
}

std::string
Raw(const std::string& aLines, const std::string& aBody = {})
{
  return "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r1\r\n"
         "Authorization: Token key-1\r\nConnection: close\r\n" +
         aLines + "\r\n" + aBody;
}

} // namespace

TEST_GROUP(EntryPath)
{
  std::unique_ptr<EntryDeployment> deployment =
    EntryDeployment::Start({ kTargets });

  /// All runs that targets of a kind saw.
  json Runs(const std::string& aKind)
  {
    json runs = json::array();
    for (std::size_t i = 0; i < kTargets; ++i) {
      const json stats = deployment->Stats(aKind + std::to_string(i));
      for (const json& run : stats.at("runs")) {
        runs.push_back(run);
      }
    }
    return runs;
  }
  void SetFaultOfAll(
    const std::string& aKind, const std::string& aFault, const json& aBody)
  {
    for (std::size_t i = 0; i < kTargets; ++i) {
      deployment->SetFault(aKind + std::to_string(i), aFault, aBody);
    }
  }
};

TEST(EntryPath, APlainCallReachesATargetAsItCame)
{
  net::HttpHeaders lines = Lines("r1");
  lines.Add("X-Tenant", "someone-else");
  lines.Add("X-Cache-Salt", "stolen");
  const auto response =
    deployment->Call("POST", "/once/orders?day=7", lines, "two crates");
  LONGS_EQUAL(200, response.status);
  CHECK(response.body.starts_with("done by service"));
  CHECK(response.headers.Find("X-Response-Seal").has_value());
  const json runs = Runs("service");
  LONGS_EQUAL(1, runs.size());
  STRCMP_EQUAL("/once/orders?day=7",
               runs[0]["target"].get<std::string>().c_str());
  STRCMP_EQUAL("two crates", runs[0]["body"].get<std::string>().c_str());
  const json& seen = runs[0]["lines"];
  STRCMP_EQUAL("acme", seen["X-Tenant"].get<std::string>().c_str());
  CHECK_FALSE(seen.contains("Authorization"));
  CHECK_FALSE(seen.contains("X-Cache-Salt"));
  STRCMP_EQUAL("r1", seen["X-Attempt-Id"].get<std::string>().c_str());
}

TEST(EntryPath, AStreamIsPassedOnWhole)
{
  const auto response =
    deployment->Call("POST", "/chat/x", PromptLines("r2"), "hello");
  LONGS_EQUAL(200, response.status);
  STRCMP_EQUAL(Events(1, 8).c_str(), response.body.c_str());
  const json runs = Runs("model");
  STRCMP_EQUAL(
    "3", runs[0]["lines"]["X-Request-Priority"].get<std::string>().c_str());
  STRCMP_EQUAL("1",
               runs[0]["lines"]["X-Expect-Version"].get<std::string>().c_str());
}

TEST(EntryPath, AStreamThatBreaksWithinAnEventGoesOnElsewhere)
{
  deployment->SetFault("model0", "break_after", { { "events", 3 } });
  for (int i = 0; i < 6; ++i) {
    net::HttpHeaders lines = Lines("s" + std::to_string(i));
    lines.Add("X-Model", "m1");
    lines.Add("X-Prompt-Prefix", "p" + std::to_string(i) + ":10,q:5");
    const auto response = deployment->Call("POST", "/chat/x", lines, "hello");
    LONGS_EQUAL(200, response.status);
    STRCMP_EQUAL(Events(1, 8).c_str(), response.body.c_str());
  }
  CHECK(Runs("model").size() > 6);
}

TEST(EntryPath, ARefusedRequestGoesToTheNextTarget)
{
  deployment->SetFault("service0", "refuse", { { "count", 1 } });
  deployment->SetFault("service1", "refuse", { { "count", 0 } });
  const auto response = deployment->Call("POST", "/once/x", Lines("r3"), "a");
  LONGS_EQUAL(200, response.status);
  LONGS_EQUAL(1, Runs("service").size());
}

TEST(EntryPath, ARequestThatAllTargetsRefuseIsToldToComeBack)
{
  SetFaultOfAll("service", "refuse", { { "count", 100 } });
  const auto response = deployment->Call("POST", "/once/x", Lines("r4"), "a");
  LONGS_EQUAL(503, response.status);
  CHECK(response.headers.Find("Retry-After").has_value());
  LONGS_EQUAL(0, Runs("service").size());
}

TEST(EntryPath, ACallThatMayRunOnceIsNotSentAgainAndNotRefused)
{
  SetFaultOfAll("service", "lose_answers", { { "count", 100 } });
  const auto response = deployment->Call("POST", "/once/x", Lines("r5"), "a");
  LONGS_EQUAL(502, response.status);
  LONGS_EQUAL(1, Runs("service").size());
}

TEST(EntryPath, ACallThatMayRepeatIsSentAgain)
{
  SetFaultOfAll("service", "lose_answers", { { "count", 1 } });
  deployment->SetFault("service1", "lose_answers", { { "count", 0 } });
  const auto response = deployment->Call("GET", "/calls/x", Lines("r6"), "");
  LONGS_EQUAL(200, response.status);
}

TEST(EntryPath, AnAnswerWithoutASignatureIsNotPassedOn)
{
  SetFaultOfAll("service", "unsigned", { { "count", 100 } });
  const auto response = deployment->Call("POST", "/once/x", Lines("r7"), "a");
  LONGS_EQUAL(502, response.status);
  CHECK_FALSE(response.body.starts_with("done"));
}

TEST(EntryPath, AHangingTargetIsLeftForAnother)
{
  deployment->SetFault("service0", "mute", { { "ms", 30000 } });
  const auto begun = std::chrono::steady_clock::now();
  for (int i = 0; i < 4; ++i) {
    net::HttpHeaders lines = Lines("h" + std::to_string(i));
    lines.Add("X-Deadline-Ms", "4000");
    LONGS_EQUAL(200, deployment->Call("GET", "/calls/x", lines, "").status);
  }
  CHECK(std::chrono::steady_clock::now() - begun < std::chrono::seconds(8));
}

TEST(EntryPath, UnknownKeysAndRoutesAreRefusedWithoutATarget)
{
  net::HttpHeaders stranger;
  stranger.Add("X-Attempt-Id", "r8");
  stranger.Add("Authorization", "Token other");
  LONGS_EQUAL(401, deployment->Call("POST", "/once/x", stranger, "").status);
  LONGS_EQUAL(404, deployment->Call("POST", "/no/x", Lines("r9"), "").status);
  LONGS_EQUAL(0, Runs("service").size());
}

TEST(EntryPath, SmuggledRequestsAreNotRead)
{
  const std::string hidden = "POST /once/hidden HTTP/1.1\r\nHost: a.example\r\n"
                             "X-Attempt-Id: r9\r\n\r\n";
  for (const std::string& lines :
       { std::string("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"),
         std::string("Content-Length: 4\r\nContent-Length: 99\r\n"),
         std::string("X-A: b\nContent-Length: 4\r\n") }) {
    const std::string answer =
      deployment->CallRaw(Raw(lines, "0\r\n\r\n" + hidden));
    CHECK_TEXT(answer.starts_with("HTTP/1.1 400"), answer.c_str());
  }
  LONGS_EQUAL(0, Runs("service").size());
}

TEST(EntryPath, AConnectionLineCannotDropWhatBelongsToTheRequest)
{
  const std::string answer = deployment->CallRaw(
    Raw("Connection: X-Attempt-Id, X-Tenant, X-Other\r\nX-Other: 1\r\n"
        "Content-Length: 0\r\n"));
  CHECK(answer.starts_with("HTTP/1.1 200"));
  const json seen = Runs("service")[0]["lines"];
  STRCMP_EQUAL("r1", seen["X-Attempt-Id"].get<std::string>().c_str());
  STRCMP_EQUAL("acme", seen["X-Tenant"].get<std::string>().c_str());
  CHECK_FALSE(seen.contains("X-Other"));
}

TEST(EntryPath, WorkEndsSoonAfterTheCallerLeft)
{
  SetFaultOfAll("service", "mute", { { "ms", 3000 } });
  deployment->CallAndLeave(Raw("Content-Length: 0\r\n"),
                           std::chrono::milliseconds(300));
  CHECK(deployment->Await([&] {
    return deployment->Stats("service0").at("cut").get<int>() +
             deployment->Stats("service1").at("cut").get<int>() ==
           1;
  }));
}

TEST(EntryPath, ANewerConfigurationComesInForceAndAnOlderDoesNot)
{
  json changed = deployment->Configuration();
  changed["version"] = 5;
  changed["tenants"][0]["api_keys"] = { "key-2" };
  deployment->PutRow("op", "config", changed);
  const auto status = [&] {
    return deployment->Call("POST", "/once/x", Lines("c1"), "").status;
  };
  CHECK(deployment->Await([&] { return status() == 401; }));
  deployment->PutRow("op", "config", deployment->Configuration());
  CHECK(deployment->AwaitRead());
  LONGS_EQUAL(401, status());
}

TEST(EntryPath, GarbageRowsAreSkippedAndTheOthersKept)
{
  deployment->PutGarbage("op", "config");
  deployment->PutGarbage("servers", "service0");
  deployment->PutGarbage("servers", "stranger");
  deployment->PutRow("servers", "half", { { "service", "plain" } });
  CHECK(deployment->AwaitRead());
  for (int i = 0; i < 4; ++i) {
    LONGS_EQUAL(
      200,
      deployment->Call("POST", "/once/x", Lines(std::to_string(i)), "").status);
  }
}

TEST(EntryPath, LostHistoryIsReadAnew)
{
  deployment->SetFault("rows", "forget_history", { { "count", 3 } });
  json changed = deployment->Configuration();
  changed["version"] = 9;
  changed["tenants"][0]["api_keys"] = { "key-2" };
  deployment->PutRow("op", "config", changed);
  CHECK(deployment->Await([&] {
    return deployment->Call("POST", "/once/x", Lines("f1"), "").status == 401;
  }));
}

TEST(EntryPath, ALeavingTargetGetsNothingMore)
{
  json leaving = deployment->EntryOf("service0");
  leaving["state"] = "draining";
  leaving["sequence"] = 2;
  deployment->PutRow("servers", "service0", leaving);
  CHECK(deployment->AwaitRead());
  const std::size_t before = deployment->Stats("service0").at("runs").size();
  for (int i = 0; i < 6; ++i) {
    deployment->Call("POST", "/once/x", Lines(std::to_string(i)), "");
  }
  LONGS_EQUAL(before, deployment->Stats("service0").at("runs").size());
}

TEST(EntryPath, NewWeightsAreBroughtToAllTargetsAndOldPartsFreed)
{
  CHECK(deployment->Await([&] {
    deployment->Call("POST", "/chat/x", PromptLines("w1"), "hello");
    return deployment->Stats("parts").at("events").size() >= 2;
  }));
  deployment->PutRow(
    "op", "version/m1", { { "model", "m1" }, { "version", 2 } });
  CHECK(deployment->Await([&] {
    return deployment->Stats("model0").at("version") == 2 &&
           deployment->Stats("model1").at("version") == 2;
  }));
  // Each got one order, all by one holder with one token.
  const json first = deployment->Stats("model0").at("orders");
  const json second = deployment->Stats("model1").at("orders");
  LONGS_EQUAL(1, first.size());
  LONGS_EQUAL(1, second.size());
  CHECK(first[0]["holder"] == second[0]["holder"]);
  CHECK(first[0]["fence"] == second[0]["fence"]);
  CHECK(deployment->Await(
    [&] { return deployment->Stats("parts").at("freed").size() >= 2; }));
}

TEST(EntryPath, KeptPartsAreReadFromTheirStoreOnceTheyAreWhole)
{
  CHECK(deployment->Await([&] {
    deployment->Call("POST", "/chat/x", PromptLines("k1"), "hello");
    return Runs("model").back()["lines"].contains("X-Kv-Save");
  }));
  for (const json& run : Runs("model")) {
    CHECK_FALSE(run["lines"].contains("X-Kv-Fetch"));
  }
  CHECK(deployment->Await([&] {
    deployment->Call("POST", "/chat/x", PromptLines("k2"), "hello");
    const json last = Runs("model").back()["lines"];
    return last.contains("X-Kv-Fetch") && last.contains("X-Kv-Until") &&
           !last.contains("X-Kv-Save");
  }));
}
