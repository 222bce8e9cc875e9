#include "jujubehead/core/membership/stream_origins.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::seconds;

namespace {

const Instant kStart{ std::chrono::hours(1) };
const ServiceId kService("s");

StreamOrigin
Origin(const std::string& aId, const char* aVersion = "v1")
{
  return { StreamKeyOf(aId), kService, aVersion };
}

} // namespace

TEST_GROUP(StreamOrigins)
{
  StreamOrigins origins{ { seconds(60), 100 } };
};

TEST(StreamOrigins, TheVersionOfAStreamIsKeptForItsTime)
{
  origins.Put(Origin("a", "v2"), kStart);
  STRCMP_EQUAL(
    "v2", origins.VersionOf(StreamKeyOf("a"), kStart + seconds(60))->c_str());
  CHECK_FALSE(
    origins.VersionOf(StreamKeyOf("a"), kStart + seconds(61)).has_value());
  CHECK_FALSE(origins.VersionOf(StreamKeyOf("b"), kStart).has_value());
}

TEST(StreamOrigins, AStreamThatGoesOnIsKeptForLonger)
{
  origins.Put(Origin("a"), kStart);
  origins.Put(Origin("a"), kStart + seconds(50));
  origins.Put(Origin("b"), kStart + seconds(70));
  CHECK(origins.VersionOf(StreamKeyOf("a"), kStart + seconds(100)).has_value());
}

// Callers choose the ids, and as many of them as they like.
TEST(StreamOrigins, MemoryIsBounded)
{
  for (int i = 0; i < 1000; ++i) {
    origins.Put(Origin(std::to_string(i)), kStart);
    origins.Put(Origin("again"), kStart);
  }
  CHECK(origins.Size() <= 100);
  CHECK(origins.VersionOf(StreamKeyOf("999"), kStart).has_value());
  CHECK_FALSE(origins.VersionOf(StreamKeyOf("0"), kStart).has_value());
}

TEST(StreamOrigins, RecentOnesOfAServiceAreListed)
{
  origins.Put(Origin("old"), kStart);
  origins.Put(Origin("new"), kStart + seconds(30));
  const Instant now = kStart + seconds(40);
  const auto recent = origins.Recent(kService, seconds(20), now);
  UNSIGNED_LONGS_EQUAL(1, recent.size());
  CHECK(recent.front().stream == StreamKeyOf("new"));
  CHECK(origins.Recent(ServiceId("other"), seconds(20), now).empty());
}
