#include "jujubehead/core/routing/concurrency_share.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant kStart{ std::chrono::hours(1) };
constexpr TargetCapacity kPlain{ 6, 0 };
constexpr TargetCapacity kModel{ 64, 90000 };

std::uint32_t
SumOfSlots(const TargetCapacity& aCapacity, std::size_t aInstances)
{
  std::uint32_t sum = 0;
  for (std::size_t rank = 0; rank < aInstances; ++rank) {
    sum += ConcurrencyShare::Slots(aCapacity, { rank, aInstances });
  }
  return sum;
}

} // namespace

TEST_GROUP(ConcurrencyShare)
{
  ConcurrencyShare share;
};

TEST(ConcurrencyShare, AllSharesTogetherAreTheSlotsInAnyFleet)
{
  for (const std::size_t instances : { 1UL, 2UL, 4UL, 9UL, 18UL, 984UL }) {
    UNSIGNED_LONGS_EQUAL(6, SumOfSlots(kPlain, instances));
    UNSIGNED_LONGS_EQUAL(64, SumOfSlots(kModel, instances));
  }
}

TEST(ConcurrencyShare, ATargetWithoutSlotsGetsNothing)
{
  UNSIGNED_LONGS_EQUAL(0, SumOfSlots({}, 9));
  CHECK_FALSE(share.MaySend({}, { 0, 9 }, 0, kStart));
}

TEST(ConcurrencyShare, ARequestTakesAPlaceUntilItsEnd)
{
  const HolderRank last{ 5, 6 };
  CHECK(share.MaySend(kPlain, last, 0, kStart));
  share.OnBegin(0);
  CHECK_FALSE(share.MaySend(kPlain, last, 0, kStart));
  share.OnEnd(0);
  CHECK(share.MaySend(kPlain, last, 0, kStart));
}

// The target goes on with it, and another one in its place is one too many.
TEST(ConcurrencyShare, ARequestGivenUpOnTakesAPlaceForAWhile)
{
  const HolderRank last{ 5, 6 };
  share.OnBegin(0);
  share.OnAbandoned(0, kStart + seconds(1), kStart);
  UNSIGNED_LONGS_EQUAL(1, share.InFlight(kStart));
  CHECK_FALSE(share.MaySend(kPlain, last, 0, kStart + milliseconds(999)));
  CHECK(share.MaySend(kPlain, last, 0, kStart + seconds(1)));
}

TEST(ConcurrencyShare, NothingIsSentForASecondAfterARejection)
{
  const HolderRank first{ 0, 9 };
  share.OnRejected(kStart);
  CHECK_FALSE(share.MaySend(kPlain, first, 0, kStart + milliseconds(999)));
  CHECK(share.MaySend(kPlain, first, 0, kStart + seconds(1)));
}

TEST(ConcurrencyShare, PromptsShareTheMemory)
{
  const HolderRank second{ 1, 9 };
  CHECK(share.MaySend(kModel, second, 30000, kStart));
  CHECK_FALSE(share.MaySend(kModel, second, 30001, kStart));
  share.OnBegin(20000);
  CHECK(share.MaySend(kModel, second, 10000, kStart));
  CHECK_FALSE(share.MaySend(kModel, second, 10001, kStart));
}

// Prompts beyond a share would be refused for as long as a service is brittle.
TEST(ConcurrencyShare, TheFirstHolderSendsALongPromptAlone)
{
  const HolderRank first{ 0, 9 };
  CHECK(share.MaySend(kModel, first, 80000, kStart));
  CHECK_FALSE(share.MaySend(kModel, first, kModel.tokens + 1, kStart));
  share.OnBegin(10);
  CHECK_FALSE(share.MaySend(kModel, first, 80000, kStart));
}

TEST_GROUP(BrittleSignal)
{
  BrittleSignal signal{ kStart };
  static constexpr Duration kLater = seconds(10); // Long after the start.

  void CheckMode(SharingMode aMode, Duration aAfter)
  {
    CHECK(signal.ModeAt(kStart + aAfter) == aMode);
  }
};

TEST(BrittleSignal, RepliesSetAndEndIt)
{
  CheckMode(SharingMode::kCautious, kLater);
  CHECK(signal.OnReply(5, kStart, kStart + seconds(1)));
  CheckMode(SharingMode::kShare, kLater);
  CHECK_FALSE(signal.OnReply(5, kStart + seconds(2), kStart + seconds(3)));
  CHECK(signal.OnReply({}, kStart + seconds(2), kStart + seconds(3)));
  CheckMode(SharingMode::kUnlimited, kLater);
}

// Targets go on with requests of the process before, which nobody counts.
TEST(BrittleSignal, AProcessThatStartsLeavesBrittleTargetsAloneForAWhile)
{
  signal.OnReply(5, kStart, kStart + milliseconds(10));
  CheckMode(SharingMode::kNone, BrittleSignal::kMaxLinger - milliseconds(1));
  CheckMode(SharingMode::kShare, BrittleSignal::kMaxLinger);
}

// Replies overtake each other: one to an earlier request is older news.
TEST(BrittleSignal, ALateReplyDoesNotChangeIt)
{
  signal.OnReply(5, kStart, kStart + seconds(1));
  CHECK_FALSE(signal.OnReply({}, kStart, kStart + seconds(2)));
  CHECK(signal.IsBrittle());
}

TEST_GROUP(BrittleAdmission){};

TEST(BrittleAdmission, LessUrgentRequestsLeavePlaces)
{
  CHECK(IsAdmitted({ 11, 1 }, 0));
  CHECK_FALSE(IsAdmitted({ 11, 5 }, 5));
  CHECK(IsAdmitted({ 11, 6 }, 5));
  CHECK(IsAdmitted({ 1, 1 }, 9));
  CHECK_FALSE(IsAdmitted({ 0, 0 }, 0));
}
