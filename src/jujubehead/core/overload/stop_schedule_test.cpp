#include "jujubehead/core/overload/stop_schedule.hpp"

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

using namespace jujubehead::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant kRequested{ seconds(1000) };
constexpr Duration kGrace = seconds(8);

StopSchedule
Requested()
{
  StopSchedule stop(kGrace);
  stop.Request(kRequested);
  return stop;
}

} // namespace

TEST_GROUP(StopSchedule){};

TEST(StopSchedule, WithoutAStopEverythingIsAllowed)
{
  const StopSchedule stop(kGrace);
  CHECK(stop.Allows({ seconds(600), {}, false }, kRequested));
  CHECK(stop.EndsAt() == Instant::max());
}

TEST(StopSchedule, TheFirstRequestCounts)
{
  StopSchedule stop = Requested();
  stop.Request(kRequested + seconds(3));
  CHECK(stop.EndsAt() == kRequested + kGrace - StopSchedule::kExitMargin);
}

// A request that usually ends at once is taken while callers cannot avoid the
// instance, though its route allows more time than is left.
TEST(StopSchedule, UsuallyShortRequestsAreTakenInRotation)
{
  const StopSchedule stop = Requested();
  const RequestTime usual{ seconds(12), milliseconds(900), false };
  CHECK(stop.Allows(usual, kRequested + seconds(2)));
  CHECK_FALSE(stop.Allows(usual, kRequested + milliseconds(2300)));
}

// Its target fell silent, and it was given up although there was time for
// another one.
TEST(StopSchedule, ARequestThatMayHaveRunIsSentAgainIfItUsuallyEnds)
{
  const StopSchedule stop = Requested();
  const RequestTime usual{ seconds(12), milliseconds(900), true };
  CHECK(stop.Allows(usual, kRequested + seconds(6)));
  CHECK_FALSE(stop.Allows(usual, kRequested + seconds(7)));
}

// Nothing is known of the route: what might not end is refused from the begin.
TEST(StopSchedule, UnknownOnesAreTakenOnlyIfTheyEndInAnyCase)
{
  const StopSchedule stop = Requested();
  CHECK_FALSE(stop.Allows({ seconds(12), {}, false }, kRequested));
  CHECK(stop.Allows({ seconds(5), {}, false }, kRequested + seconds(2)));
}

// Whatever is known, and whenever it came: what is taken ends before the
// process does, if it takes no longer than was known.
TEST(StopSchedule, WhatIsTakenEndsInTime)
{
  CHECK(rc::check([] {
    const auto ms = [](int aMax) {
      return Duration(milliseconds(*rc::gen::inRange(0, aMax)));
    };
    const StopSchedule stop = Requested();
    const RequestTime time{ ms(20000), ms(20000), *rc::gen::arbitrary<bool>() };
    const Instant now = kRequested + ms(9000);
    if (stop.Allows(time, now)) {
      RC_ASSERT(now + std::min(*time.usual, time.limit) <=
                stop.EndsAt() - StopSchedule::kResponseMargin);
    } else {
      RC_ASSERT(now + time.limit > stop.AnswersUntil());
    }
  }));
}
