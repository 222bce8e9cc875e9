#include "jujubehead/core/routing/room_admission.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::milliseconds;

namespace {

constexpr double kTolerance = 1e-9;

ServiceLoad
LoadWithQueue(double aMeanQueue)
{
  ServiceLoad load;
  load.targets = 10;
  load.waiting = 10 * aMeanQueue;
  load.requests = load.waiting + 100;
  return load;
}

RoomRequest
OfLevel(std::size_t aLevelsBelow)
{
  RoomRequest request;
  request.levels_below = aLevelsBelow;
  return request;
}

} // namespace

TEST_GROUP(RoomAdmission){};

TEST(RoomAdmission, NothingIsRefusedWithoutAQueue)
{
  DOUBLES_EQUAL(1, AdmittedShare(LoadWithQueue(0), OfLevel(0)), kTolerance);
  DOUBLES_EQUAL(1, AdmittedShare({}, OfLevel(0)), kTolerance);
}

// The shortest objective was refused first, whatever its urgency.
TEST(RoomAdmission, TheLeastUrgentAreRefusedFirst)
{
  RoomRequest most = OfLevel(2);
  most.is_most_urgent = true;
  for (const double queue : { 0.0, 1.0, 2.0, 4.0, 8.0, 16.0, 64.0 }) {
    const ServiceLoad load = LoadWithQueue(queue);
    CHECK(AdmittedShare(load, OfLevel(0)) <= AdmittedShare(load, OfLevel(1)));
    CHECK(AdmittedShare(load, OfLevel(1)) <= AdmittedShare(load, OfLevel(2)));
    DOUBLES_EQUAL(1, AdmittedShare(load, most), kTolerance);
  }
  DOUBLES_EQUAL(0, AdmittedShare(LoadWithQueue(2), OfLevel(0)), kTolerance);
  CHECK(AdmittedShare(LoadWithQueue(2), OfLevel(1)) > 0.5);
}

// A step from all to none lets all instances admit and refuse by turns.
TEST(RoomAdmission, TheShareFallsGradually)
{
  double before = 1;
  for (int i = 0; i <= 40; ++i) {
    const double share = AdmittedShare(LoadWithQueue(i * 0.1), OfLevel(0));
    CHECK(share <= before);
    CHECK(before - share < 0.1);
    before = share;
  }
}

TEST(RoomAdmission, LargeRequestsAreRefusedSooner)
{
  const ServiceLoad load = LoadWithQueue(1.5);
  RoomRequest request = OfLevel(0);
  const double usual = AdmittedShare(load, request);
  request.size = 3;
  CHECK(AdmittedShare(load, request) < usual);
  CHECK(AdmittedShare(load, request) > 0);
}

TEST(RoomAdmission, CallersThatComeBackGoBeforeNewOnes)
{
  const ServiceLoad load = LoadWithQueue(2);
  RoomRequest request = OfLevel(0);
  const double usual = AdmittedShare(load, request);
  request.is_retry = true;
  CHECK(AdmittedShare(load, request) > usual);
}

TEST(RoomAdmission, AQueueLastsAsLongAsItsRequestsTakeTheSlots)
{
  ServiceLoad load;
  load.targets = 2;
  load.waiting = 10;
  load.requests = 30;
  CHECK(load.TimeToDrain(milliseconds(1000)) == milliseconds(500));
  load.requests = 10; // Reports of different ages.
  CHECK(load.TimeToDrain(milliseconds(1000)) == milliseconds(10000));
}
