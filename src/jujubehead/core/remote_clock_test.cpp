#include "jujubehead/core/remote_clock.hpp"

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

using namespace jujubehead::core;
using std::chrono::milliseconds;

namespace {

constexpr RemoteMs kAhead = 5000; ///< Its reading when ours is 0.

Instant
At(int aMs)
{
  return Instant(milliseconds(aMs));
}

} // namespace

TEST_GROUP(RemoteClock)
{
  RemoteClock clock;
};

TEST(RemoteClock, IsUnknownBeforeItsFirstReading)
{
  CHECK_FALSE(clock.LeastAt(At(1)).has_value());
  CHECK_FALSE(clock.MostAt(At(1)).has_value());
  CHECK_FALSE(clock.LatestOf(1).has_value());
}

TEST(RemoteClock, AReadingLiesBetweenQuestionAndAnswer)
{
  clock.OnReading(kAhead + 110, At(100), At(130));
  LONGS_EQUAL(kAhead + 180, *clock.LeastAt(At(200)));
  LONGS_EQUAL(kAhead + 210, *clock.MostAt(At(200)));
  CHECK(At(220) == *clock.LatestOf(kAhead + 200));
  CHECK(At(190) == *clock.EarliestOf(kAhead + 200));
}

TEST(RemoteClock, AClockThatWasReplacedIsFollowed)
{
  clock.OnReading(kAhead + 110, At(100), At(130));
  clock.OnReading(50, At(200), At(210));
  LONGS_EQUAL(140, *clock.LeastAt(At(300)));
  LONGS_EQUAL(150, *clock.MostAt(At(300)));
}

TEST(RemoteClock, TheTruthLiesWithinItsBoundsWhateverTheWaysTake)
{
  CHECK(rc::check("the truth is within the bounds", [] {
    RemoteClock other;
    int now = 0;
    const auto ways = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 2000), rc::gen::inRange(0, 2000)));
    for (const auto& [there, back] : ways) {
      const Instant asked = At(now);
      now += there;
      const RemoteMs reading = kAhead + now;
      now += back;
      other.OnReading(reading, asked, At(now));
      RC_ASSERT(*other.LeastAt(At(now)) <= kAhead + now);
      RC_ASSERT(*other.MostAt(At(now)) >= kAhead + now);
      RC_ASSERT(*other.EarliestOf(kAhead + now) <= At(now));
      RC_ASSERT(*other.LatestOf(kAhead + now) >= At(now));
    }
  }));
}
