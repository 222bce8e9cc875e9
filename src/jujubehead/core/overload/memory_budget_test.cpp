#include "jujubehead/core/overload/memory_budget.hpp"

#include <array>  // for array
#include <deque>  // for deque
#include <memory> // for shared_ptr, unique_ptr
#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

using namespace jujubehead::core;
using Phase = MemoryBudget::Phase;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kMaxBytes = 16UL * 1024 * 1024;
constexpr std::size_t kLarge = 4UL * 1024 * 1024;
constexpr std::size_t kSmall = 64UL * 1024;

/// A transfer and the bytes that it holds.
struct Transfer
{
  Transfer(const std::shared_ptr<MemoryBudget>& aBudget, Phase aPhase)
    : held(aBudget, aPhase, [this] { bytes = 0; })
  {
  }

  bool Add(std::size_t aBytes, Instant aNow)
  {
    const bool has_room = held.Resize(bytes + aBytes, aNow);
    bytes += has_room ? aBytes : 0;
    return has_room;
  }

  std::size_t bytes = 0;
  MemoryBudget::Reservation held;
};

} // namespace

TEST_GROUP(MemoryBudget)
{
  std::shared_ptr<MemoryBudget> budget =
    std::make_shared<MemoryBudget>(kMaxBytes);
  Instant now{ seconds(100) };
  std::deque<Transfer> transfers;

  Transfer& Begin(Phase aPhase)
  {
    return transfers.emplace_back(budget, aPhase);
  }
  /// Begins requests until one finds no room. @return how many did.
  std::size_t Fill(Phase aPhase, std::size_t aBytes)
  {
    std::size_t count = 0;
    while (Begin(aPhase).Add(aBytes, now)) {
      ++count;
    }
    return count;
  }
};

// Transfers, each within its own bound, exceeded the memory of the process
// together.
TEST(MemoryBudget, TheSumIsBoundedHoweverManyGrow)
{
  CHECK(rc::check([] {
    const auto all = std::make_shared<MemoryBudget>(1000);
    std::vector<std::unique_ptr<Transfer>> some;
    Instant time{ seconds(100) };
    const auto steps = *rc::gen::container<std::vector<unsigned>>(
      rc::gen::inRange<unsigned>(0, 400));
    for (const unsigned step : steps) {
      time += milliseconds(step);
      const std::size_t index = step % 20;
      if (index >= some.size()) {
        some.push_back(
          std::make_unique<Transfer>(all, static_cast<Phase>(step % 4)));
      } else if (step % 7 == 0) {
        some.erase(some.begin() + static_cast<std::ptrdiff_t>(index));
      } else if (step % 5 == 0) {
        some[index]->held.SetPhase(static_cast<Phase>(step % 4), time);
      } else {
        some[index]->Add(step, time);
        some[index]->held.OnProgress(step, time);
      }
      std::size_t held = 0;
      for (const auto& one : some) {
        held += one->bytes;
      }
      RC_ASSERT(held == all->Bytes());
      RC_ASSERT(held <= all->MaxBytes());
    }
  }));
}

// Uploads that had stopped shut out all others until their timeout.
TEST(MemoryBudget, StalledRequestsYieldTheLargestFirst)
{
  Transfer& small = Begin(Phase::kReceiving);
  CHECK(small.Add(kSmall, now));
  CHECK(Fill(Phase::kReceiving, kLarge) > 0);
  now += MemoryBudget::kSlowAllowance;
  CHECK(Begin(Phase::kReceiving).Add(kLarge, now));
  LONGS_EQUAL(1, budget->Revocations());
  CHECK_FALSE(small.held.IsRevoked());
}

// Newer uploads took the room of those that were nearly complete, so that none
// was ever completed.
TEST(MemoryBudget, RequestsThatMakeProgressKeepTheirs)
{
  CHECK(Fill(Phase::kReceiving, kLarge) > 0);
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(100);
    for (Transfer& one : transfers) {
      one.held.OnProgress(kSmall, now);
    }
    CHECK_FALSE(Begin(Phase::kReceiving).Add(kLarge, now));
  }
  LONGS_EQUAL(0, budget->Revocations());
}

// Single bytes kept an upload alive for days.
TEST(MemoryBudget, ATrickleIsNoProgress)
{
  CHECK(Fill(Phase::kReceiving, kLarge) > 0);
  for (int i = 0; i < 3; ++i) {
    now += milliseconds(1500);
    for (Transfer& one : transfers) {
      one.held.OnProgress(1, now);
    }
  }
  now += milliseconds(1);
  CHECK(Begin(Phase::kReceiving).Add(kLarge, now));
}

// A request that a target may be running must not be given up.
TEST(MemoryBudget, HandledRequestsAreNotRevoked)
{
  CHECK(Fill(Phase::kHandling, kLarge) > 0);
  now += seconds(100);
  CHECK_FALSE(Begin(Phase::kReceiving).Add(kLarge, now));
  LONGS_EQUAL(0, budget->Revocations());
}

TEST(MemoryBudget, SmallRequestsHaveRoomBesideLargeOnes)
{
  CHECK(Fill(Phase::kHandling, kLarge) > 0);
  CHECK(Begin(Phase::kReceiving).Add(kSmall, now));
}

TEST(MemoryBudget, RequestsAndRepliesDoNotStarveEachOther)
{
  CHECK(Fill(Phase::kHandling, kSmall) > 0);
  Transfer& reply = Begin(Phase::kReceivingReply);
  CHECK(reply.Add(kSmall, now));
  CHECK_FALSE(reply.held.IsRevoked());
}

// A valid reply must not go before those that have no end.
TEST(MemoryBudget, TheLargestIncompleteReplyIsRevoked)
{
  Transfer& valid = Begin(Phase::kReceivingReply);
  CHECK(valid.Add(kSmall, now));
  std::array<Transfer*, 4> endless{};
  for (Transfer*& one : endless) {
    one = &Begin(Phase::kReceivingReply);
  }
  for (int round = 0; round < 1000; ++round) {
    for (Transfer* const one : endless) {
      one->Add(kSmall, now);
    }
    CHECK(valid.Add(1, now));
  }
  CHECK_FALSE(valid.held.IsRevoked());
  LONGS_EQUAL(kSmall + 1000, valid.bytes);
  CHECK(budget->Revocations() > 0);
}

// A caller that does not read held its reply until the write's timeout.
TEST(MemoryBudget, AReplyThatIsNotReadYields)
{
  Transfer& unread = Begin(Phase::kSendingReply);
  CHECK(unread.Add(kMaxBytes / 2, now));
  now += MemoryBudget::kSlowAllowance;
  CHECK(Begin(Phase::kReceivingReply).Add(kMaxBytes / 2, now));
  CHECK(unread.held.IsRevoked());
}

// Revoking memory that does not make enough room would end requests in vain.
TEST(MemoryBudget, NothingIsRevokedInVain)
{
  CHECK(Fill(Phase::kHandling, kLarge) > 0);
  Transfer& slow = Begin(Phase::kReceiving);
  CHECK(slow.Add(kSmall, now));
  now += MemoryBudget::kSlowAllowance;
  CHECK_FALSE(Begin(Phase::kReceiving).Add(kLarge, now));
  CHECK_FALSE(slow.held.IsRevoked());
}

TEST(MemoryBudget, WhatEndsFreesItsShare)
{
  for (int i = 0; i < 10; ++i) {
    Transfer one(budget, Phase::kReceivingReply);
    CHECK(one.Add(kMaxBytes / 2, now));
  }
  LONGS_EQUAL(0, budget->Bytes());
}
