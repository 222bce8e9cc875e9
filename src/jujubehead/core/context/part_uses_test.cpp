#include "jujubehead/core/context/part_uses.hpp"

#include <string> // for to_string

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(PartUses)
{
  PartUses uses;
  Instant now = RuntimeClock::now();
};

TEST(PartUses, RateFollowsUses)
{
  double rate = 0;
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(250);
    rate = uses.OnUse("often", now);
  }
  DOUBLES_EQUAL(4, rate, 0.5);
  CHECK(uses.OnUse("rare", now) < 0.5);
  now += seconds(10);
  CHECK(uses.OnUse("often", now) < 1);
}

TEST(PartUses, UnusedPartsAreEvicted)
{
  for (int i = 0; i < 5000; ++i) {
    now += milliseconds(20);
    uses.OnUse("p" + std::to_string(i), now);
  }
  // Eviction runs every 15 s and removes parts unused for 15 s, so at most the
  // parts of the last 30 s are left.
  CHECK(uses.Size() <= 1500);
}
