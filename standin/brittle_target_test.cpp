#include "standin/entry_deployment.hpp"

#include <atomic> // for atomic
#include <thread> // for thread, sleep_for
#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;
using nlohmann::json;
using standin::EntryDeployment;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kTargets = 3;
constexpr std::size_t kInstances = 3;
constexpr int kSlots = 8; ///< As registered.
constexpr int kMaxRejections = 4;
constexpr std::size_t kCallers = 60; ///< Far more than the targets have slots.
constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
/// From the first reply that says that a target is brittle.
constexpr seconds kSettleTime{ 3 };
constexpr seconds kBurst{ 4 };
/// From an instance's first start until it shares slots with the others.
constexpr seconds kJoinTime{ 12 };
/// After a service is no longer brittle, it has its usual throughput again.
constexpr seconds kRecoveryTime{ 2 };

} // namespace

TEST_GROUP(BrittleTarget)
{
  std::unique_ptr<EntryDeployment> deployment =
    EntryDeployment::Start({ .targets = kTargets, .instances = kInstances });
  std::atomic<int> sent = 0;
  std::atomic<int> answered = 0;
  std::atomic<int> refused = 0;
  std::atomic<bool> is_refused_late = false;
  std::vector<std::size_t> asked{ 0, 1, 2 }; ///< Instances that callers ask.

  void setup() override
  {
    std::this_thread::sleep_for(kJoinTime);
  }

  void SendAt(std::size_t aInstance)
  {
    net::HttpHeaders lines;
    const std::string number = std::to_string(++sent);
    lines.Add("X-Attempt-Id", "r" + number);
    lines.Add("Authorization", "Token key-1");
    lines.Add("X-Model", "m1");
    lines.Add("X-Prompt-Prefix", "p" + number + ":10,q:5");
    const auto began = Clock::now();
    const unsigned status =
      deployment->CallAt(aInstance, "POST", "/chat/x", lines, "hello " + number)
        .status;
    answered += status == kOk ? 1 : 0;
    if (status == kUnavailable) {
      ++refused;
      is_refused_late = is_refused_late || Clock::now() - began > seconds(1);
    }
  }
  /// Callers that come back at once whatever happens, for a time.
  void SendFor(Clock::duration aTime, std::size_t aCallers)
  {
    answered = 0;
    refused = 0;
    const auto end = Clock::now() + aTime;
    std::vector<std::thread> callers;
    callers.reserve(aCallers);
    for (std::size_t i = 0; i < aCallers; ++i) {
      callers.emplace_back([this, end, i] {
        for (std::size_t at = i; Clock::now() < end; ++at) {
          SendAt(asked[at % asked.size()]);
          std::this_thread::sleep_for(milliseconds(20));
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
  }
  void SetBrittle(bool aIsBrittle)
  {
    const json how = { { "rejections", kMaxRejections }, { "slots", kSlots } };
    for (std::size_t i = 0; i < kTargets; ++i) {
      const std::string name = "model" + std::to_string(i);
      deployment->SetFault(name, "mute", { { "ms", 100 } });
      deployment->SetFault(name, "brittle", aIsBrittle ? how : json::object());
    }
  }
};

// Targets that fall over once they have rejected a few requests in a second: a
// burst of callers pushes them over, one request too many from each instance.
TEST(BrittleTarget, ABurstLeavesBrittleTargetsStanding)
{
  SetBrittle(true);
  SendFor(kSettleTime, 3);
  SendFor(kBurst, kCallers);
  UNSIGNED_LONGS_EQUAL(0, deployment->Crashes());
  CHECK(answered > 0);
  CHECK(refused > 0);
  CHECK_FALSE(is_refused_late);
}

// Instances that start do not know that the targets are brittle, nor what the
// processes before them had sent.
TEST(BrittleTarget, SoDoInstancesThatRestartInABurst)
{
  SetBrittle(true);
  SendFor(kSettleTime, 3);
  deployment->Restart();
  SendFor(kBurst, kCallers);
  UNSIGNED_LONGS_EQUAL(0, deployment->Crashes());
  CHECK(answered > 0);
}

// Where instances are many and targets few, an instance gets a reply only now
// and then; until it knows, it uses the targets' queue.
TEST(BrittleTarget, SoDoInstancesThatGotNoReplySinceTheyAreBrittle)
{
  SendFor(kSettleTime, 3); // All know them as they were.
  SetBrittle(true);
  asked = { 0 };
  SendFor(kSettleTime, 3);
  asked = { 1, 2 };
  SendFor(kBurst, kCallers);
  UNSIGNED_LONGS_EQUAL(0, deployment->Crashes());
  CHECK(answered > 0);
}

// What one target could not take must not push the others over, nor it again
// when it is back.
TEST(BrittleTarget, ATargetThatFallsDoesNotTakeOthersWithIt)
{
  SetBrittle(true);
  SendFor(kSettleTime, 3);
  std::thread callers([this] { SendFor(kBurst, kCallers); });
  std::this_thread::sleep_for(seconds(1));
  deployment->SetFault("model0", "crash_on", { { "text", "hello" } });
  CHECK(deployment->Await([&] { return deployment->Crashes() == 1; }));
  deployment->SetFault("model0", "crash_on", { { "text", "none" } });
  callers.join();
  UNSIGNED_LONGS_EQUAL(1, deployment->Crashes());
}

// A bound that outlives its reason refuses what the targets could take.
TEST(BrittleTarget, ThroughputIsBackOnceTargetsAreNotBrittleAnyMore)
{
  SetBrittle(true);
  SendFor(kSettleTime, 3);
  SetBrittle(false);
  SendFor(kRecoveryTime, 3);
  SendFor(kRecoveryTime, kCallers);
  CHECK(answered > 0);
  CHECK_EQUAL(0, refused);
}
