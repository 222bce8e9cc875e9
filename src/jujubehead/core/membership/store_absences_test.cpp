#include "jujubehead/core/membership/store_absences.hpp"

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

using namespace jujubehead::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const HeardTime kTime{ seconds(10), seconds(14) };

Instant
At(int aMs)
{
  return Instant(milliseconds(aMs));
}

} // namespace

TEST_GROUP(StoreAbsences)
{
  StoreAbsences absences;

  void Absent(int aFromMs, int aToMs)
  {
    absences.OnFailure(At(aFromMs));
    absences.OnFailure(At(aFromMs));
    absences.OnAnswer(At(aToMs));
  }
};

TEST(StoreAbsences, WithoutOneATimeEndsAfterItsLength)
{
  CHECK(absences.EndOf(At(1000), kTime, At(5000)) == At(11000));
}

TEST(StoreAbsences, ASingleFailureIsNone)
{
  absences.OnFailure(At(3000));
  CHECK(absences.EndOf(At(1000), kTime, At(5000)) == At(11000));
  absences.OnAnswer(At(6000));
  absences.OnFailure(At(7000));
  absences.OnAnswer(At(8000));
  CHECK(absences.EndOf(At(1000), kTime, At(9000)) == At(11000));
}

TEST(StoreAbsences, AfterOneTheTimeBeginsAnewWithinWhatIsLeftInAll)
{
  Absent(3000, 6000);
  CHECK(absences.EndOf(At(1000), kTime, At(7000)) == At(16000));
  Absent(12000, 20000);
  // 2 s and 6 s were heard.
  CHECK(absences.EndOf(At(1000), kTime, At(21000)) == At(26000));
}

TEST(StoreAbsences, WhileItLastsTheEndMovesOn)
{
  absences.OnFailure(At(3000));
  absences.OnFailure(At(3200));
  CHECK(absences.EndOf(At(1000), kTime, At(5000)) == At(15000));
  CHECK(absences.EndOf(At(1000), kTime, At(9000)) == At(19000));
}

TEST(StoreAbsences, AnEndThatHasPassedIsNotMoved)
{
  Absent(11500, 20000);
  CHECK(absences.EndOf(At(1000), kTime, At(21000)) == At(11000));
}

TEST(StoreAbsences, OnesBeforeTheBeginDoNotCount)
{
  Absent(100, 900);
  Absent(950, 1500);
  CHECK(absences.EndOf(At(1000), kTime, At(2000)) == At(11500));
}

TEST(StoreAbsences, ManyShortOnesDoNotMoveTheEndForEver)
{
  for (int ms = 5000; ms <= 60000; ms += 5000) {
    Absent(ms, ms + 300);
  }
  CHECK(absences.EndOf(At(0), kTime, At(60000)) < At(16000));
}

TEST(StoreAbsences, WhateverTheirPatternTheHeardTimeIsNeverExceeded)
{
  CHECK(
    rc::check("the heard time until the end is at most what is allowed", [] {
      StoreAbsences seen;
      int now = 0;
      Duration heard{};
      const auto spans = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(1, 6000), rc::gen::inRange(1, 6000)));
      for (const auto& [there, away] : spans) {
        const Instant end = seen.EndOf(At(0), kTime, At(now));
        const Instant until = std::min(end, At(now + there));
        heard += std::max(until - At(now), Duration(0));
        now += there;
        seen.OnFailure(At(now));
        seen.OnFailure(At(now));
        now += away;
        seen.OnAnswer(At(now));
      }
      heard +=
        std::max(seen.EndOf(At(0), kTime, At(now)) - At(now), Duration(0));
      RC_ASSERT(heard <= kTime.in_all);
    }));
}
