#include "standin/entry_deployment.hpp"

#include <atomic> // for atomic
#include <future> // for async
#include <thread> // for sleep_for

#include <CppUTest/TestHarness.h> // for TEST
#include <boost/asio/error.hpp>   // for eof

#include "jujubehead/core/overload/stop_schedule.hpp"    // for StopSchedule
#include "jujubehead/core/routing/request_durations.hpp" // for RequestDurations
#include "jujubehead/net/raw_caller.hpp"                 // for RawCaller
#include "jujubehead/net/run_awaitable.hpp"              // for RunAwaitable

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
const std::string kCall = "POST /calls/x HTTP/1.1\r\nHost: a.example\r\n"
                          "X-Attempt-Id: r1\r\n"
                          "Authorization: Token key-1\r\n";
/// Of all routes: longer than any grace period here.
constexpr int kTimeoutMs = 12000;
constexpr milliseconds kShortGrace{ 2000 };

boost::asio::awaitable<bool>
WriteAll(net::test::RawCaller& aCaller, std::string aBytes)
{
  co_await aCaller.Write(aBytes);
  co_return true;
}

} // namespace

// One instance gets a request for a planned stop, as from SIGTERM.
TEST_GROUP(PlannedStop)
{
  std::unique_ptr<EntryDeployment> deployment;
  std::atomic<int> sent = 0;

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
  /// A connection of its own on which bytes are sent.
  std::unique_ptr<net::test::RawCaller> Connect(const std::string& aBytes)
  {
    auto caller = std::make_unique<net::test::RawCaller>(
      context, deployment->CallerPort(0));
    context.restart();
    net::RunAwaitable(context, WriteAll(*caller, aBytes));
    return caller;
  }
  std::string ReadAll(net::test::RawCaller & aCaller)
  {
    context.restart();
    return net::RunAwaitable(context, aCaller.ReadAll());
  }
  boost::asio::io_context context{ 1 };

  /// Requests that the plain targets have run.
  std::size_t Runs()
  {
    return deployment->Stats("service0")["runs"].size() +
           deployment->Stats("service1")["runs"].size();
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

// Refusals of targets are short, whatever the requests take.
TEST(PlannedStop, RefusalsDoNotCountAsShortRequests)
{
  Start(seconds(8));
  for (const char* target : { "service0", "service1" }) {
    deployment->SetFault(target, "refuse", { { "count", 1000 } });
  }
  for (std::size_t i = 0; i < core::RequestDurations::kMinRequests; ++i) {
    LONGS_EQUAL(kUnavailable, Send("/calls/x").status);
  }
  for (const char* target : { "service0", "service1" }) {
    deployment->SetFault(target, "refuse", { { "count", 0 } });
  }
  deployment->RequestStop(0);
  LONGS_EQUAL(kUnavailable, Send("/calls/x").status);
}

// Requests that were still at their targets when the process ended were cut
// without a response.
TEST(PlannedStop, ARequestAtASilentTargetGetsAFinalResponse)
{
  Start(kShortGrace);
  Mute("service");
  auto once = std::async(std::launch::async, [&] { return Send("/once/x"); });
  CHECK(deployment->Await([&] { return Runs() == 1; }));
  deployment->RequestStop(0);
  const net::HttpResponse response = once.get();
  LONGS_EQUAL(kGatewayTimeout, response.status);
  CHECK(response.body.find("shutting down") != std::string::npos);
  CHECK(deployment->AwaitStop(0));
}

// One target fell silent; the call was not sent to the other one, although it
// may be repeated and there was time.
TEST(PlannedStop, ACallAtASilentTargetGoesOnAtAnother)
{
  Start(seconds(8));
  Mute("service");
  auto call = std::async(std::launch::async, [&] { return Send("/calls/x"); });
  CHECK(deployment->Await([&] { return Runs() == 1; }));
  const bool is_first = !deployment->Stats("service0")["runs"].empty();
  deployment->SetFault(
    is_first ? "service1" : "service0", "mute", { { "ms", 0 } });
  deployment->RequestStop(0);
  LONGS_EQUAL(kOk, call.get().status);
  LONGS_EQUAL(2, Runs());
}

// A request whose body was not complete at the exit was cut, too.
TEST(PlannedStop, AnIncompleteRequestIsRefusedBeforeTheExit)
{
  Start(kShortGrace);
  const auto caller =
    Connect(kCall + "Transfer-Encoding: chunked\r\n\r\n4\r\nrice\r\n");
  std::this_thread::sleep_for(milliseconds(200)); // It has been read.
  deployment->RequestStop(0);
  const std::string response = ReadAll(*caller);
  CHECK(response.starts_with("HTTP/1.1 503 "));
  CHECK(response.find("Retry-After: ") != std::string::npos);
  CHECK(deployment->AwaitStop(0));
}

// Callers whose balancer is slow to notice connect until the process is gone.
// Until then they are refused with a response; what was pending at the end was
// reset.
TEST(PlannedStop, LateCallersAreRefusedUntilTheListenerIsClosed)
{
  Start(seconds(6));
  Mute("service");
  // Not a call that may be repeated: that would go on elsewhere.
  auto open = std::async(std::launch::async, [&] { return Send("/once/x"); });
  const auto idle = Connect({});
  CHECK(deployment->Await([&] { return Runs() == 1; }));
  deployment->RequestStop(0);
  std::this_thread::sleep_for(core::StopSchedule::kOutOfRotation +
                              milliseconds(800));
  CHECK(ReadAll(*idle).empty());
  CHECK(idle->End() == boost::asio::error::eof);
  LONGS_EQUAL(kUnavailable, Send("/once/x").status);
  LONGS_EQUAL(kGatewayTimeout, open.get().status);
  const std::uint16_t port = deployment->CallerPort(0);
  CHECK(deployment->AwaitStop(0));
  CHECK_THROWS(boost::system::system_error,
               net::test::RawCaller(context, port));
}

// The kernel reset a connection that was closed with unread input, which can
// destroy the response before its caller has read it.
TEST(PlannedStop, ACallerThatSendsOnGetsItsResponseInFull)
{
  Start(seconds(8));
  constexpr std::size_t kMoreBytes = 256UL * 1024;
  const auto caller =
    Connect(kCall + "Connection: close\r\nContent-Length: 4\r\n\r\nrice" +
            std::string(kMoreBytes, 'a'));
  CHECK(ReadAll(*caller).find("done by service") != std::string::npos);
  CHECK(caller->End() == boost::asio::error::eof);
  std::this_thread::sleep_for(milliseconds(100));
  CHECK_FALSE(caller->WasReset());
}
