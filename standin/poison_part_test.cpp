#include "standin/entry_deployment.hpp"

#include <thread> // for sleep_for

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;
using standin::EntryDeployment;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kInstances = 3;
constexpr std::size_t kTargets = 9;
/// Crashes after which the part has to be known everywhere in kTimeToDetect.
constexpr std::size_t kCrashesToDetect = 5;
constexpr seconds kTimeToDetect{ 3 };
/// Arrivals at targets that are allowed after it.
constexpr std::size_t kAllowedAfter = 3;
constexpr const char* kBadPart = "bad1";
constexpr const char* kSoundPart = "bb";
constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
/// Between two requests that hold the part.
constexpr milliseconds kPause{ 400 };

} // namespace

TEST_GROUP(PoisonPart)
{
  std::unique_ptr<EntryDeployment> deployment;
  int sent = 0;

  void setup() override
  {
    Deploy(seconds(60));
  }

  void Deploy(seconds aFirstQuarantine)
  {
    deployment.reset();
    standin::EntryDeploymentOptions options;
    options.targets = kTargets;
    options.instances = kInstances;
    options.first_quarantine = aFirstQuarantine;
    deployment = EntryDeployment::Start(options);
    SetPoison(kBadPart);
  }

  void SetPoison(const char* aPart)
  {
    for (std::size_t i = 0; i < kTargets; ++i) {
      deployment->SetFault(
        "model" + std::to_string(i), "crash_on", { { "part", aPart } });
    }
  }

  /// Sends a request that is like no other, to each instance in turn.
  net::HttpResponse Send(const std::string& aSecondPart)
  {
    const std::string number = std::to_string(++sent);
    net::HttpHeaders lines;
    lines.Add("X-Attempt-Id", "r" + number);
    lines.Add("Authorization", "Token key-1");
    lines.Add("X-Model", "m1");
    lines.Add("X-Token-Usage", "1260,80");
    lines.Add("X-Prompt-Prefix",
              "aa:800," + aSecondPart + ":410,e" + number + ":50");
    const auto instance = static_cast<std::size_t>(sent) % kInstances;
    return deployment->CallAt(
      instance, "POST", "/chat/x", lines, "prompt " + number);
  }

  /// Sends them beside sound ones until that many targets crashed.
  void SendUntilCrashed(std::size_t aCrashes)
  {
    constexpr int kMaxSends = 20;
    for (int i = 0; i < kMaxSends && deployment->Crashes() < aCrashes; ++i) {
      Send(kBadPart);
      Send(kSoundPart);
      std::this_thread::sleep_for(kPause);
    }
  }

  /// @return the crashes by so many more.
  std::size_t CrashesBy(int aRequests)
  {
    const std::size_t before = deployment->Crashes();
    for (int i = 0; i < aRequests; ++i) {
      Send(kBadPart);
      std::this_thread::sleep_for(kPause);
    }
    return deployment->Crashes() - before;
  }
};

// Each request is new, but one part of all their prompts crashes each target
// that begins to answer them.
TEST(PoisonPart, RequestsWithAPartThatCrashedFiveTargetsAreSentToNoMore)
{
  SendUntilCrashed(kCrashesToDetect);
  std::this_thread::sleep_for(kTimeToDetect);
  CHECK(CrashesBy(12) <= kAllowedAfter);
  const auto refused = Send(kBadPart);
  LONGS_EQUAL(kUnavailable, refused.status);
  CHECK_FALSE(refused.headers.Find("Retry-After").has_value());
}

// They share their account and first part with those.
TEST(PoisonPart, SoundRequestsAreServedMeanwhile)
{
  SendUntilCrashed(kCrashesToDetect);
  std::this_thread::sleep_for(kTimeToDetect);
  const std::size_t before = deployment->Crashes();
  constexpr int kRequests = 20;
  int answered = 0;
  for (int i = 0; i < kRequests; ++i) {
    Send(kBadPart);
    answered += Send(kSoundPart).status == kOk ? 1 : 0;
    std::this_thread::sleep_for(milliseconds(100));
  }
  CHECK(deployment->Crashes() - before <= kAllowedAfter);
  CHECK(answered >= kRequests - static_cast<int>(kAllowedAfter));
}

// Instances keep nothing over a restart.
TEST(PoisonPart, ARestartOfAllInstancesDoesNotForgetIt)
{
  SendUntilCrashed(kCrashesToDetect);
  std::this_thread::sleep_for(kTimeToDetect);
  deployment->Restart();
  const std::size_t first = CrashesBy(6);
  deployment->Restart();
  CHECK(first + CrashesBy(6) <= kAllowedAfter);
}

// Each instance sends the next request when a quarantine ends.
TEST(PoisonPart, QuarantinesThatEndCostAtMostTwoTargetsInAll)
{
  Deploy(seconds(2));
  SendUntilCrashed(kCrashesToDetect);
  std::this_thread::sleep_for(seconds(1));
  const std::size_t known = deployment->Crashes();
  // Beyond the end of the second one, which lasts 10 s.
  const auto end = std::chrono::steady_clock::now() + seconds(14);
  while (std::chrono::steady_clock::now() < end) {
    Send(kBadPart);
    std::this_thread::sleep_for(milliseconds(20));
  }
  CHECK(deployment->Crashes() - known <= 2);
}

// A part whose targets were repaired must not be refused for ever.
TEST(PoisonPart, AProbeThatIsAnsweredReleasesItAtAllInstances)
{
  Deploy(seconds(2));
  SendUntilCrashed(kCrashesToDetect);
  SetPoison("another");
  const auto end = std::chrono::steady_clock::now() + seconds(15);
  std::size_t answered = 0; // In a row.
  while (answered < kInstances && std::chrono::steady_clock::now() < end) {
    answered = Send(kBadPart).status == kOk ? answered + 1 : 0;
    std::this_thread::sleep_for(milliseconds(100));
  }
  LONGS_EQUAL(kInstances, answered);
}
