#include "jujubehead/core/remote_clock.hpp"

#include <utility> // for pair
#include <vector>  // for vector

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

using namespace jujubehead::core;
using std::chrono::milliseconds;

namespace {

constexpr RemoteMs kOffsetMs = 5000; ///< Remote reading at local 0.

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
  CHECK_FALSE(clock.LowerBoundAt(At(1)).has_value());
  CHECK_FALSE(clock.UpperBoundAt(At(1)).has_value());
  CHECK_FALSE(clock.LatestTimeOf(1, At(1)).has_value());
}

TEST(RemoteClock, AReadingIsBoundedByRequestAndReply)
{
  clock.OnReading(kOffsetMs + 110, At(100), At(130));
  LONGS_EQUAL(kOffsetMs + 110, *clock.LowerBoundAt(At(130)));
  // 1 ms more, for possible drift since the request.
  LONGS_EQUAL(kOffsetMs + 141, *clock.UpperBoundAt(At(130)));
  CHECK(At(220) == *clock.LatestTimeOf(kOffsetMs + 200, At(130)));
  CHECK(At(189) == *clock.EarliestTimeOf(kOffsetMs + 200, At(130)));
}

TEST(RemoteClock, AReplacedClockResetsTheBounds)
{
  clock.OnReading(kOffsetMs + 110, At(100), At(130));
  clock.OnReading(50, At(200), At(210));
  LONGS_EQUAL(50, *clock.LowerBoundAt(At(210)));
  LONGS_EQUAL(61, *clock.UpperBoundAt(At(210)));
}

namespace {

/// Request and reply delays in ms, of consecutive queries.
using Delays = std::vector<std::pair<int, int>>;

/// @param aGainMs what the remote clock gains in 100 s.
bool
BoundsContainReading(int aGainMs, const Delays& aDelays)
{
  RemoteClock clock;
  std::int64_t now = 0;
  const auto actual = [&] { return kOffsetMs + now + now * aGainMs / 100000; };
  for (const auto& [request_ms, reply_ms] : aDelays) {
    const Instant sent_at{ milliseconds(now) };
    now += request_ms;
    const RemoteMs reading = actual();
    now += reply_ms;
    const Instant received_at{ milliseconds(now) };
    clock.OnReading(reading, sent_at, received_at);
    if (*clock.LowerBoundAt(received_at) > actual() ||
        *clock.UpperBoundAt(received_at) < actual() ||
        *clock.EarliestTimeOf(actual(), received_at) > received_at ||
        *clock.LatestTimeOf(actual(), received_at) < received_at) {
      return false;
    }
  }
  return true;
}

bool
BoundsContainReadingForAnyDelays(int aGainMs)
{
  return rc::check("the actual reading is within the bounds", [&] {
    const auto delay = rc::gen::weightedOneOf<int>(
      { { 4, rc::gen::inRange(0, 50) }, { 1, rc::gen::inRange(0, 90000) } });
    RC_ASSERT(BoundsContainReading(
      aGainMs, *rc::gen::container<Delays>(rc::gen::pair(delay, delay))));
  });
}

} // namespace

TEST(RemoteClock, TheActualReadingIsWithinTheBoundsForAnyDelays)
{
  CHECK(BoundsContainReadingForAnyDelays(0));
  CHECK(BoundsContainReadingForAnyDelays(15));
  CHECK(BoundsContainReadingForAnyDelays(-15));
}

TEST(RemoteClock, TheCheckDetectsAClockBeyondTheAssumedDrift)
{
  CHECK_FALSE(BoundsContainReadingForAnyDelays(300));
}
