#include "jujubehead/core/weights/stale_weights_deadlines.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::seconds;

namespace {

const AvailableTimeLimits kTime{ seconds(10), seconds(14) };
const ModelId kModel("m1");

Instant
At(int aSeconds)
{
  return Instant(seconds(aSeconds));
}

} // namespace

TEST_GROUP(StaleWeightsDeadlines)
{
  StaleWeightsDeadlines weights{ kTime };

  Instant DeadlineOf(std::uint64_t aVersion, int aNowSeconds) const
  {
    return weights.Wanted(At(aNowSeconds)).at(kModel).StartDeadline(aVersion);
  }
};

TEST(StaleWeightsDeadlines, ChangeCountsFromItsAnswer)
{
  weights.OnAnswer(At(1), At(1));
  CHECK(weights.OnRead(kModel, 2, false, At(5)));
  CHECK_FALSE(weights.OnRead(kModel, 2, false, At(6)));
  CHECK(DeadlineOf(1, 6) == At(15));
  CHECK(DeadlineOf(2, 6) == Instant::max());
}

TEST(StaleWeightsDeadlines, SnapshotCountsFromThePreviousAnswer)
{
  weights.OnAnswer(At(1), At(1));
  weights.OnRead(kModel, 2, true, At(5));
  CHECK(DeadlineOf(1, 6) == At(11));
}

TEST(StaleWeightsDeadlines, AtStartHalfOfTheTimeIsAssumedToHavePassed)
{
  weights.OnRead(kModel, 2, true, At(5));
  // Until the record is read, the deadline may have passed.
  CHECK(DeadlineOf(1, 6) <= At(5));
  weights.OnRecordLoaded();
  CHECK(DeadlineOf(1, 6) == At(10));
}

TEST(StaleWeightsDeadlines, RecordOfReplacedClockIsIgnored)
{
  weights.OnRead(kModel, 2, true, At(5));
  CHECK_FALSE(weights.OnRecorded(kModel, 2, At(86400), At(5)));
  weights.OnRecordLoaded();
  CHECK(DeadlineOf(1, 6) == At(10));
}

TEST(StaleWeightsDeadlines, RecordReplacesAssumption)
{
  weights.OnRead(kModel, 2, true, At(20));
  CHECK(weights.OnRecorded(kModel, 2, At(18), At(20)));
  CHECK(DeadlineOf(1, 20) == At(28));
  CHECK_FALSE(weights.OnRecorded(kModel, 2, At(19), At(20)));
  CHECK(weights.OnRecorded(kModel, 2, At(16), At(20)));
  CHECK(DeadlineOf(1, 20) == At(26));
}

TEST(StaleWeightsDeadlines, RecordHasVersionsThatTheOperatorsRowNoLongerHas)
{
  weights.OnRead(kModel, 3, true, At(20));
  weights.OnRecorded(kModel, 2, At(8), At(20));
  weights.OnRecorded(kModel, 3, At(18), At(20));
  CHECK(DeadlineOf(1, 20) == At(18));
  CHECK(DeadlineOf(2, 20) == At(28));
}

TEST(StaleWeightsDeadlines, RecordNewerThanTheOperatorsRowsTakesEffectWithThem)
{
  weights.OnRead(kModel, 2, false, At(5));
  weights.OnRecorded(kModel, 3, At(6), At(7));
  LONGS_EQUAL(2, weights.Wanted(At(7)).at(kModel).Newest());
  weights.OnRead(kModel, 3, false, At(8));
  CHECK(DeadlineOf(2, 8) == At(16));
}

TEST(StaleWeightsDeadlines, OutageRestartsTheTimeWithinTheTotalLimit)
{
  weights.OnAnswer(At(1), At(1));
  weights.OnRead(kModel, 2, false, At(5));
  weights.OnFailure(At(10));
  weights.OnFailure(At(10));
  weights.OnAnswer(At(13), At(14));
  // The store was reachable for 5 s before the outage; 9 of 14 s are left.
  CHECK(DeadlineOf(1, 14) == At(22));
}

TEST(StaleWeightsDeadlines, RecordIsBounded)
{
  for (std::uint64_t version = 2; version < 40; ++version) {
    weights.OnRead(kModel, version, false, At(5));
  }
  const auto announcements = weights.AnnouncementsOf(kModel);
  LONGS_EQUAL(8, announcements.size());
  LONGS_EQUAL(39, announcements.rbegin()->first);
}

TEST(StaleWeightsDeadlines, RecordRoundTripsAndInvalidTextIsEmpty)
{
  const AnnouncementRecord record{ { 2, 1000 }, { 3, 5000 } };
  CHECK(record == AnnouncementRecordOf(ToText(record)));
  CHECK(AnnouncementRecordOf("{\"named\":[[\"x\"]]}").empty());
  CHECK(AnnouncementRecordOf("]").empty());
}
