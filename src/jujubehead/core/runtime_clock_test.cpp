#include "jujubehead/core/runtime_clock.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using jujubehead::core::RuntimeClock;
using namespace std::chrono_literals;

TEST_GROUP(RuntimeClock){ void teardown() override{
  if (RuntimeClock::IsPaused()){ RuntimeClock::Resume();
}
}
}
;

TEST(RuntimeClock, APausedClockMovesOnlyByAdvance)
{
  RuntimeClock::Pause();
  const auto start = RuntimeClock::now();
  CHECK(RuntimeClock::now() == start);
  RuntimeClock::Advance(5s);
  CHECK(RuntimeClock::now() == start + 5s);
}

TEST(RuntimeClock, AResumedClockNeverGoesBack)
{
  RuntimeClock::Pause();
  RuntimeClock::Advance(1h);
  const auto paused = RuntimeClock::now();
  RuntimeClock::Resume();
  CHECK(RuntimeClock::now() >= paused);
}
