#include "jujubehead/core/routing/cold_start.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant kNow = Instant(std::chrono::hours(1));

} // namespace

TEST_GROUP(ColdStart)
{
  ColdStart start;
};

TEST(ColdStart, ATargetThatWasNeverColdTakesItsWholeLoad)
{
  CHECK_FALSE(start.IsCold(kNow));
  DOUBLES_EQUAL(1, start.Share(kNow), 0);
}

TEST(ColdStart, AColdTargetTakesNothing)
{
  start.OnCold(kNow, kNow + seconds(3));
  CHECK(start.IsCold(kNow));
  DOUBLES_EQUAL(0, start.Share(kNow + milliseconds(2999)), 0);
  CHECK_FALSE(start.IsCold(kNow + seconds(3)));
}

TEST(ColdStart, LoadReturnsGradually)
{
  start.OnCold(kNow, kNow + seconds(4));
  double last = 0;
  for (int ms = 4000; ms < 8000; ms += 500) {
    const double share = start.Share(kNow + milliseconds(ms));
    CHECK(share > last);
    CHECK(share < 1);
    last = share;
  }
  DOUBLES_EQUAL(1, start.Share(kNow + seconds(8)), 0);
}

TEST(ColdStart, AWarmReportEndsTheColdPeriod)
{
  start.OnCold(kNow, kNow + seconds(3));
  start.OnWarmReport(kNow + seconds(2));
  CHECK_FALSE(start.IsCold(kNow + seconds(2)));
  CHECK(start.Share(kNow + seconds(2)) < 1);
}

TEST(ColdStart, AWarmReportDoesNotEndAPeriodOfUnknownState)
{
  start.OnUnknown(kNow, kNow + seconds(3));
  start.OnWarmReport(kNow + seconds(1));
  CHECK(start.IsCold(kNow + milliseconds(2999)));
  // A report of being cold extends it, an earlier end does not shorten it.
  start.OnCold(kNow + seconds(1), kNow + seconds(2));
  CHECK(start.IsCold(kNow + milliseconds(2999)));
  start.OnCold(kNow + seconds(2), kNow + seconds(5));
  CHECK(start.IsCold(kNow + milliseconds(4999)));
  CHECK_FALSE(start.IsCold(kNow + seconds(5)));
}
