#include "jujubehead/core/routing/target_health.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::milliseconds;

TEST_GROUP(TargetHealth)
{
  TargetHealth health;
  Instant now{ std::chrono::seconds(10) };
};

TEST(TargetHealth, AnUnreachableTargetIsEjected)
{
  health.OnUnreachable(now);
  CHECK_FALSE(health.IsUsable(now));
  CHECK(health.IsUsable(now + milliseconds(500)));
}

TEST(TargetHealth, OnlyOneRequestProbesAnEjectedTarget)
{
  health.OnUnreachable(now);
  now += milliseconds(600);
  health.OnSend(now);
  CHECK_FALSE(health.IsUsable(now));
  health.OnAnswer();
  CHECK(health.IsUsable(now));
}

TEST(TargetHealth, EjectionsGrowUpToTheLongest)
{
  for (int i = 0; i < 10; ++i) {
    health.OnUnreachable(now);
  }
  CHECK_FALSE(health.IsUsable(now + milliseconds(3900)));
  CHECK(health.IsUsable(now + milliseconds(4000)));
}

TEST(TargetHealth, OnlyAHighFailureRateEjectsATarget)
{
  for (int i = 0; i < 60; ++i) {
    i % 7 == 0 ? health.OnFailure(now) : health.OnAnswer();
    CHECK(health.IsUsable(now));
  }
  for (int i = 0; i < 6; ++i) {
    health.OnFailure(now);
  }
  CHECK_FALSE(health.IsUsable(now));
}
