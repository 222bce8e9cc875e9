#include "jujubehead/core/context/prefix_popularity.hpp"

#include <string> // for to_string

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(PrefixPopularity)
{
  PrefixPopularity uses;
  Instant now = RuntimeClock::now();
};

TEST(PrefixPopularity, RateFollowsUses)
{
  double rate = 0;
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(250);
    rate = uses.CountUse("often", now);
  }
  DOUBLES_EQUAL(4, rate, 0.5);
  CHECK(uses.CountUse("rare", now) < 0.5);
  now += seconds(10);
  CHECK(uses.CountUse("often", now) < 1);
}

TEST(PrefixPopularity, UnusedPartsAreEvicted)
{
  for (int i = 0; i < 5000; ++i) {
    now += milliseconds(20);
    uses.CountUse("p" + std::to_string(i), now);
  }
  // Eviction runs every 15 s and removes parts unused for 15 s, so at most the
  // parts of the last 30 s are left.
  CHECK(uses.Size() <= 1500);
}

// Prompts of thousands of parts each, all new, took memory for as long as their
// uses were counted.
TEST(PrefixPopularity, TheMemoryIsBounded)
{
  for (int i = 0; i < 100000; ++i) {
    uses.CountUse("p" + std::to_string(i), now);
    uses.CountUse(std::string(1000, 'a') + std::to_string(i), now);
  }
  CHECK(uses.Bytes() <= PrefixPopularity::kMaxBytes);
  now += seconds(31);
  uses.CountUse("new", now);
  LONGS_EQUAL(1, uses.Size());
  CHECK(uses.CountUse("new", now) > uses.CountUse("other", now));
}
