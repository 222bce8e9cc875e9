#include "jujubehead/core/eviction_forecast.hpp"

// Last: its macros change the meaning of new.
#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;

namespace {

ContextKey
Root(std::uint8_t aByte)
{
  ContextKey::Bytes bytes{};
  bytes[0] = aByte;
  return ContextKey(bytes);
}

} // namespace

TEST_GROUP(EvictionForecast)
{
  EvictionForecast forecast{ 100 };
};

TEST(EvictionForecast, NothingIsDueWhileThereIsRoom)
{
  forecast.OnUse(Root(1), 40);
  forecast.OnUse(Root(2), 40);
  CHECK(forecast.TakeNearEviction(0.8).empty());
}

TEST(EvictionForecast, TheLeastRecentlyUsedContextIsDueOnce)
{
  forecast.OnUse(Root(1), 40);
  forecast.OnUse(Root(2), 40);
  forecast.OnUse(Root(1), 40);
  forecast.OnUse(Root(3), 40);
  const auto due = forecast.TakeNearEviction(0.8);
  CHECK_EQUAL(1, due.size());
  CHECK(due.front() == Root(2));
  CHECK(forecast.TakeNearEviction(0.8).empty());
}

TEST(EvictionForecast, RemovedContextsAreNeverDue)
{
  forecast.OnUse(Root(1), 90);
  forecast.OnUse(Root(2), 90);
  forecast.Forget(Root(1));
  CHECK(forecast.TakeNearEviction(0.9).empty());
  forecast.Clear();
  CHECK(forecast.TakeNearEviction(0.0).empty());
}
