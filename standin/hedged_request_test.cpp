#include "standin/entry_deployment.hpp"

#include <chrono> // for steady_clock

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;
using nlohmann::json;
using standin::EntryDeployment;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kTargets = 6;
constexpr double kShare = 0.2;
/// Time by which a slow target is slower, and a response time that only its
/// responses exceed. After 1,250 ms a call is given up on and sent again.
constexpr int kSlowMs = 1100;
constexpr milliseconds kSlowResponse{ 800 };
/// Hedged requests that may be saved up.
constexpr double kSavedUp = 3;

} // namespace

TEST_GROUP(HedgedRequests)
{
  std::unique_ptr<EntryDeployment> deployment;
  int sent = 0;

  void Start(double aShare, std::size_t aTargets = kTargets)
  {
    standin::EntryDeploymentOptions options;
    options.targets = aTargets;
    options.hedge_share = aShare;
    deployment = EntryDeployment::Start(options);
  }
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
  /// Sends requests, all of which have to be answered.
  /// @return how many of them took long.
  int SlowOf(const std::string& aPath, int aRequests)
  {
    int slow = 0;
    for (int i = 0; i < aRequests; ++i) {
      const auto begun = std::chrono::steady_clock::now();
      const net::HttpResponse response = Send(aPath);
      LONGS_EQUAL(200, response.status);
      CHECK_FALSE(response.body.empty());
      const auto took = std::chrono::steady_clock::now() - begun;
      slow += took > kSlowResponse ? 1 : 0;
    }
    return slow;
  }
  void MakeSlow(const std::string& aTarget)
  {
    deployment->SetFault(aTarget, "slow", { { "ms", kSlowMs } });
  }
  std::uint64_t Total(node::Counter aCounter)
  {
    return deployment->Total(0, aCounter);
  }
};

// One slow target in six decides the slowest responses of all callers.
TEST(HedgedRequests, ASlowTargetDoesNotMakeCallsSlow)
{
  Start(kShare);
  SlowOf("/calls/x", 40); // Shows what is usual.
  MakeSlow("service0");
  const int slow = SlowOf("/calls/x", 60);
  CHECK(slow <= 3);
  CHECK(Total(node::Counter::kSecondSendsWon) > 0);
  CHECK(static_cast<double>(Total(node::Counter::kSecondSends)) <=
        kShare * sent + kSavedUp);
}

TEST(HedgedRequests, WithoutAShareNothingIsSentTwice)
{
  Start(0);
  SlowOf("/calls/x", 40);
  MakeSlow("service0");
  CHECK(SlowOf("/calls/x", 40) > 0);
  LONGS_EQUAL(0, Total(node::Counter::kSecondSends));
}

// A second run of a request that may run once would be an order placed twice.
TEST(HedgedRequests, CallsThatMayRunOnceAreNotSentTwice)
{
  Start(kShare, 2);
  SlowOf("/once/x", 40);
  MakeSlow("service0");
  MakeSlow("service1");
  SlowOf("/once/x", 5);
  LONGS_EQUAL(0, Total(node::Counter::kSecondSends));
  LONGS_EQUAL(0, Total(node::Counter::kSecondSendsDenied));
}

TEST(HedgedRequests, AStreamComesWholeFromTheTargetThatRespondsFirst)
{
  Start(kShare);
  const net::HttpResponse usual = Send("/chat/x");
  SlowOf("/chat/x", 40);
  MakeSlow("model0");
  for (int i = 0; i < 60; ++i) {
    const net::HttpResponse response = Send("/chat/x");
    LONGS_EQUAL(200, response.status);
    LONGS_EQUAL(usual.body.size(), response.body.size());
  }
  CHECK(Total(node::Counter::kSecondSendsWon) > 0);
}

// The second target refuses or is slow, too: the first one's response counts.
TEST(HedgedRequests, TheFirstTargetIsAwaitedIfTheSecondFails)
{
  Start(kShare, 2);
  SlowOf("/calls/x", 40);
  MakeSlow("service0");
  deployment->SetFault("service1", "refuse", { { "count", 1000 } });
  SlowOf("/calls/x", 8);
  LONGS_EQUAL(0, Total(node::Counter::kSecondSendsWon));
}

TEST(HedgedRequests, ACallerThatLeavesEndsBothSends)
{
  Start(kShare);
  SlowOf("/calls/x", 40);
  for (std::size_t i = 0; i < kTargets; ++i) {
    MakeSlow("service" + std::to_string(i));
  }
  const std::string bytes = "POST /calls/x HTTP/1.1\r\nHost: a.example\r\n"
                            "Authorization: Token key-1\r\n"
                            "X-Attempt-Id: left\r\nContent-Length: 0\r\n\r\n";
  deployment->CallAndLeave(bytes, milliseconds(500));
  CHECK(
    deployment->Await([&] { return Total(node::Counter::kCallersGone) > 0; }));
  CHECK(Total(node::Counter::kSecondSends) > 0);
  SlowOf("/calls/x", 2);
}
