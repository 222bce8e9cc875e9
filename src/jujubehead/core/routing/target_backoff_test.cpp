#include "jujubehead/core/routing/target_backoff.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(TargetBackoff)
{
  const Instant now = Instant(hours(1));
  TargetBackoff backoff;
};

// Requests went on at a target that had asked for none, or never came back.
TEST(TargetBackoff, LastsForTheRequestedTime)
{
  CHECK_FALSE(backoff.IsActive(now));
  backoff.OnRequested(now, seconds(3));
  CHECK(backoff.IsActive(now + milliseconds(2999)));
  CHECK_FALSE(backoff.IsActive(now + seconds(3)));
}

// A reply that overtook another ended the other's backoff.
TEST(TargetBackoff, AShorterRequestDoesNotReplaceALongerOne)
{
  backoff.OnRequested(now, seconds(3));
  backoff.OnRequested(now + seconds(1), milliseconds(500));
  CHECK(backoff.Until() == now + seconds(3));
  backoff.OnRequested(now + seconds(2), seconds(3));
  CHECK(backoff.Until() == now + seconds(5));
}

// A mistaken value excluded the target for good, or overflowed.
TEST(TargetBackoff, AnAbsurdTimeIsLimited)
{
  backoff.OnRequested(now, Duration::max());
  CHECK(backoff.Until() == now + TargetBackoff::kMaxBackoff);
}
