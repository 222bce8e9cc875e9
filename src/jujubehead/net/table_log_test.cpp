#include "jujubehead/net/table_log.hpp"

#include <CppUTest/TestHarness.h> // for TEST

#include "jujubehead/core/runtime_clock.hpp" // for RuntimeClock
#include "jujubehead/net/fake_platform.hpp"  // for FakeTableService
#include "jujubehead/net/run_awaitable.hpp"  // for RunAwaitable
#include "jujubehead/net/table_follow.hpp"   // for FollowOnce
#include "table_retention.hpp"               // for ForgetBefore

using namespace jujubehead::core;
using namespace jujubehead::net;

namespace {

TableRow
SomeRow(std::string aAccount, std::uint32_t aWeight)
{
  TableRow row;
  row.account = AccountId(std::move(aAccount));
  row.model = ModelId("m");
  row.version = "v1";
  row.weight = aWeight;
  return row;
}

} // namespace

TEST_GROUP(TableLog)
{
  boost::asio::io_context context;
  FakeTableService service;
  FakeObjectStore store;
  std::unique_ptr<TableLog> log = TableLog::Create(service, store);
  int sleeps = 0;
  int publishes = 0;

  PublishStep Apply(const TableView& aBase, std::vector<Change> aChanges)
  {
    const std::string token = "t" + std::to_string(++publishes);
    const SleepFor sleep = [this](Duration) -> boost::asio::awaitable<void> {
      ++sleeps;
      co_return;
    };
    return RunAwaitable(
      context,
      Publish(*log, { aBase, std::move(aChanges), token, "ann" }, sleep));
  }
  PublishStep ApplyNow(std::vector<Change> aChanges)
  {
    return Apply(Current(), std::move(aChanges));
  }
  TableView Current()
  {
    return RunAwaitable(context, log->ReadCurrent());
  }
  boost::asio::awaitable<bool> Forget(std::uint64_t aVersion)
  {
    co_await jujubehead::net::detail::ForgetBefore(service, store, aVersion);
    co_return true;
  }
  std::uint64_t Weight(const char* aAccount)
  {
    const TableView view = Current();
    return view.Current()
      ->table.Find(AccountId(aAccount), ModelId("m"))
      ->weight;
  }
};

TEST(TableLog, WhatWasPublishedIsRead)
{
  CHECK_EQUAL(0U, Current().Version());
  const auto first = ApplyNow({ PutRow{ SomeRow("*", 1) } });
  CHECK_EQUAL(1U, std::get<Published>(first).version);
  ApplyNow({ PutRow{ SomeRow("a", 2) }, PutRow{ SomeRow("b", 3) } });
  CHECK_EQUAL(2U, Current().Version());
  CHECK_EQUAL(3U, Weight("b"));
}

TEST(TableLog, ALostAnswerIsSettledWithoutWritingTwice)
{
  service.lose_answers = 1;
  auto step = ApplyNow({ PutRow{ SomeRow("*", 1) } });
  CHECK_EQUAL(1U, std::get<Published>(step).version);
  service.lose_writes = 2;
  step = ApplyNow({ PutRow{ SomeRow("a", 2) } });
  CHECK_EQUAL(2U, std::get<Published>(step).version);
  CHECK_EQUAL(2U, Current().Version());
  CHECK_EQUAL(3, sleeps);
}

TEST(TableLog, RacingOperatorsKeepEachOthersRows)
{
  ApplyNow({ PutRow{ SomeRow("*", 1) } });
  const TableView base = Current();
  Apply(base, { PutRow{ SomeRow("a", 2) } });
  const auto other = Apply(base, { PutRow{ SomeRow("b", 3) } });
  CHECK_EQUAL(3U, std::get<Published>(other).version);
  const auto same = Apply(base, { PutRow{ SomeRow("a", 9) } });
  CHECK_EQUAL(std::string("row a,m"),
              std::get<Conflicted>(same).conflicts.at(0).subject);
  CHECK_EQUAL(2U, Weight("a"));
}

