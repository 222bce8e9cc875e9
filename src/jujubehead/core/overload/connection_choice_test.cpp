#include "jujubehead/core/overload/connection_choice.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::seconds;

TEST_GROUP(ConnectionChoice)
{
  static constexpr Duration kIdleTimeout = seconds(15);
  const Instant now{ seconds(100) };
  ConnectionChoice<const int> choice{ now, kIdleTimeout };
  const int slow = 0;
  const int silent = 0;
  const int unused = 0;
  const int other = 0;

  void Consider(const int& aConnection,
                bool aIsIdle,
                bool aHasSentRequest,
                bool aIsSlow,
                Duration aIdle)
  {
    choice.Consider(aConnection,
                    { aIsIdle, aHasSentRequest, aIsSlow, now - aIdle });
  }
};

// Thousands of connections without a byte took all descriptors.
TEST(ConnectionChoice, OneThatNeverSentAnythingGoesFirst)
{
  Consider(slow, false, true, true, seconds(50));
  Consider(unused, true, true, false, kIdleTimeout);
  Consider(other, true, false, false, seconds(2));
  Consider(silent, true, false, false, seconds(3));
  POINTERS_EQUAL(&silent, choice.Chosen());
}

TEST(ConnectionChoice, ThenARequestThatMakesNoProgress)
{
  Consider(unused, true, true, false, kIdleTimeout);
  Consider(slow, false, true, true, seconds(2));
  POINTERS_EQUAL(&slow, choice.Chosen());
}

// Callers reuse a connection for up to four fifths of the timeout.
TEST(ConnectionChoice, OneThatMayBeReusedStays)
{
  Consider(other, true, true, false, kIdleTimeout * 4 / 5);
  Consider(other, false, true, false, seconds(50));
  CHECK(choice.Chosen() == nullptr);
  Consider(unused, true, true, false, kIdleTimeout * 9 / 10);
  POINTERS_EQUAL(&unused, choice.Chosen());
}

TEST(ConnectionChoice, ANewConnectionHasTimeForItsRequest)
{
  Consider(other, true, false, false, Duration(0));
  CHECK(choice.Chosen() == nullptr);
}
