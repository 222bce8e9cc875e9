#include "jujubehead/core/routing/hedge_policy.hpp"

#include <algorithm> // for max, min, sort
#include <random>    // for mt19937
#include <vector>    // for vector

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

HedgeInput
Hedgeable()
{
  HedgeInput input;
  input.is_repeatable = true;
  input.max_targets = 2;
  input.may_have_run = 1;
  input.time_left = seconds(5);
  input.delay = milliseconds(100);
  return input;
}

/// Responses of 20 to 40 ms; one target in twenty is ten times as slow.
struct SlowTail
{
  std::mt19937 random{ 7 };

  Duration Draw()
  {
    const int ms = 20 + static_cast<int>(random() % 20);
    return milliseconds(random() % 20 == 0 ? 10 * ms : ms);
  }
};

/// @return the response time that a share of some requests is below.
Duration
Quantile(std::vector<Duration> aTimes, double aShare)
{
  std::sort(aTimes.begin(), aTimes.end());
  return aTimes[static_cast<std::size_t>(
    aShare * static_cast<double>(aTimes.size() - 1))];
}

} // namespace

TEST_GROUP(HedgePolicy){};

TEST(HedgePolicy, IsOffByDefaultShareOfZero)
{
  HedgePolicy policy(0);
  for (int i = 0; i < 100; ++i) {
    policy.OnRequest();
    policy.OnFirstResponse("r", milliseconds(30));
  }
  CHECK_FALSE(policy.DelayOf("r").has_value());
  CHECK_FALSE(policy.TryToHedge());
}

TEST(HedgePolicy, TheDelayIsThatOfTheSlowestOfTheRoute)
{
  HedgePolicy policy(0.1);
  for (int i = 1; i < 20; ++i) {
    policy.OnFirstResponse("r", milliseconds(i));
    CHECK_FALSE(policy.DelayOf("r").has_value());
  }
  policy.OnFirstResponse("r", milliseconds(20));
  CHECK(*policy.DelayOf("r") == milliseconds(20));
  CHECK_FALSE(policy.DelayOf("other").has_value());
  for (int i = 0; i < 200; ++i) {
    policy.OnFirstResponse("r", milliseconds(7));
  }
  CHECK(*policy.DelayOf("r") == milliseconds(7));
}

// When all responses become slow at once, each would be sent twice.
TEST(HedgePolicy, ExtraSendsStayWithinTheShare)
{
  HedgePolicy policy(0.05);
  int hedged = 0;
  for (int i = 0; i < 1000; ++i) {
    policy.OnRequest();
    hedged += policy.TryToHedge() ? 1 : 0;
  }
  CHECK(hedged <= 50);
  CHECK(hedged >= 48);
}

TEST(HedgePolicy, SavesUpForAFewSlowResponsesOnly)
{
  HedgePolicy policy(0.5);
  for (int i = 0; i < 1000; ++i) {
    policy.OnRequest();
  }
  int hedged = 0;
  while (policy.TryToHedge()) {
    ++hedged;
  }
  LONGS_EQUAL(3, hedged);
}

TEST(HedgePolicy, RoomIsScarceForASecondAfterARefusal)
{
  HedgePolicy policy(0.1);
  const Instant now{ seconds(10) };
  CHECK_FALSE(policy.IsScarce(now));
  policy.OnRefusal(now);
  CHECK(policy.IsScarce(now + milliseconds(900)));
  CHECK_FALSE(policy.IsScarce(now + milliseconds(1100)));
}

// A request that may run once was sent twice; a suspect cost a second target.
TEST(HedgePolicy, SomeRequestsAreNeverSentTwice)
{
  CHECK(MayHedge(Hedgeable()));
  HedgeInput input = Hedgeable();
  input.is_repeatable = false;
  CHECK_FALSE(MayHedge(input));
  input = Hedgeable();
  input.may_have_run = 2;
  CHECK_FALSE(MayHedge(input));
  input = Hedgeable();
  input.has_stream_begun = true;
  CHECK_FALSE(MayHedge(input));
  input = Hedgeable();
  input.resumes_stream = true;
  CHECK_FALSE(MayHedge(input));
  input = Hedgeable();
  input.is_suspect = true;
  CHECK_FALSE(MayHedge(input));
  input = Hedgeable();
  input.is_cold_send = true;
  CHECK_FALSE(MayHedge(input));
  input = Hedgeable();
  input.time_left = input.delay;
  CHECK_FALSE(MayHedge(input));
}

// A few slow targets decide the slowest responses.
TEST(HedgePolicy, TheSlowestResponsesAreCut)
{
  SlowTail tail;
  HedgePolicy policy(0.1);
  std::vector<Duration> plain;
  std::vector<Duration> hedged;
  int sends = 0;
  for (int i = 0; i < 5000; ++i) {
    policy.OnRequest();
    const Duration first = tail.Draw();
    plain.push_back(first);
    const auto delay = policy.DelayOf("r");
    Duration took = first;
    if (delay && first > *delay && policy.TryToHedge()) {
      ++sends;
      took = std::min(first, *delay + tail.Draw());
    }
    hedged.push_back(took);
    // Until the second response, the first one's time is known to be longer.
    policy.OnFirstResponse("r", std::max(took, std::min(first, took)));
  }
  CHECK(sends <= 500);
  CHECK(Quantile(hedged, 0.99) < Quantile(plain, 0.99) / 2);
  CHECK(Quantile(hedged, 0.5) <= Quantile(plain, 0.5));
}
