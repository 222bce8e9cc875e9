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

TEST(ColdStart, ATargetThatWasNeverColdTakesRequests)
{
  CHECK_FALSE(start.IsCold(kNow));
  CHECK_FALSE(start.WasColdRecently(kNow));
}

TEST(ColdStart, AColdTargetTakesNothing)
{
  start.OnCold(kNow, kNow + seconds(3));
  CHECK(start.IsCold(kNow));
  CHECK(start.IsCold(kNow + milliseconds(2999)));
  CHECK_FALSE(start.IsCold(kNow + seconds(3)));
}

TEST(ColdStart, ItsCacheCountsAsEmptyForOneMoreColdPeriod)
{
  start.OnCold(kNow, kNow + seconds(4));
  CHECK(start.WasColdRecently(kNow + seconds(4)));
  CHECK(start.WasColdRecently(kNow + milliseconds(7999)));
  CHECK_FALSE(start.WasColdRecently(kNow + seconds(8)));
}

TEST(ColdStart, AWarmReportEndsTheColdPeriod)
{
  start.OnCold(kNow, kNow + seconds(3));
  start.OnWarmReport(kNow + seconds(2));
  CHECK_FALSE(start.IsCold(kNow + seconds(2)));
  CHECK(start.WasColdRecently(kNow + seconds(2)));
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
