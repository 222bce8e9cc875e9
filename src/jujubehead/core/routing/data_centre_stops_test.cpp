#include "jujubehead/core/routing/data_centre_stops.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;

namespace {

const Instant kNow = Instant(std::chrono::hours(1));

DataCentreStopChange
Stop(const std::string& aName, std::optional<bool> aIsStopped = true)
{
  return { DataCentreId(aName), aIsStopped };
}

} // namespace

TEST_GROUP(DataCentreStops){};

TEST(DataCentreStops, TwoMayBeStoppedAtOnceAndEndOnTheirOwn)
{
  DataCentreStops stops;
  LONGS_EQUAL(2,
              stops.Apply({ Stop("north"), Stop("south") }, kNow).begun.size());
  CHECK(stops.Apply({ Stop("north") }, kNow).IsEmpty());
  CHECK(stops.Apply({ Stop("north", false) }, kNow).ended ==
        std::set{ DataCentreId("north") });
  CHECK(stops.Names() == std::set{ DataCentreId("south") });
}

TEST(DataCentreStops, AnUnreadableDeclarationChangesNothing)
{
  DataCentreStops stops;
  CHECK(stops.Apply({ Stop("north", std::nullopt) }, kNow).IsEmpty());
  CHECK(stops.Names().empty());
  stops.Apply({ Stop("north") }, kNow);
  CHECK(stops.Apply({ Stop("north", std::nullopt) }, kNow).IsEmpty());
  CHECK(stops.Replace({ Stop("north", std::nullopt) }, kNow).IsEmpty());
  CHECK(stops.Names() == std::set{ DataCentreId("north") });
}

TEST(DataCentreStops, ASnapshotWithoutAStopEndsIt)
{
  DataCentreStops stops;
  stops.Apply({ Stop("north"), Stop("south") }, kNow);
  const auto update =
    stops.Replace({ Stop("south") }, kNow + std::chrono::seconds(1));
  CHECK(update.begun.empty());
  CHECK(update.ended == std::set{ DataCentreId("north") });
  CHECK(stops.Names() == std::set{ DataCentreId("south") });
  // The start of a stop that continues is kept.
  CHECK(stops.All().at(DataCentreId("south")) == kNow);
}

// An instance that was cut off reads only the last change of each declaration.
TEST(DataCentreStops, AStopThatBeganAndEndedUnreadCountsAsEnded)
{
  DataCentreStops stops;
  CHECK(stops.Apply({ Stop("north", false) }, kNow).ended ==
        std::set{ DataCentreId("north") });
}
