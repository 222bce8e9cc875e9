#include "standin/entry_deployment.hpp"

#include <thread> // for sleep_for

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;
using nlohmann::json;
using standin::EntryDeployment;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kTargets = 2;
/// After an answer that says so, a draining target gets no request that a
/// caller sends later than this.
constexpr milliseconds kDrainTime{ 2000 };
/// Requests under way may arrive for so long after a target asked for none.
constexpr milliseconds kUnderWayTime{ 500 };
/// Requests that may arrive between this and the end of the backoff.
constexpr std::uint64_t kAllowedArrivals = 2;
constexpr unsigned kUnavailable = 503;

} // namespace

TEST_GROUP(TargetSignals)
{
  std::unique_ptr<EntryDeployment> deployment =
    EntryDeployment::Start({ kTargets });
  int sent = 0;

  net::HttpResponse Send(const std::string& aPath)
  {
    net::HttpHeaders lines;
    lines.Add("X-Attempt-Id", "r" + std::to_string(++sent));
    lines.Add("Authorization", "Token key-1");
    if (aPath.starts_with("/chat/")) {
      lines.Add("X-Model", "m1");
      lines.Add("X-Prompt-Prefix", "p" + std::to_string(sent) + ":10,q:5");
    }
    return deployment->Call("POST", aPath, lines, "hello");
  }
  /// Sends requests that have to be answered.
  void SendServed(const std::string& aPath, int aRequests)
  {
    for (int i = 0; i < aRequests; ++i) {
      LONGS_EQUAL(200, Send(aPath).status);
    }
  }
  std::uint64_t ArrivedAt(const std::string& aTarget)
  {
    return deployment->Stats(aTarget).at("arrived").get<std::uint64_t>();
  }
  /// Sends requests until one more has reached a target.
  void SendUntilArrival(const std::string& aTarget, const std::string& aPath)
  {
    const std::uint64_t before = ArrivedAt(aTarget);
    CHECK(deployment->Await([&] {
      Send(aPath);
      return ArrivedAt(aTarget) > before;
    }));
  }
  /// @return a target's arrivals among requests that are all served.
  std::uint64_t ArrivalsDuring(
    const std::string& aTarget, const std::string& aPath, int aRequests)
  {
    const std::uint64_t before = ArrivedAt(aTarget);
    SendServed(aPath, aRequests);
    return ArrivedAt(aTarget) - before;
  }
  void BeginDrain(const std::string& aTarget, const std::string& aPath)
  {
    deployment->SetFault(aTarget, "leaving", json::object());
    SendUntilArrival(aTarget, aPath);
    std::this_thread::sleep_for(kDrainTime);
  }
  void PushBack(const std::string& aTarget,
                const std::string& aSeconds,
                int aCount,
                bool aBare = false)
  {
    deployment->SetFault(
      aTarget,
      "push_back",
      { { "seconds", aSeconds }, { "count", aCount }, { "bare", aBare } });
  }
  /// @return a target's arrivals, of requests that are all served, in the part
  /// of a backoff of 1.5 s in which none are under way.
  std::uint64_t ArrivalsInBackoff(const std::string& aTarget,
                                  const std::string& aPath)
  {
    PushBack(aTarget, "1.5", 1000);
    SendUntilArrival(aTarget, aPath);
    const auto asked_at = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(kUnderWayTime);
    const std::uint64_t before = ArrivedAt(aTarget);
    while (std::chrono::steady_clock::now() < asked_at + milliseconds(1400)) {
      SendServed(aPath, 1);
      std::this_thread::sleep_for(milliseconds(5));
    }
    return ArrivedAt(aTarget) - before;
  }
  void PutEntry(const std::string& aTarget, const json& aEntry)
  {
    deployment->PutRow("servers", aTarget, aEntry);
    CHECK(deployment->AwaitRead());
  }
};

// The registry is late, and the target ends while it has requests.
TEST(TargetSignals, ADrainingTargetGetsNoCallsOrStreams)
{
  BeginDrain("service0", "/once/x");
  LONGS_EQUAL(0, ArrivalsDuring("service0", "/once/x", 40));
  BeginDrain("model0", "/chat/x");
  LONGS_EQUAL(0, ArrivalsDuring("model0", "/chat/x", 40));
}

// A heartbeat, or an entry that lapsed and is back, still says ready.
TEST(TargetSignals, ADrainingTargetStaysOutWhateverItsEntrySays)
{
  BeginDrain("service0", "/once/x");
  json entry = deployment->EntryOf("service0");
  entry["sequence"] = 2;
  entry["slots"] = 9;
  PutEntry("service0", entry);
  LONGS_EQUAL(0, ArrivalsDuring("service0", "/once/x", 40));
  PutEntry("service0", nullptr);
  entry["sequence"] = 3;
  PutEntry("service0", entry);
  LONGS_EQUAL(0, ArrivalsDuring("service0", "/once/x", 40));
}

// All requests would fail at targets that are about to end.
TEST(TargetSignals, RequestsAreRefusedOnceAllTargetsDrain)
{
  BeginDrain("service0", "/once/x");
  BeginDrain("service1", "/once/x");
  const std::uint64_t before = ArrivedAt("service0") + ArrivedAt("service1");
  const auto refused = Send("/once/x");
  LONGS_EQUAL(kUnavailable, refused.status);
  CHECK(refused.headers.Find("Retry-After").has_value());
  LONGS_EQUAL(before, ArrivedAt("service0") + ArrivedAt("service1"));
}

// The caller would take the header for the instance's and leave it.
TEST(TargetSignals, CallersAreNotToldThatATargetDrains)
{
  deployment->SetFault("service0", "leaving", json::object());
  deployment->SetFault("service1", "leaving", json::object());
  const auto answer = Send("/once/x");
  LONGS_EQUAL(200, answer.status);
  CHECK_FALSE(answer.headers.Find("Server-Leaving").has_value());
}

// Requests go on at a target that turns all away, and are refused to callers
// once they have no tries left.
TEST(TargetSignals, ATargetIsLeftAloneForTheTimeThatItAsksFor)
{
  CHECK(ArrivalsInBackoff("service0", "/once/x") <= kAllowedArrivals);
  CHECK(ArrivalsInBackoff("model0", "/chat/x") <= kAllowedArrivals);
}

// A target that asks for a moment is left out for seconds.
TEST(TargetSignals, ATargetIsUsedAgainOnceItsBackoffIsOver)
{
  constexpr int kPushbacks = 4;
  PushBack("service0", "0.1", kPushbacks, true);
  const auto began_at = std::chrono::steady_clock::now();
  for (int i = 0; i <= kPushbacks; ++i) {
    SendUntilArrival("service0", "/once/x");
  }
  CHECK(std::chrono::steady_clock::now() < began_at + std::chrono::seconds(2));
}

// A caller that comes back at once finds the targets still in backoff.
TEST(TargetSignals, CallersAreToldWhenTheFirstTargetTakesRequestsAgain)
{
  PushBack("service0", "1.2", 1000);
  PushBack("service1", "30", 1000);
  LONGS_EQUAL(kUnavailable, Send("/once/x").status);
  const std::uint64_t before = ArrivedAt("service0") + ArrivedAt("service1");
  const auto refused = Send("/once/x");
  LONGS_EQUAL(kUnavailable, refused.status);
  const double wait =
    std::stod(std::string(refused.headers.Find("Retry-After").value_or("0")));
  CHECK(wait > 0.5 && wait < 2);
  LONGS_EQUAL(before, ArrivedAt("service0") + ArrivedAt("service1"));
}
