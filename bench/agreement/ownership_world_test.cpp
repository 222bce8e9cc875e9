#include "bench/agreement/world.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;
using namespace jujubehead::bench;
using namespace std::chrono_literals;

namespace {

void
CheckSafe(const World& aWorld)
{
  const WorldCounters counters = aWorld.Counters();
  LONGS_EQUAL(0, counters.overshoot);
  LONGS_EQUAL(0, counters.stale_grants);
}

} // namespace

TEST_GROUP(OwnershipWorld){};

TEST(OwnershipWorld, AColdStartGivesEveryGroupOneOwner)
{
  World world(WorldOptions{});
  world.RunFor(15s);
  CHECK_EQUAL_TEXT(4, world.OwnedGroups(), world.Describe().c_str());
  CheckSafe(world);
  CHECK(world.Counters().completed > 0);
}

TEST(OwnershipWorld, AWitnessTakesOverFromADeadOwner)
{
  World world(WorldOptions{});
  world.RunFor(20s);
  world.Crash(*world.OwnerOf(0));
  world.RunFor(10s);
  CHECK_EQUAL_TEXT(4, world.OwnedGroups(), world.Describe().c_str());
  CheckSafe(world);
}

TEST(OwnershipWorld, AWitnessTakesOverWhileTheTableServiceIsAway)
{
  World world(WorldOptions{});
  world.RunFor(20s);
  world.Table().Fault().down = true;
  world.RunFor(60s);
  CHECK_EQUAL_TEXT(4, world.OwnedGroups(), world.Describe().c_str());
  world.Crash(*world.OwnerOf(0));
  world.RunFor(10s);
  CHECK_EQUAL_TEXT(4, world.OwnedGroups(), world.Describe().c_str());
  world.Table().Fault().down = false;
  world.RunFor(30s);
  CHECK_EQUAL_TEXT(4, world.OwnedGroups(), world.Describe().c_str());
  CheckSafe(world);
}

TEST(OwnershipWorld, APlannedStopHandsEverythingOver)
{
  World world(WorldOptions{});
  world.RunFor(20s);
  const auto owner = *world.OwnerOf(0);
  world.Leave(owner);
  world.RunFor(3s);
  CHECK_EQUAL_TEXT(4, world.OwnedGroups(), world.Describe().c_str());
  CHECK(*world.OwnerOf(0) != owner);
  CheckSafe(world);
}

TEST(OwnershipWorld, AllInstancesRestartAtOnce)
{
  World world(WorldOptions{});
  world.RunFor(20s);
  for (std::uint32_t i = 0; i < 4; ++i) {
    world.Crash(i);
  }
  for (std::uint32_t i = 0; i < 4; ++i) {
    world.Start(i);
  }
  world.RunFor(60s);
  CHECK_EQUAL_TEXT(4, world.OwnedGroups(), world.Describe().c_str());
  CheckSafe(world);
}

TEST(OwnershipWorld, APausedOwnerLosesItsGroupsAndWakesHarmless)
{
  World world(WorldOptions{});
  world.RunFor(20s);
  world.Pause(*world.OwnerOf(0), 30s);
  world.RunFor(15s);
  CHECK_EQUAL_TEXT(4, world.OwnedGroups(), world.Describe().c_str());
  world.RunFor(60s);
  CHECK_EQUAL_TEXT(4, world.OwnedGroups(), world.Describe().c_str());
  CheckSafe(world);
}
