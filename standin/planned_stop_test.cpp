#include "standin/entry_deployment.hpp"

#include <future> // for async

#include <CppUTest/TestHarness.h> // for TEST

#include "jujubehead/core/routing/request_durations.hpp" // for RequestDurations

using namespace jujubehead;
using nlohmann::json;
using standin::EntryDeployment;
using standin::EntryDeploymentOptions;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
/// Of all routes: longer than any grace period here.
constexpr int kTimeoutMs = 12000;
constexpr milliseconds kShortGrace{ 2000 };

} // namespace

// One instance gets a request for a planned stop, as from SIGTERM.
TEST_GROUP(PlannedStop)
{
  std::unique_ptr<EntryDeployment> deployment;
  int sent = 0;

  void Start(milliseconds aGrace)
  {
    deployment = EntryDeployment::Start({ .stop_grace = aGrace });
    json configuration = deployment->Configuration();
    configuration["version"] = 2;
    for (json& route : configuration["routes"]) {
      route["timeout_ms"] = kTimeoutMs;
    }
    deployment->PutRow("op", "config", configuration);
    CHECK(deployment->AwaitRead());
  }
  net::HttpResponse Send(const std::string& aPath)
  {
    net::HttpHeaders lines;
    lines.Add("X-Attempt-Id", "r" + std::to_string(++sent));
    lines.Add("Authorization", "Token key-1");
    lines.Add("X-Model", "m1");
    return deployment->Call("POST", aPath, lines, "rice");
  }
  void Mute(const std::string& aKind)
  {
    for (const char* number : { "0", "1" }) {
      deployment->SetFault(
        aKind + number, "mute", { { "ms", 2 * kTimeoutMs } });
    }
  }
};

// A stream of a route with a long timeout came during the stop, was passed on,
// and was cut at the exit: a fixed time stood for what requests take.
TEST(PlannedStop, ARequestThatMayOutlastTheInstanceIsRefused)
{
  Start(seconds(8));
  LONGS_EQUAL(kOk, Send("/chat/x").status);
  deployment->RequestStop(0);
  for (const char* path : { "/chat/x", "/once/x", "/calls/x" }) {
    const net::HttpResponse response = Send(path);
    LONGS_EQUAL(kUnavailable, response.status);
    CHECK(response.headers.Find("Retry-After").has_value());
    CHECK(response.headers.Find("Connection") == "close");
  }
}

// Callers cannot avoid the instance yet, and its requests are known to be
// short: to refuse them all would take one of their tries from each.
TEST(PlannedStop, ARequestThatUsuallyEndsInTimeIsTaken)
{
  Start(seconds(8));
  for (std::size_t i = 0; i < core::RequestDurations::kMinRequests; ++i) {
    LONGS_EQUAL(kOk, Send("/calls/x").status);
  }
  deployment->RequestStop(0);
  LONGS_EQUAL(kOk, Send("/calls/x").status);
  LONGS_EQUAL(kUnavailable, Send("/once/x").status);
}

// Requests that were still at their targets when the process ended were cut
// without a response.
TEST(PlannedStop, ARequestAtASilentTargetGetsAFinalResponse)
{
  Start(kShortGrace);
  Mute("service");
  auto once = std::async(std::launch::async, [&] { return Send("/once/x"); });
  CHECK(deployment->Await([&] {
    return deployment->Stats("service0")["runs"].size() +
             deployment->Stats("service1")["runs"].size() ==
           1;
  }));
  deployment->RequestStop(0);
  const net::HttpResponse response = once.get();
  LONGS_EQUAL(kGatewayTimeout, response.status);
  CHECK(response.body.find("shutting down") != std::string::npos);
  CHECK(deployment->AwaitStop(0));
}
