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
