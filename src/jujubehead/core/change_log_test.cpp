#include "jujubehead/core/change_log.hpp"

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

#include "jujubehead/core/table_diff.hpp" // for Diff

using namespace jujubehead::core;

namespace {

TableRow
ModelRow(std::uint32_t aLimit)
{
  TableRow row;
  row.account = AccountId("*");
  row.model = ModelId("m");
  row.version = "v1";
  row.max_running = aLimit;
  return row;
}

TableRow
AccountRow(std::string aAccount, std::uint32_t aWeight)
{
  TableRow row;
  row.account = AccountId(std::move(aAccount));
  row.model = ModelId("m");
  row.weight = aWeight;
  for (const auto column :
       { TableColumn::kVersion, TableColumn::kMaxRunning }) {
    row.inherited = static_cast<std::uint16_t>(
      row.inherited | 1U << static_cast<unsigned>(column));
  }
  return row;
}

ChangeEntry
Entry(std::uint64_t aVersion, std::vector<Change> aChanges)
{
  return {
    aVersion, "t" + std::to_string(aVersion), "ann", std::move(aChanges)
  };
}

const StopSubject kTarget{ StopKind::kTarget, "t1" };

std::vector<ChangeEntry>
MakeEntries()
{
  return { Entry(1, { PutRow{ ModelRow(8) }, PutRow{ AccountRow("a", 2) } }),
           Entry(2, { SetStop{ { kTarget, 77 } } }),
           Entry(3, { PutRow{ AccountRow("b", 3) } }),
           Entry(4,
                 { RemoveRow{ AccountId("a"), ModelId("m") },
                   ClearStop{ kTarget } }) };
}

} // namespace

TEST_GROUP(ChangeLog){};

TEST(ChangeLog, EntriesApplyOnlyInOrder)
{
  TableView view;
  const auto entries = MakeEntries();
  CHECK(view.Apply(entries[1]) == ApplyResult::kGap);
  CHECK_EQUAL(0U, view.Version());
  CHECK(view.Apply(entries[0]) == ApplyResult::kAdvanced);
  CHECK(view.Apply(entries[0]) == ApplyResult::kStale);
  CHECK(view.Apply(entries[1]) == ApplyResult::kAdvanced);
  CHECK(view.FindStop(kTarget) != nullptr);
  CHECK(view.Apply(std::span(entries).subspan(1)) == ApplyResult::kAdvanced);
  CHECK_EQUAL(4U, view.Version());
  CHECK(view.FindStop(kTarget) == nullptr);
  CHECK(view.Current()->table.Find(AccountId("a"), ModelId("m")) == nullptr);
  const auto* row = view.Current()->table.Find(AccountId("b"), ModelId("m"));
  CHECK_EQUAL(8U, row->max_running);
}

TEST(ChangeLog, EntriesBeforeAGapStillApply)
{
  TableView view;
  auto entries = MakeEntries();
  entries.erase(entries.begin() + 2);
  CHECK(view.Apply(entries) == ApplyResult::kGap);
  CHECK_EQUAL(2U, view.Version());
}

TEST(ChangeLog, AnOlderSnapshotNeverReplaces)
{
  TableView view;
  view.Apply(MakeEntries());
  TableSnapshot old;
  old.version = 3;
  CHECK(view.Replace(old) == ApplyResult::kStale);
  CHECK_EQUAL(4U, view.Version());
  old.version = 9;
  CHECK(view.Replace(old) == ApplyResult::kAdvanced);
  CHECK_EQUAL(0U, view.Current()->table.Rows().size());
}

TEST(ChangeLog, ASnapshotHeldEarlierStaysUnchanged)
{
  TableView view;
  const auto entries = MakeEntries();
  view.Apply(entries[0]);
  const auto before = view.Current();
  view.Apply(entries);
  CHECK_EQUAL(1U, before->version);
  CHECK(before->table.Find(AccountId("a"), ModelId("m")) != nullptr);
}

