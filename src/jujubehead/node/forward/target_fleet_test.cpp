#include "target_fleet.hpp"

#include <random> // for mt19937

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;
using node::FleetTarget;
using std::chrono::milliseconds;

namespace {

const core::Instant kNow = core::Instant(std::chrono::hours(1));

core::TargetLoadReport
GoneReport(core::Instant aNow)
{
  return core::GoneTargetReport(core::TargetId("t"), aNow);
}

/// Simulates 295 instances that send 1,738 requests per second for two seconds
/// to usable targets, after a third of 240 targets has crashed.
/// @param aReportDelay time until a report reaches all instances.
/// @return requests sent to a crashed target.
int
FailedRequests(std::optional<core::Duration> aReportDelay)
{
  constexpr std::size_t kInstances = 295;
  constexpr std::size_t kTargets = 240;
  constexpr std::size_t kCrashedTargets = kTargets / 3;
  constexpr int kRequests = 3476;
  constexpr std::chrono::microseconds kInterval{ 575 };
  std::mt19937 random(5);
  std::vector<std::vector<FleetTarget>> fleets(kInstances);
  for (auto& fleet : fleets) {
    fleet.resize(kTargets);
  }
  std::vector<std::optional<core::Instant>> found(kCrashedTargets);
  int failed = 0;
  for (int i = 0; i < kRequests; ++i) {
    const core::Instant now = kNow + i * kInterval;
    auto& fleet = fleets[random() % kInstances];
    std::size_t target = random() % kTargets;
    for (; !fleet[target].health.IsUsable(now); target = random() % kTargets) {
    }
    if (target >= kCrashedTargets) {
      continue;
    }
    if (aReportDelay && found[target] &&
        now - *found[target] >= *aReportDelay) {
      fleet[target].OnReport(GoneReport(*found[target]), now);
      found[target] = now - *aReportDelay;
      continue;
    }
    ++failed;
    fleet[target].health.OnUnreachable(now);
    if (!found[target]) {
      found[target] = now;
    }
  }
  return failed;
}

} // namespace

TEST_GROUP(TargetFleet){};

TEST(TargetFleet, DoesNotUseTargetReportedGone)
{
  FleetTarget target;
  target.OnReport(GoneReport(kNow), kNow);
  CHECK_FALSE(target.health.IsUsable(kNow));
  CHECK(target.health.IsUsable(kNow + milliseconds(500)));
  // A repeated report does not take the target out again.
  target.OnReport(GoneReport(kNow), kNow + milliseconds(600));
  CHECK(target.health.IsUsable(kNow + milliseconds(600)));
}

TEST(TargetFleet, IgnoresReportOlderThanLastResponse)
{
  FleetTarget target;
  target.last_response_at = kNow;
  target.OnReport(GoneReport(kNow - milliseconds(1)), kNow);
  CHECK(target.health.IsUsable(kNow));
  target.OnReport(GoneReport(kNow + milliseconds(1)), kNow + milliseconds(1));
  CHECK_FALSE(target.health.IsUsable(kNow + milliseconds(1)));
}

// Guards against a retry storm: without reports, each instance loses a request
// of its own to each crashed target.
TEST(TargetFleet, ReportsOfGoneTargetsAvoidFailedRequests)
{
  const int without_reports = FailedRequests(std::nullopt);
  const int with_reports = FailedRequests(milliseconds(500));
  CHECK(without_reports > 900);
  CHECK(with_reports < without_reports / 2);
}
