#include "jujubehead/core/routing/stall_timeout.hpp"

#include <random> // for mt19937, exponential_distribution

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::milliseconds;

TEST_GROUP(StallTimeout)
{
  StallTimeoutInput input{ milliseconds(800), std::nullopt, true };
};

TEST(StallTimeout, IsShortWhileOtherStreamsRun)
{
  CHECK(StreamStallTimeout(input) == milliseconds(1200));
  input.predicted = milliseconds(5000);
  CHECK(StreamStallTimeout(input) == milliseconds(1200));
  input.objective = milliseconds(100);
  CHECK(StreamStallTimeout(input) == milliseconds(1000));
}

TEST(StallTimeout, CoversThePredictedTimeForASingleStream)
{
  input.has_other_streams = false;
  CHECK(StreamStallTimeout(input) == milliseconds(2400));
  input.predicted = milliseconds(2000);
  CHECK(StreamStallTimeout(input) == milliseconds(4000));
}

// Load after a quarter of the targets is lost, with 74 instances: each has one
// stream at a target, and the mean wait is 1.2 s.
TEST(StallTimeout, FewWaitsInALoadedQueueTimeOut)
{
  std::mt19937 random(11);
  std::exponential_distribution<double> wait(1 / 1.2);
  input.has_other_streams = false;
  input.predicted = milliseconds(1200);
  const StallTimeoutInput with_others{ milliseconds(800),
                                       milliseconds(1200),
                                       true };
  int timeouts = 0;
  int timeouts_with_others = 0;
  constexpr int kWaits = 10000;
  for (int i = 0; i < kWaits; ++i) {
    const std::chrono::duration<double> one(wait(random));
    timeouts += one > StreamStallTimeout(input) ? 1 : 0;
    timeouts_with_others += one > StreamStallTimeout(with_others) ? 1 : 0;
  }
  CHECK(timeouts < kWaits * 15 / 100);
  CHECK(timeouts_with_others > kWaits * 30 / 100);
}
