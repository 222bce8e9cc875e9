#include "jujubehead/core/routing/target_limit.hpp"

#include <array> // for array

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant kStart{ std::chrono::hours(1) };

/// @return the requests that one instance sends in a time, trying all along.
int
SentIn(TargetLimit& aLimit, std::size_t aRank, Instant aFrom, Duration aTime)
{
  int sent = 0;
  for (Instant now = aFrom; now < aFrom + aTime; now += milliseconds(10)) {
    sent += aLimit.TryToSend(aRank, now) ? 1 : 0;
  }
  return sent;
}

} // namespace

TEST_GROUP(TargetLimit)
{
  TargetLimit limit;
};

TEST(TargetLimit, WithoutALimitAllMaySend)
{
  LONGS_EQUAL(100, SentIn(limit, 40, kStart, seconds(1)));
}

TEST(TargetLimit, HoldersShareItAndOthersSendNothing)
{
  CHECK(limit.OnReply(3.0, kStart, kStart));
  LONGS_EQUAL(4, limit.Holders());
  // 0.75 a second from an empty bucket.
  LONGS_EQUAL(3, SentIn(limit, 3, kStart, milliseconds(4100)));
  TargetLimit other;
  other.OnReply(3.0, kStart, kStart);
  LONGS_EQUAL(0, SentIn(other, 4, kStart, seconds(4)));
}

// Replies overtake each other: one to a request sent before the limit was known
// must not end it.
TEST(TargetLimit, OnlyALaterRequestShowsThatItIsOver)
{
  limit.OnReply(1.0, kStart, kStart + seconds(1));
  CHECK_FALSE(limit.OnReply(
    std::nullopt, kStart + milliseconds(500), kStart + seconds(2)));
  CHECK(limit.PerSecond().has_value());
  CHECK(limit.OnReply(
    std::nullopt, kStart + milliseconds(1500), kStart + seconds(3)));
  CHECK_FALSE(limit.PerSecond().has_value());
}

// One that was under way when the limit ended must not bring it back for all.
TEST(TargetLimit, ALateReplyDoesNotBringAnEndedLimitBack)
{
  limit.OnReply(1.0, kStart, kStart + seconds(1));
  limit.OnReply(std::nullopt, kStart + seconds(2), kStart + seconds(3));
  CHECK_FALSE(
    limit.OnReply(1.0, kStart + milliseconds(2500), kStart + seconds(4)));
  CHECK_FALSE(limit.PerSecond().has_value());
  CHECK(limit.OnReply(1.0, kStart + seconds(4), kStart + seconds(5)));
}

// A report has less precision than a reply; each reply would be a change.
TEST(TargetLimit, AReportOfTheSameLimitIsNoChange)
{
  limit.OnReply(1.239, kStart, kStart + seconds(1));
  limit.OnReport(1.23, kStart + seconds(2));
  CHECK_FALSE(limit.OnReply(1.239, kStart + seconds(2), kStart + seconds(3)));
  limit.OnReply(1.15, kStart + seconds(3), kStart + seconds(4));
  limit.OnReport(1.15, kStart + seconds(5));
  CHECK_FALSE(limit.OnReply(1.15, kStart + seconds(5), kStart + seconds(6)));
}

TEST(TargetLimit, AReportOfAnotherInstanceCountsIfItIsNewer)
{
  limit.OnReply(1.0, kStart, kStart + seconds(1));
  limit.OnReport(std::nullopt, kStart);
  CHECK(limit.PerSecond().has_value());
  limit.OnReport(2.0, kStart + seconds(2));
  DOUBLES_EQUAL(2.0, *limit.PerSecond(), 1e-9);
  limit.OnReport(std::nullopt, kStart + seconds(3));
  CHECK_FALSE(limit.PerSecond().has_value());
}

// If all holders of a target are gone, nobody would see that its limit is over.
TEST(TargetLimit, OtherInstancesFollowWhenNoReplyConfirmsIt)
{
  limit.OnReply(1.0, kStart, kStart);
  CHECK_FALSE(limit.IsHeld(2, kStart + seconds(5)));
  CHECK(limit.IsHeld(2, kStart + seconds(10)));
  CHECK_FALSE(limit.IsHeld(8, kStart + seconds(10)));
  limit.OnReport(1.0, kStart + seconds(10));
  CHECK_FALSE(limit.IsHeld(2, kStart + seconds(10)));
}

// A target that is stopped gets the requests of all that hold a share at once
// when it goes on.
TEST(TargetLimit, AStoppedTargetDoesNotGetAllInstancesAsHolders)
{
  limit.OnReply(1.0, kStart, kStart);
  CHECK_FALSE(limit.IsHeld(16, kStart + std::chrono::minutes(10)));
  CHECK(limit.IsHeld(8, kStart + std::chrono::minutes(10)));
}

TEST(TargetLimit, ATargetThatNamesNoneAtAllIsStillAsked)
{
  limit.OnReply(0.0, kStart, kStart);
  LONGS_EQUAL(2, SentIn(limit, 0, kStart, seconds(21)));
}

TEST(TargetLimit, ALowerLimitHoldsAtOnce)
{
  limit.OnReply(50.0, kStart, kStart);
  const Instant later = kStart + seconds(10);
  limit.OnReply(1.0, later, later);
  CHECK(limit.Tokens(0, later) <= limit.Capacity());
  LONGS_EQUAL(1, SentIn(limit, 0, later, milliseconds(1900)));
}

// Requests come at eight times the rate that all targets together take.
TEST(TargetLimit, UrgentRequestsAreAdmittedFirst)
{
  constexpr std::size_t kTargets = 4;
  std::array<TargetLimit, kTargets> limits;
  for (TargetLimit& one : limits) {
    one.OnReply(1.0, kStart, kStart);
  }
  std::array<int, 3> admitted{};
  std::size_t next = 0;
  for (Instant now = kStart; now < kStart + seconds(60);
       now += milliseconds(62)) {
    const auto urgency = static_cast<std::uint32_t>(next++ % admitted.size());
    ServiceLimit all;
    all.is_limited = true;
    TargetLimit* best = &limits.front();
    for (TargetLimit& one : limits) {
      all.tokens += one.Tokens(0, now);
      all.capacity += one.Capacity();
      best = one.Tokens(0, now) > best->Tokens(0, now) ? &one : best;
    }
    if (TimeUntilAdmitted(all, urgency * 4) == Duration(0)) {
      admitted.at(urgency) += best->TryToSend(0, now) ? 1 : 0;
    }
  }
  CHECK(admitted[0] > 80); // Of about 120 that the targets take.
  CHECK(admitted[0] > admitted[1]);
  CHECK(admitted[1] >= admitted[2]);
}

TEST(TargetLimit, ARefusedCallerLearnsWhenATokenIsThere)
{
  ServiceLimit all;
  all.is_limited = true;
  all.tokens = 0.5;
  all.capacity = 1;
  all.tokens_per_second = 0.25;
  const auto wait = TimeUntilAdmitted(all, 0);
  CHECK(wait.has_value());
  DOUBLES_EQUAL(2.0, std::chrono::duration<double>(*wait).count(), 0.01);
  all.tokens_per_second = 0;
  CHECK_FALSE(TimeUntilAdmitted(all, 0).has_value());
}
