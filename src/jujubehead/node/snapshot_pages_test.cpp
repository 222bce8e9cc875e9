#include "jujubehead/node/snapshot_pages.hpp"

#include <span> // for span

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using namespace jujubehead::node;
using namespace std::chrono_literals;
using jujubehead::wire::TablePageReply;
using jujubehead::wire::TablePageRequest;

TEST_GROUP(SnapshotPages)
{
  SnapshotPages pages;
  Instant now{ 1h };

  static TableSnapshot Snapshot(std::uint64_t aVersion, int aAccounts)
  {
    std::vector<TableRow> rows(static_cast<std::size_t>(aAccounts) + 1);
    rows[0].account = AccountId("*");
    for (int i = 0; i < aAccounts; ++i) {
      rows[static_cast<std::size_t>(i) + 1].account =
        AccountId("account-" + std::to_string(i));
    }
    for (TableRow& row : rows) {
      row.model = ModelId("m");
      row.version = "v1";
    }
    return { aVersion, Table::FromRows("t", rows).value(), {} };
  }
};

TEST(SnapshotPages, ALargeTableComesInPagesAndIsWhole)
{
  const TableSnapshot snapshot = Snapshot(7, 20000);
  SnapshotAssembly assembly;
  int count = 0;
  while (!assembly.IsWhole()) {
    CHECK(assembly.Add(pages.Page(assembly.Next(), snapshot, now)));
    ++count;
  }
  CHECK(count > 2);
  const std::string text = assembly.Take();
  const auto read = SnapshotFromCbor(
    std::span(reinterpret_cast<const std::uint8_t*>(text.data()), text.size()));
  CHECK_EQUAL(7U, read->version);
  CHECK(read->table.ToCsv() == snapshot.table.ToCsv());
}

TEST(SnapshotPages, AChangeInBetweenDoesNotMixVersions)
{
  const TableSnapshot before = Snapshot(7, 20000);
  const TableSnapshot after = Snapshot(8, 20001);
  SnapshotAssembly first;
  CHECK(first.Add(pages.Page(first.Next(), before, now)));
  CHECK(first.Add(pages.Page(first.Next(), after, now)));
  SnapshotAssembly second;
  CHECK(second.Add(pages.Page(second.Next(), after, now)));
  CHECK_FALSE(first.Add(pages.Page(first.Next(), after, now)));
}

TEST(SnapshotPages, NothingIsGivenThatIsNotThere)
{
  const TableSnapshot snapshot = Snapshot(7, 1);
  CHECK(pages.Page({ 0, 0 }, {}, now).bytes.empty());
  CHECK(pages.Page({ 6, 0 }, snapshot, now).bytes.empty());
  CHECK_FALSE(pages.Page({ 0, 0 }, snapshot, now).bytes.empty());
  CHECK(pages.Page({ 7, 1U << 30U }, snapshot, now).bytes.empty());
  CHECK_FALSE(pages.DropIfIdle(now + 9s));
  CHECK_FALSE(pages.Page({ 7, 0 }, snapshot, now + 9s).bytes.empty());
  CHECK(pages.DropIfIdle(now + 19s));
  CHECK(pages.Page({ 7, 0 }, snapshot, now + 19s).bytes.empty());
}

TEST(SnapshotPages, AnAnswerThatDoesNotFitIsRefused)
{
  SnapshotAssembly assembly;
  CHECK_FALSE(assembly.Add(TablePageReply{}));
  CHECK_FALSE(assembly.Add(TablePageReply{ 1, 2, "long" }));
  CHECK_FALSE(assembly.Add(TablePageReply{ 1, ~std::uint64_t{ 0 }, "a" }));
  CHECK(assembly.Add(TablePageReply{ 1, 2, "a" }));
  CHECK_FALSE(assembly.Add(TablePageReply{ 1, 3, "b" }));
  CHECK_FALSE(assembly.Add(TablePageReply{ 2, 2, "b" }));
  CHECK(assembly.Add(TablePageReply{ 1, 2, "b" }));
  CHECK(assembly.IsWhole());
}
