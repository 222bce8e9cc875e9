#include "target_fleet.hpp"

#include <random> // for mt19937

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;
using node::FleetTarget;
using std::chrono::milliseconds;

namespace {

const core::ServiceId kModels("models");
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

core::RegisteredTarget
TargetIn(const std::string& aId, const std::string& aDataCentre)
{
  core::RegisteredTarget target;
  target.id = core::TargetId(aId);
  target.service = kModels;
  target.address = "127.0.0.1:90";
  target.data_centre = core::DataCentreId(aDataCentre);
  return target;
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

TEST(TargetFleet, AStoppedDataCentreTakesNoRequestsAlsoFromNewTargets)
{
  node::TargetFleet fleet;
  fleet.Update({ TargetIn("t1", "north"), TargetIn("t2", "south") });
  fleet.SetStoppedDataCentres({ core::DataCentreId("north") });
  LONGS_EQUAL(1, fleet.Of(kModels).size());
  fleet.Update({ TargetIn("t1", "north"),
                 TargetIn("t2", "south"),
                 TargetIn("t3", "north") });
  LONGS_EQUAL(1, fleet.Of(kModels).size());
  CHECK_FALSE(
    fleet.Find(core::TargetId("t3"))->Accepts(core::RuntimeClock::now()));
  fleet.SetStoppedDataCentres(
    { core::DataCentreId("north"), core::DataCentreId("south") });
  CHECK(fleet.Of(kModels).empty());
}

TEST(TargetFleet, CountsTheRequestsLeftInStoppedDataCentres)
{
  node::TargetFleet fleet;
  fleet.Update({ TargetIn("t1", "north"), TargetIn("t2", "south") });
  for (const auto& target : fleet.Of(kModels)) {
    target->load.OnBegin();
  }
  LONGS_EQUAL(0, fleet.RequestsInStopped());
  fleet.SetStoppedDataCentres({ core::DataCentreId("north") });
  LONGS_EQUAL(1, fleet.RequestsInStopped());
  fleet.Find(core::TargetId("t1"))->load.OnEnd(milliseconds(10));
  LONGS_EQUAL(0, fleet.RequestsInStopped());
}

// Targets become cold while their data centre is stopped, and the report of it
// may arrive after that of the stop's end.
TEST(TargetFleet, TargetsOfADataCentreWhoseStopEndedCountAsCold)
{
  node::TargetFleet fleet;
  fleet.SetColdTimes({ { kModels, std::chrono::seconds(3) } });
  fleet.Update({ TargetIn("t1", "north"), TargetIn("t2", "south") });
  fleet.SetStoppedDataCentres({ core::DataCentreId("north") });
  fleet.SetStoppedDataCentres({}, { core::DataCentreId("north") });
  const core::Instant now = core::RuntimeClock::now();
  const auto stopped = fleet.Find(core::TargetId("t1"));
  CHECK_FALSE(stopped->Accepts(now));
  CHECK(fleet.Find(core::TargetId("t2"))->Accepts(now));
  // An older report, of when it was warm, does not end that.
  fleet.Update({ TargetIn("t1", "north"), TargetIn("t2", "south") });
  CHECK_FALSE(stopped->Accepts(now + milliseconds(2900)));
  CHECK(stopped->Accepts(now + milliseconds(3100)));
}

TEST(TargetFleet, ATargetThatReportsToBeColdTakesNoRequests)
{
  node::TargetFleet fleet;
  const core::Instant now = core::RuntimeClock::now();
  core::RegisteredTarget target = TargetIn("t1", "north");
  target.cold_until = now + std::chrono::seconds(3);
  fleet.Update({ target });
  const auto cold = fleet.Find(core::TargetId("t1"));
  CHECK_FALSE(cold->Accepts(now + milliseconds(2999)));
  // The same target becomes cold again without a restart.
  fleet.Update({ TargetIn("t1", "north") });
  CHECK(cold->Accepts(now + milliseconds(3000)));
  target.cold_until = now + std::chrono::seconds(9);
  fleet.Update({ target });
  CHECK_FALSE(cold->Accepts(now + milliseconds(8999)));
}

// The registry and the stops are read separately, so a target may become known
// after the stop of its data centre has ended.
TEST(TargetFleet, ATargetThatBecomesKnownJustAfterAStopCountsAsCold)
{
  node::TargetFleet fleet;
  fleet.SetColdTimes({ { kModels, std::chrono::seconds(3) } });
  fleet.SetStoppedDataCentres({}, { core::DataCentreId("north") });
  fleet.Update({ TargetIn("t1", "north"), TargetIn("t2", "south") });
  const core::Instant now = core::RuntimeClock::now();
  CHECK_FALSE(fleet.Find(core::TargetId("t1"))->Accepts(now));
  CHECK(fleet.Find(core::TargetId("t2"))->Accepts(now));
}

// Each change of the registry used to replace all targets at the traffic
// thread, several times a second while targets restart: on a small instance
// before thousands of targets that took most of its processor.
TEST(TargetFleet, AppliesChangesAlone)
{
  node::TargetFleet fleet;
  fleet.Update(
    { TargetIn("a", "north"), TargetIn("b", "north"), TargetIn("c", "south") });
  const auto kept = fleet.Find(core::TargetId("c"));
  core::RegisteredTarget leaving = TargetIn("b", "north");
  leaving.leaving = true;
  fleet.Apply({ { core::TargetId("a"), std::nullopt },
                { core::TargetId("b"), leaving },
                { core::TargetId("d"), TargetIn("d", "south") } });
  POINTERS_EQUAL(kept.get(), fleet.Find(core::TargetId("c")).get());
  CHECK(fleet.Find(core::TargetId("a")) == nullptr);
  CHECK(fleet.FindByKey(core::KeyOf(core::TargetId("a"))) == nullptr);
  LONGS_EQUAL(2, fleet.Of(kModels).size()); // c and d; b is leaving
}

TEST(TargetFleet, TargetThatRestartsUnderItsIdIsAnother)
{
  node::TargetFleet fleet;
  fleet.Update({ TargetIn("a", "north"), TargetIn("b", "north") });
  const auto before = fleet.Find(core::TargetId("a"));
  before->OnVersion(core::ModelId("m"), 7);
  core::RegisteredTarget restarted = TargetIn("a", "north");
  restarted.started_ms = 1;
  fleet.Apply({ { core::TargetId("a"), restarted } });
  const auto after = fleet.Find(core::TargetId("a"));
  CHECK(before != after);
  CHECK(before->is_gone);
  CHECK_FALSE(after->VersionOf(core::ModelId("m")).has_value());
  LONGS_EQUAL(2, fleet.Of(kModels).size());
  fleet.Apply({ { core::TargetId("b"), std::nullopt } });
  LONGS_EQUAL(1, fleet.Of(kModels).size());
  POINTERS_EQUAL(after.get(), fleet.Of(kModels).front().get());
}

// The requests at a crashed target learned that it had ended, and the next ones
// were sent there and refused a connection.
TEST(TargetFleet, ATargetFoundCrashedIsSetAsideAtOnce)
{
  FleetTarget target;
  CHECK(target.OnCrashed(kNow));
  CHECK_FALSE(target.health.IsUsable(kNow));
  CHECK_FALSE(target.OnCrashed(kNow + milliseconds(1)));
  // A probe follows, in case that the path was broken and not the target.
  CHECK(target.health.IsUsable(kNow + std::chrono::seconds(4)));
}

// The bucket of a target that becomes cold a second time must not hold a token
// of the first time.
TEST(TargetFleet, ATargetThatBecomesColdAgainBeginsWithAnEmptyShare)
{
  FleetTarget target;
  target.OnCold(kNow, kNow + milliseconds(500), true);
  CHECK(target.AcceptsWhileCold(kNow));
  CHECK_FALSE(target.Accepts(kNow));
  CHECK_FALSE(target.cold_share.MaySend(0, 11, kNow));
  const core::Instant later = kNow + std::chrono::seconds(5);
  CHECK(target.Accepts(later));
  target.OnCold(later, later + milliseconds(500), false);
  CHECK_FALSE(target.cold_share.MaySend(0, 11, later));
  CHECK(target.cold_share.MaySend(0, 11, later + milliseconds(400)));
  target.is_stopped = true;
  CHECK_FALSE(target.AcceptsWhileCold(later));
}
