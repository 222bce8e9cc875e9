#include "standin/entry_deployment.hpp"

#include <thread> // for sleep_for

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;
using standin::EntryDeployment;

namespace {

constexpr std::size_t kInstances = 3;
constexpr std::size_t kTargets = 6;
/// Targets that a request may crash before it counts as poison.
constexpr std::size_t kCrashesToDetect = 3;
/// In this time the third crash has to be known everywhere.
constexpr std::chrono::seconds kTimeToDetect{ 3 };
/// Arrivals at targets that are allowed after it.
constexpr std::size_t kAllowedAfter = 3;
constexpr const char* kPoison = "crashes its target";
constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;

} // namespace

TEST_GROUP(PoisonRequest)
{
  std::unique_ptr<EntryDeployment> deployment;
  int sent = 0;

  void setup() override
  {
    Deploy(std::chrono::seconds(60));
  }

  void Deploy(std::chrono::seconds aFirstQuarantine)
  {
    deployment.reset();
    standin::EntryDeploymentOptions options;
    options.targets = kTargets;
    options.instances = kInstances;
    options.first_quarantine = aFirstQuarantine;
    deployment = EntryDeployment::Start(options);
    SetPoison(kPoison);
  }

  void SetPoison(const char* aBody)
  {
    for (std::size_t i = 0; i < kTargets; ++i) {
      for (const char* kind : { "model", "service" }) {
        deployment->SetFault(
          kind + std::to_string(i), "crash_on", { { "body", aBody } });
      }
    }
  }

  /// Sends a request under an id of its own, to each instance in turn.
  net::HttpResponse Send(const std::string& aPath, const std::string& aBody)
  {
    net::HttpHeaders lines;
    lines.Add("X-Attempt-Id", "r" + std::to_string(++sent));
    lines.Add("Authorization", "Token key-1");
    if (aPath.starts_with("/chat/")) {
      lines.Add("X-Model", "m1");
      lines.Add("X-Token-Usage", "1460,80");
      lines.Add("X-Prompt-Prefix", "aa:800,bb:410");
    }
    const auto instance = static_cast<std::size_t>(sent) % kInstances;
    return deployment->CallAt(instance, "POST", aPath, lines, aBody);
  }

  /// Sends it, with pauses in which targets come back, until that many crashed.
  void SendUntilCrashed(const std::string& aPath, std::size_t aCrashes)
  {
    constexpr int kMaxSends = 20;
    for (int i = 0; i < kMaxSends && deployment->Crashes() < aCrashes; ++i) {
      Send(aPath, kPoison);
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
    }
    CHECK(deployment->Crashes() >= aCrashes);
  }

  /// @return the crashes by the request's further copies, one each 0.5 s.
  std::size_t CrashesBy(const std::string& aPath, int aCopies)
  {
    const std::size_t before = deployment->Crashes();
    for (int i = 0; i < aCopies; ++i) {
      Send(aPath, kPoison);
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
    }
    return deployment->Crashes() - before;
  }
};

// A request that crashes each target that runs it takes the whole service down
// when its caller keeps sending it, to whichever instance.
TEST(PoisonRequest, ARequestThatCrashedThreeTargetsIsSentToNoMore)
{
  SendUntilCrashed("/chat/x", kCrashesToDetect);
  std::this_thread::sleep_for(kTimeToDetect);
  CHECK(CrashesBy("/chat/x", 9) <= kAllowedAfter);
  const auto refused = Send("/chat/x", kPoison);
  LONGS_EQUAL(kUnavailable, refused.status);
  CHECK(refused.headers.Find("Retry-After").has_value());
}

// Each instance sees one crash only where calls are not repeated.
TEST(PoisonRequest, CrashesThatDifferentInstancesSawAddUp)
{
  SendUntilCrashed("/once/x", kCrashesToDetect);
  std::this_thread::sleep_for(kTimeToDetect);
  CHECK(CrashesBy("/once/x", 9) <= kAllowedAfter);
}

// Each instance sends the next copy when a quarantine ends, and every copy that
// comes until the first crash is known.
TEST(PoisonRequest, QuarantinesThatEndCostTwoTargetsInAll)
{
  Deploy(std::chrono::seconds(2));
  SendUntilCrashed("/chat/x", kCrashesToDetect);
  std::this_thread::sleep_for(std::chrono::seconds(1));
  const std::size_t known = deployment->Crashes();
  // Beyond the end of the second one, which lasts 10 s.
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(14);
  while (std::chrono::steady_clock::now() < end) {
    Send("/chat/x", kPoison);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  LONGS_EQUAL(2, deployment->Crashes() - known);
}

// A request that was quarantined by mistake, or whose targets were repaired,
// must not be refused for ever.
TEST(PoisonRequest, AProbeThatIsAnsweredReleasesItAtAllInstances)
{
  Deploy(std::chrono::seconds(1));
  SendUntilCrashed("/chat/x", kCrashesToDetect);
  SetPoison("another one");
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  std::size_t answered = 0; // In a row.
  while (answered < kInstances && std::chrono::steady_clock::now() < end) {
    answered = Send("/chat/x", kPoison).status == kOk ? answered + 1 : 0;
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  LONGS_EQUAL(kInstances, answered);
}

// Each request at a crashed target may be the cause.
TEST(PoisonRequest, OtherRequestsOfTheAccountAreServedThroughout)
{
  for (int i = 0; i < 9; ++i) {
    Send("/chat/x", kPoison);
    const auto answer = Send("/chat/x", "another prompt");
    LONGS_EQUAL(200, answer.status);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
  }
}

// Instances keep nothing over a restart, and the caller goes on sending.
TEST(PoisonRequest, ARestartOfAllInstancesDoesNotForgetIt)
{
  SendUntilCrashed("/chat/x", kCrashesToDetect);
  std::this_thread::sleep_for(kTimeToDetect);
  deployment->Restart();
  const std::size_t first = CrashesBy("/chat/x", 6);
  deployment->Restart();
  CHECK(first + CrashesBy("/chat/x", 6) <= kAllowedAfter);
}
