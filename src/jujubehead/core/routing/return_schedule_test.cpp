#include "jujubehead/core/routing/return_schedule.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(ReturnSchedule){};

// Callers that all came back within half a second were refused again.
TEST(ReturnSchedule, CallersReturnAtTheRateOfAdmittedRequests)
{
  ReturnSchedule schedule;
  Instant now{};
  for (int i = 0; i < 100; ++i) { // Ten a second.
    now += milliseconds(100);
    schedule.OnAdmitted(now);
  }
  const Duration first =
    schedule.NextReturn(now, milliseconds(300), seconds(60));
  CHECK(first == milliseconds(300));
  Duration last = first;
  for (int i = 0; i < 10; ++i) {
    const Duration next =
      schedule.NextReturn(now, milliseconds(300), seconds(60));
    CHECK(next - last > milliseconds(80));
    CHECK(next - last < milliseconds(120));
    last = next;
  }
}

TEST(ReturnSchedule, NobodyIsToldMoreThanItsCallerWaits)
{
  ReturnSchedule schedule;
  const Instant now{};
  for (int i = 0; i < 20; ++i) {
    CHECK(schedule.NextReturn(now, milliseconds(100), seconds(2)) <=
          seconds(2));
  }
  // Those who could not wait have taken no place.
  CHECK(schedule.NextReturn(now, milliseconds(100), seconds(5)) < seconds(4));
}

TEST(ReturnSchedule, PlacesThatHavePassedAreNotMadeUpFor)
{
  ReturnSchedule schedule;
  Instant now{};
  schedule.NextReturn(now, milliseconds(100), seconds(5));
  now += seconds(30);
  CHECK(schedule.NextReturn(now, milliseconds(100), seconds(5)) ==
        milliseconds(100));
}
