#include "jujubehead/core/weights/rollout.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::seconds;

namespace {

std::vector<RolloutTarget>
Targets(std::size_t aCount)
{
  std::vector<RolloutTarget> targets(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    targets[i].id = TargetId("t" + std::to_string(i));
    targets[i].data_centre = DataCentreId(i % 2 == 0 ? "a" : "b");
    targets[i].version = 1;
  }
  return targets;
}

} // namespace

TEST_GROUP(Rollout)
{
  Instant now{ seconds(100) };
};

TEST(Rollout, OneThirdLoadsAtOnceAcrossDataCentres)
{
  const auto targets = Targets(6);
  const auto next = NextToLoad(targets, 2, now);
  LONGS_EQUAL(2, next.size());
  STRCMP_EQUAL("t0", next[0].Text().c_str());
  STRCMP_EQUAL("t1", next[1].Text().c_str());
}

TEST(Rollout, LoadingTargetsCountAgainstTheLimit)
{
  auto targets = Targets(3);
  targets[0].is_loading = true;
  CHECK(NextToLoad(targets, 2, now).empty());
}

TEST(Rollout, UnansweredTargetDoesNotCountAgainstTheLimit)
{
  auto targets = Targets(3);
  targets[0].is_unanswered = true;
  const auto next = NextToLoad(targets, 2, now);
  LONGS_EQUAL(1, next.size());
  STRCMP_EQUAL("t1", next.front().Text().c_str());
  targets[1].is_unanswered = true;
  targets[2].is_unanswered = true;
  CHECK(NextToLoad(targets, 2, now).empty());
}

TEST(Rollout, OldestWeightsGoFirst)
{
  auto targets = Targets(3);
  targets[0].version = 2;
  targets[1].version = 2;
  const auto next = NextToLoad(targets, 3, now);
  STRCMP_EQUAL("t2", next.front().Text().c_str());
}

TEST(Rollout, FailedTargetIsRetriedLater)
{
  auto targets = Targets(1);
  targets[0].not_before = now + seconds(1);
  CHECK(NextToLoad(targets, 2, now).empty());
  LONGS_EQUAL(1, NextToLoad(targets, 2, now + seconds(1)).size());
}

TEST(Rollout, EachVersionHasItsOwnDeadline)
{
  DesiredWeights wanted;
  CHECK(wanted.Add(2, now + seconds(10)));
  CHECK_FALSE(wanted.Add(2, now + seconds(20)));
  CHECK(wanted.Add(3, now + seconds(14)));
  LONGS_EQUAL(3, wanted.Newest());
  LONGS_EQUAL(0, wanted.OldestAllowed(now + seconds(9)));
  LONGS_EQUAL(2, wanted.OldestAllowed(now + seconds(10)));
  LONGS_EQUAL(3, wanted.OldestAllowed(now + seconds(14)));
  CHECK(wanted.StartDeadline(1) == now + seconds(10));
  CHECK(wanted.StartDeadline(2) == now + seconds(14));
  CHECK(wanted.StartDeadline(3) == Instant::max());
}

TEST(Rollout, StateRoundTripsAndInvalidTextIsEmpty)
{
  RolloutState state;
  state.version = 4;
  state.loading = { TargetId("t1") };
  state.done = { TargetId("t2"), TargetId("t3") };
  const RolloutState parsed = RolloutStateOf(ToText(state));
  LONGS_EQUAL(4, parsed.version);
  LONGS_EQUAL(1, parsed.loading.size());
  LONGS_EQUAL(2, parsed.done.size());
  LONGS_EQUAL(0, RolloutStateOf("{\"version\":\"x\"}").version);
  LONGS_EQUAL(0, RolloutStateOf("]").version);
}
