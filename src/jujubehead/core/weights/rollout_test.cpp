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

// After the loss of a coordinator, targets on which no request could start any
// more were loaded a third at a time, which kept them without service longer.
TEST(Rollout, TargetsThatMayNotServeAreNotLimited)
{
  auto targets = Targets(6);
  for (std::size_t i = 0; i < 4; ++i) {
    targets[i].serves_until = now;
  }
  targets[0].is_loading = true;
  targets[1].is_unanswered = true;
  targets[2].not_before = now + seconds(1);
  targets[4].serves_until = now + seconds(1);
  // Those that load count against the limit of those that serve.
  const auto next = NextToLoad(targets, 2, now);
  LONGS_EQUAL(1, next.size());
  STRCMP_EQUAL("t3", next.front().Text().c_str());
  targets[0].is_loading = false;
  LONGS_EQUAL(2, NextToLoad(targets, 2, now).size());
  LONGS_EQUAL(4, NextToLoad(targets, 2, now + seconds(1)).size());
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

// All of a large fleet's targets at once made the row larger than the store
// takes, and the other instances learnt nothing of the roll-out.
TEST(Rollout, StateFitsOneRowAtAnySize)
{
  for (const std::size_t count : { 5000U, 10000U, 20000U }) {
    RolloutState state;
    state.version = 7;
    for (const RolloutTarget& target : Targets(count)) {
      (state.loading.size() < count / 3 ? state.loading : state.done)
        .push_back(target.id);
    }
    const std::string text = ToText(state);
    CHECK(text.size() <= kMaxRolloutText);
    const RolloutState back = RolloutStateOf(text);
    LONGS_EQUAL(7, back.version);
    CHECK(back.loading.size() == state.loading.size() || back.done.empty());
  }
}

// One coordinator polls all loading targets.
TEST(Rollout, PollsASecondAreBoundedAtAnySize)
{
  constexpr double kMaxPerSecond = 7000;
  for (const std::size_t targets : { 5000U, 10000U, 20000U }) {
    const std::size_t loading = RolloutWidth(targets);
    const double per_second =
      static_cast<double>(loading) * 1e6 /
      static_cast<double>(std::chrono::duration_cast<std::chrono::microseconds>(
                            RolloutPollInterval(loading))
                            .count());
    CHECK(per_second <= kMaxPerSecond);
  }
  CHECK(RolloutPollInterval(30) == std::chrono::milliseconds(120));
}

// Choosing the next targets once took a pass over all outdated ones for each.
TEST(Rollout, LargeFleetsLoadEvenlyOverDataCentres)
{
  const auto next = NextToLoad(Targets(20000), 2, now);
  LONGS_EQUAL(RolloutWidth(20000), next.size());
  std::size_t odd = 0;
  for (const TargetId& id : next) {
    odd += (id.Text().back() - '0') % 2 == 1 ? 1 : 0;
  }
  CHECK(odd * 2 <= next.size() + 1 && odd * 2 + 1 >= next.size());
}
