#include "jujubehead/core/routing/request_durations.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(RequestDurations)
{
  RequestDurations durations;
  Instant now{ seconds(1000) };

  void End(std::size_t aCount, Duration aTook)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      durations.OnEnd(aTook, now);
    }
  }
};

TEST(RequestDurations, AFewRequestsSayNothingOfTheNext)
{
  End(RequestDurations::kMinRequests - 1, milliseconds(200));
  CHECK_FALSE(durations.UpperBound(now).has_value());
  End(1, milliseconds(200));
  CHECK(durations.UpperBound(now) == Duration(milliseconds(250)));
}

TEST(RequestDurations, TheLongestCountsWhateverTheOthersTook)
{
  End(1, seconds(4));
  End(10 * RequestDurations::kMinRequests, milliseconds(20));
  CHECK(durations.UpperBound(now) == Duration(seconds(5)));
}

// A service that has become faster must not keep its instances from taking
// requests for good.
TEST(RequestDurations, ALongOneIsForgottenAfterTwoWindows)
{
  End(1, seconds(4));
  for (int i = 0; i < 3; ++i) {
    CHECK(i == 0 || durations.UpperBound(now) == Duration(seconds(5)) ||
          i == 2);
    now += RequestDurations::kWindow;
    End(RequestDurations::kMinRequests, milliseconds(200));
  }
  CHECK(durations.UpperBound(now) == Duration(milliseconds(250)));
}

TEST(RequestDurations, ARouteWithoutRequestsForAWhileIsUnknown)
{
  End(RequestDurations::kMinRequests, milliseconds(200));
  now += 2 * RequestDurations::kWindow;
  CHECK_FALSE(durations.UpperBound(now).has_value());
}