TEST(TableLog, ManyRowsComeInForceAtOnceOrNotAtAll)
{
  std::vector<Change> changes{ PutRow{ SomeRow("*", 1) } };
  for (int i = 0; i < 5000; ++i) {
    changes.emplace_back(PutRow{ SomeRow("a" + std::to_string(i), 1) });
  }
  store.down = true;
  CHECK(std::holds_alternative<GaveUp>(ApplyNow(changes)));
  CHECK_EQUAL(0U, Current().Version());
  store.down = false;
  CHECK_EQUAL(1U, std::get<Published>(ApplyNow(changes)).version);
  CHECK_EQUAL(5001U, Current().Current()->table.Rows().size());
}

TEST(TableLog, SnapshotsSpareReadersTheWholeSequence)
{
  ApplyNow({ PutRow{ SomeRow("*", 1) } });
  for (std::uint32_t i = 2; i <= 450; ++i) {
    ApplyNow({ PutRow{ SomeRow("a", i) } });
  }
  service.reads = 0;
  CHECK_EQUAL(450U, Current().Version());
  CHECK_EQUAL(2U, service.reads);
  const auto at = RunAwaitable(context, log->ReadAt(333));
  CHECK_EQUAL(333U, at->Version());
  const auto* row = at->Current()->table.Find(AccountId("a"), ModelId("m"));
  CHECK_EQUAL(333U, row->weight);
  CHECK_FALSE(RunAwaitable(context, log->ReadAt(999)).has_value());
}

TEST(TableLog, WhatIsTooOldToLookBackAtIsDeleted)
{
  ApplyNow({ PutRow{ SomeRow("*", 1) } });
  for (std::uint32_t i = 2; i <= 850; ++i) {
    ApplyNow({ PutRow{ SomeRow("a", i) } });
  }
  const std::size_t objects = store.objects.size();
  for (int i = 0; i < 3; ++i) {
    // One call deletes some pages only.
    RunAwaitable(context, Forget(500));
  }
  CHECK_EQUAL(850U, Current().Version());
  CHECK_FALSE(RunAwaitable(context, log->ReadAt(450)).has_value());
  CHECK_EQUAL(700U, RunAwaitable(context, log->ReadAt(700))->Version());
  CHECK(store.objects.size() < objects);
  CHECK_EQUAL(
    std::string("00000000000000000500"),
    RunAwaitable(context, service.Query("change", "", 1)).at(0).key.sk);
}

TEST(TableLog, AnUnreadableServiceIsSaid)
{
  service.down = true;
  const auto step = Apply(TableView(), { PutRow{ SomeRow("*", 1) } });
  CHECK_EQUAL(std::string("down"), std::get<GaveUp>(step).why);
  CHECK_THROWS(TableServiceError, Current());
}

TEST(TableLog, AFollowerKeepsUpAndFallsBackToItsPeers)
{
  ApplyNow({ PutRow{ SomeRow("*", 1) } });
  TableFollower follower{ {} };
  const AskPeerSnapshot ask = [this](InstanceId /*aPeer*/)
    -> boost::asio::awaitable<std::optional<std::string>> {
    service.down = false;
    const TableView view = co_await log->ReadCurrent();
    service.down = true;
    const auto cbor = ToCbor(*view.Current());
    co_return std::string(cbor.begin(), cbor.end());
  };
  const auto follow = [&] {
    return RunAwaitable(context, FollowOnce(*log, follower, ask));
  };
  RuntimeClock::Pause();
  follow();
  follow();
  CHECK_FALSE(follower.NotReady().has_value());
  ApplyNow({ PutRow{ SomeRow("a", 2) } });
  RuntimeClock::Advance(follow() - RuntimeClock::now());
  follow();
  CHECK_EQUAL(2U, follower.View().Version());
  ApplyNow({ PutRow{ SomeRow("a", 3) } });
  service.down = true;
  follower.OnPeerVersion(InstanceId("peer"), 3);
  RuntimeClock::Advance(std::chrono::seconds(1));
  follow();
  follow();
  CHECK_EQUAL(3U, follower.View().Version());
  RuntimeClock::Resume();
}
