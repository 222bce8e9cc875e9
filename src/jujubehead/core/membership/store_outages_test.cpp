#include "jujubehead/core/membership/store_outages.hpp"

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

using namespace jujubehead::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const AvailableTimeLimits kTime{ seconds(10), seconds(14) };

Instant
At(int aMs)
{
  return Instant(milliseconds(aMs));
}

} // namespace

TEST_GROUP(StoreOutages)
{
  StoreOutages outages;

  void AddOutage(int aFromMs, int aToMs)
  {
    outages.OnFailure(At(aFromMs));
    outages.OnFailure(At(aFromMs));
    outages.OnAnswer(At(aToMs));
  }
};

TEST(StoreOutages, WithoutOutagesAPeriodEndsAfterItsLength)
{
  CHECK(outages.EndOf(At(1000), kTime, At(5000)) == At(11000));
}

TEST(StoreOutages, ASingleFailureIsNoOutage)
{
  outages.OnFailure(At(3000));
  CHECK(outages.EndOf(At(1000), kTime, At(5000)) == At(11000));
  outages.OnAnswer(At(6000));
  outages.OnFailure(At(7000));
  outages.OnAnswer(At(8000));
  CHECK(outages.EndOf(At(1000), kTime, At(9000)) == At(11000));
}

TEST(StoreOutages, APeriodRestartsAfterAnOutageWithinTheTotal)
{
  AddOutage(3000, 6000);
  CHECK(outages.EndOf(At(1000), kTime, At(7000)) == At(16000));
  AddOutage(12000, 20000);
  // The store was available for 2 s and 6 s.
  CHECK(outages.EndOf(At(1000), kTime, At(21000)) == At(26000));
}

TEST(StoreOutages, TheEndMovesDuringAnOutage)
{
  outages.OnFailure(At(3000));
  outages.OnFailure(At(3200));
  CHECK(outages.EndOf(At(1000), kTime, At(5000)) == At(15000));
  CHECK(outages.EndOf(At(1000), kTime, At(9000)) == At(19000));
}

TEST(StoreOutages, AnEndThatHasPassedDoesNotMove)
{
  AddOutage(11500, 20000);
  CHECK(outages.EndOf(At(1000), kTime, At(21000)) == At(11000));
}

TEST(StoreOutages, OutagesBeforeTheBeginDoNotCount)
{
  AddOutage(100, 900);
  AddOutage(950, 1500);
  CHECK(outages.EndOf(At(1000), kTime, At(2000)) == At(11500));
}

TEST(StoreOutages, ManyShortOutagesDoNotMoveTheEndForever)
{
  for (int ms = 5000; ms <= 60000; ms += 5000) {
    AddOutage(ms, ms + 300);
  }
  CHECK(outages.EndOf(At(0), kTime, At(60000)) < At(16000));
}

TEST(StoreOutages, TheTotalAvailableTimeIsNeverExceeded)
{
  CHECK(rc::check("the available time until the end is at most the total", [] {
    StoreOutages seen;
    int now = 0;
    Duration available{};
    const auto spans = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(1, 6000), rc::gen::inRange(1, 6000)));
    for (const auto& [up, down] : spans) {
      const Instant end = seen.EndOf(At(0), kTime, At(now));
      const Instant until = std::min(end, At(now + up));
      available += std::max(until - At(now), Duration(0));
      now += up;
      seen.OnFailure(At(now));
      seen.OnFailure(At(now));
      now += down;
      seen.OnAnswer(At(now));
    }
    available +=
      std::max(seen.EndOf(At(0), kTime, At(now)) - At(now), Duration(0));
    RC_ASSERT(available <= kTime.max_total);
  }));
}