TEST(ChangeLog, EntriesAndSnapshotsRoundTripInBothEncodings)
{
  TableView view;
  for (const ChangeEntry& entry : MakeEntries()) {
    CHECK(ChangeEntryFromJson(ToJson(entry)) == entry);
    CHECK(ChangeEntryFromCbor(ToCbor(entry)) == entry);
    view.Apply(entry);
    const auto text = SnapshotFromJson(ToJson(*view.Current()));
    const auto bytes = SnapshotFromCbor(ToCbor(*view.Current()));
    CHECK(text->stops == view.Current()->stops);
    CHECK(Diff(text->table, view.Current()->table).empty());
    CHECK(Diff(bytes->table, view.Current()->table).empty());
    CHECK_EQUAL(entry.version, bytes->version);
  }
}

TEST(ChangeLog, MalformedTextIsRejected)
{
  const std::string whole = ToJson(MakeEntries()[0]);
  CHECK_FALSE(ChangeEntryFromJson("").has_value());
  CHECK_FALSE(ChangeEntryFromJson("[]").has_value());
  CHECK_FALSE(ChangeEntryFromJson("{\"version\":\"x\"}").has_value());
  CHECK_FALSE(SnapshotFromJson("{\"version\":1,\"stops\":[],\"rows\":\"x\"}")
                .has_value());
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK_FALSE(ChangeEntryFromJson(whole.substr(0, size)).has_value());
  }
}

TEST(ChangeLog, AnyBytesParseOrAreRejected)
{
  CHECK(rc::check([] {
    TableView view;
    view.Apply(MakeEntries());
    auto bytes = ToCbor(*view.Current());
    const auto edits = *rc::gen::inRange(1, 5);
    for (int i = 0; i < edits; ++i) {
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
        *rc::gen::arbitrary<std::uint8_t>();
    }
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    const auto snapshot = SnapshotFromCbor(bytes);
    const auto entry = ChangeEntryFromCbor(bytes);
    RC_ASSERT(!entry.has_value());
    RC_CLASSIFY(snapshot.has_value());
  }));
}

TEST(ChangeLog, AnyBatchingOfEntriesGivesTheSameState)
{
  CHECK(rc::check([] {
    std::vector<ChangeEntry> entries;
    const auto count = *rc::gen::inRange<std::uint64_t>(1, 30);
    for (std::uint64_t version = 1; version <= count; ++version) {
      const auto name = "a" + std::to_string(*rc::gen::inRange(0, 5));
      const auto kind = *rc::gen::inRange(0, 4);
      const Change change =
        kind == 0   ? Change(PutRow{ ModelRow(*rc::gen::inRange(1U, 9U)) })
        : kind == 1 ? Change(RemoveRow{ AccountId(name), ModelId("m") })
        : kind == 2 ? Change(SetStop{ { { StopKind::kStore, name }, 5 } })
                    : Change(PutRow{ AccountRow(name, 1) });
      entries.push_back(Entry(version, { change }));
    }
    TableView whole;
    whole.Apply(entries);
    TableView stepped;
    const auto cut = *rc::gen::inRange<std::size_t>(0, entries.size() + 1);
    stepped.Apply(std::span(entries).first(cut));
    TableView started;
    started.Replace(*SnapshotFromCbor(ToCbor(*stepped.Current())));
    for (const auto& entry : std::span(entries).subspan(cut)) {
      stepped.Apply(entry);
    }
    started.Apply(entries);
    RC_ASSERT(stepped.Current()->table.ToCsv() ==
              whole.Current()->table.ToCsv());
    RC_ASSERT(started.Current()->table.ToCsv() ==
              whole.Current()->table.ToCsv());
    RC_ASSERT(started.Current()->stops == whole.Current()->stops);
    RC_ASSERT(stepped.Version() == count);
  }));
}
