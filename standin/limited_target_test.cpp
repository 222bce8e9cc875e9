#include "standin/entry_deployment.hpp"

#include <array>  // for array
#include <thread> // for sleep_for

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;
using nlohmann::json;
using standin::EntryDeployment;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kTargets = 2;
constexpr std::size_t kInstances = 3;
constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
/// What a target that names a limit may get in any window, over all instances.
constexpr seconds kWindow{ 4 };
constexpr double kAllowedMultiple = 1.5 * 4;
constexpr double kAllowedMore = 5;
/// From a target's first reply that names its limit.
constexpr seconds kSettleTime{ 3 };
/// From an instance's first start until it shares limits with the others.
constexpr seconds kJoinTime{ 12 };
/// After a limit is over, its target has its usual share again.
constexpr seconds kRecoveryTime{ 2 };

constexpr double
Allowed(double aPerSecond)
{
  return kAllowedMultiple * aPerSecond + kAllowedMore;
}

} // namespace

TEST_GROUP(LimitedTarget)
{
  std::unique_ptr<EntryDeployment> deployment =
    EntryDeployment::Start({ .targets = kTargets, .instances = kInstances });
  int sent = 0;

  void setup() override
  {
    std::this_thread::sleep_for(kJoinTime);
  }

  unsigned SendAt(std::size_t aInstance)
  {
    net::HttpHeaders lines;
    lines.Add("X-Attempt-Id", "r" + std::to_string(++sent));
    lines.Add("Authorization", "Token key-1");
    lines.Add("X-Model", "m1");
    lines.Add("X-Prompt-Prefix", "p" + std::to_string(sent) + ":10,q:5");
    return deployment->CallAt(aInstance, "POST", "/chat/x", lines, "hello")
      .status;
  }
  std::uint64_t ArrivedAt(const std::string& aTarget)
  {
    return deployment->Stats(aTarget).at("arrived").get<std::uint64_t>();
  }
  void SetLimit(const std::string& aTarget, const std::string& aPerSecond)
  {
    deployment->SetFault(aTarget, "limit", { { "per_second", aPerSecond } });
  }
  /// Sends at all instances in turn, for a time.
  /// @return how many requests got each status: answered, refused.
  std::array<int, 2> SendFor(Clock::duration aTime)
  {
    std::array<int, 2> counts{};
    const auto end = Clock::now() + aTime;
    for (std::size_t i = 0; Clock::now() < end; ++i) {
      const unsigned status = SendAt(i % kInstances);
      counts[0] += status == kOk ? 1 : 0;
      counts[1] += status == kUnavailable ? 1 : 0;
      std::this_thread::sleep_for(milliseconds(5));
    }
    return counts;
  }
};

// A target that names how many requests a second it takes gets as many from
// each instance as before, or as many from each as it takes from all.
TEST(LimitedTarget, AllInstancesTogetherSendNoMoreThanItTakes)
{
  SetLimit("model0", "1.2");
  SendFor(kSettleTime);
  const std::uint64_t before = ArrivedAt("model0");
  const auto counts = SendFor(kWindow);
  const std::uint64_t arrived = ArrivedAt("model0") - before;
  CHECK(static_cast<double>(arrived) <= Allowed(1.2));
  // It is still used, and the other one takes all else.
  CHECK(arrived > 0);
  CHECK(counts[0] > 0);
  LONGS_EQUAL(0, counts[1]);
}

// When no target can take a request, it is refused at once, with a time after
// which to come back, and not held or sent all the same.
TEST(LimitedTarget, WhatNoTargetCanTakeIsRefusedAtOnce)
{
  SetLimit("model0", "1.2");
  SetLimit("model1", "0.8");
  SendFor(kSettleTime);
  const std::uint64_t before = ArrivedAt("model0") + ArrivedAt("model1");
  const auto counts = SendFor(kWindow);
  const std::uint64_t arrived =
    ArrivedAt("model0") + ArrivedAt("model1") - before;
  CHECK(static_cast<double>(arrived) <= Allowed(1.2) + Allowed(0.8));
  CHECK(counts[0] > 0);
  CHECK(counts[1] > 0);
  const auto began = Clock::now();
  unsigned status = kOk;
  while (status == kOk) {
    status = SendAt(0);
  }
  LONGS_EQUAL(kUnavailable, status);
  CHECK(Clock::now() - began < seconds(1));
}

// A target whose replies name no limit any more must not stay limited at the
// instances that had stopped sending to it.
TEST(LimitedTarget, ATargetHasItsUsualShareAgainAfterItsLimit)
{
  SetLimit("model0", "1.2");
  SendFor(kSettleTime);
  deployment->SetFault("model0", "limit", json::object());
  SendFor(kRecoveryTime);
  const std::uint64_t before = ArrivedAt("model0");
  const std::uint64_t other = ArrivedAt("model1");
  SendFor(kWindow);
  const auto arrived = ArrivedAt("model0") - before;
  CHECK(arrived * 4 > ArrivedAt("model1") - other);
}
