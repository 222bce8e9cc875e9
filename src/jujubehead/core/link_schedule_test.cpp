#include "jujubehead/core/link_schedule.hpp"

#include <map> // for map

#include <rapidcheck.h> // for rc::check

// Last: its macros change the meaning of new.
#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using namespace std::chrono_literals;

namespace {

constexpr double kRate = 1000;
constexpr Instant kStart{ 1h };

Transfer
Move(std::uint64_t aId,
     TransferKind aKind,
     const char* aAccount,
     std::uint64_t aBytes)
{
  return { aId, aKind, AccountId(aAccount), 1, aBytes, kStart + 1h };
}

Transfer
Import(std::uint64_t aId, const char* aAccount, std::uint64_t aBytes = 1000)
{
  return Move(aId, TransferKind::kImport, aAccount, aBytes);
}

Transfer
Export(std::uint64_t aId, const char* aAccount, std::uint64_t aBytes = 1000)
{
  return Move(aId, TransferKind::kExport, aAccount, aBytes);
}

} // namespace

TEST_GROUP(LinkSchedule)
{
  LinkSchedule link{ LinkSettings{ kRate, 1, 1, 1024 } };

  std::uint64_t StartOne()
  {
    const auto started = link.Start(kStart);
    CHECK_EQUAL(1, started.size());
    return started.front().id;
  }
};

TEST(LinkSchedule, ImportsGoBeforeExports)
{
  link.Submit(Export(1, "a"));
  link.Submit(Import(2, "a"));
  link.Submit(Import(3, "a"));
  CHECK_EQUAL(2, StartOne());
  link.Finish(2, kStart);
  CHECK_EQUAL(3, link.Start(kStart).front().id);
}

TEST(LinkSchedule, AnExportRunsWhenNoImportWaits)
{
  link.Submit(Export(1, "a"));
  CHECK_EQUAL(1, StartOne());
  CHECK_EQUAL(1, link.Running(TransferKind::kExport));
}

TEST(LinkSchedule, ABurstOfOneAccountDoesNotDelayAnother)
{
  for (std::uint64_t id = 1; id <= 10; ++id) {
    link.Submit(Import(id, "burst"));
  }
  link.Submit(Import(11, "other"));
  const auto first = StartOne();
  link.Finish(first, kStart);
  const auto second = StartOne();
  CHECK(first == 11 || second == 11);
}

TEST(LinkSchedule, ExpectedWaitIncludesGrantedTransfers)
{
  CHECK(link.ExpectedWait(TransferKind::kImport, AccountId("a"), kStart) == 0s);
  link.Submit(Import(1, "a"));
  StartOne();
  link.Submit(Import(2, "a"));
  CHECK(link.ExpectedWait(TransferKind::kImport, AccountId("a"), kStart) == 2s);
  CHECK(link.ExpectedWait(
          TransferKind::kImport, AccountId("a"), kStart + 500ms) == 1500ms);
}

TEST(LinkSchedule, TheRateEstimateFollowsASlowerLink)
{
  Instant now = kStart;
  for (std::uint64_t id = 1; id <= 40; ++id) {
    link.Submit(Import(id, "a"));
    link.Start(now);
    now += 4s;
    link.Finish(id, now);
  }
  DOUBLES_EQUAL(kRate / 4, link.BytesPerSecond(), 1);
}

TEST(LinkSchedule, DropsExpiredAndCancelledTransfers)
{
  link.Submit(Import(1, "a"));
  StartOne();
  link.Submit(Import(2, "a"));
  link.Submit(Import(3, "b"));
  link.Cancel(2, kStart);
  const auto expired = link.Expire(kStart + 2h);
  CHECK_EQUAL(1, expired.size());
  CHECK_EQUAL(3, expired.front().id);
  CHECK_EQUAL(0, link.Waiting(TransferKind::kImport));
  link.Cancel(1, kStart);
  CHECK_EQUAL(0, link.Running(TransferKind::kImport));
}

TEST(LinkSchedule, AFullQueueRejectsTransfers)
{
  LinkSchedule small{ LinkSettings{ kRate, 1, 1, 1 } };
  CHECK(small.Submit(Import(1, "a")));
  CHECK(!small.Submit(Import(2, "a")));
}

TEST(LinkSchedule, WaitingAccountsShareTheLinkByWeight)
{
  CHECK(rc::check([](std::uint8_t aWeight) {
    const double weight = 1 + aWeight % 4;
    LinkSchedule shared{ LinkSettings{ kRate, 1, 1, 1024 } };
    for (std::uint64_t id = 0; id < 400; ++id) {
      auto transfer = Import(id, id % 2 == 0 ? "heavy" : "light");
      transfer.weight = id % 2 == 0 ? weight : 1;
      shared.Submit(transfer);
    }
    std::map<std::string, double> moved;
    for (int i = 0; i < 100; ++i) {
      const auto started = shared.Start(kStart).front();
      moved[started.account.Text()] += 1;
      shared.Finish(started.id, kStart);
    }
    const double share = moved["heavy"] / moved["light"];
    RC_ASSERT(share > weight * 0.9);
    RC_ASSERT(share < weight * 1.1);
  }));
}
