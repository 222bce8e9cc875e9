#include "jujubehead/core/table_publish.hpp"

#include <algorithm> // for any_of, count_if
#include <optional>  // for optional
#include <set>       // for set

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

using namespace jujubehead::core;

namespace {

constexpr std::size_t kRows = 4;

TableRow
MakeRow(std::size_t aIndex, std::uint32_t aValue)
{
  TableRow row;
  row.account = AccountId(aIndex == 0 ? "*" : "a" + std::to_string(aIndex));
  row.model = ModelId("m");
  row.version = "v1";
  row.max_running = 5;
  row.weight = aValue;
  return row;
}

/// The log of the table service, with writes that are still in flight.
struct FakeLog
{
  std::vector<ChangeEntry> entries;
  std::vector<ChangeEntry> delayed;

  bool Write(const ChangeEntry& aEntry)
  {
    if (aEntry.version != entries.size() + 1) {
      return false;
    }
    entries.push_back(aEntry);
    return true;
  }

  void WriteDelayed(std::size_t aIndex)
  {
    Write(delayed[aIndex]);
    delayed.erase(delayed.begin() + static_cast<std::ptrdiff_t>(aIndex));
  }

  [[nodiscard]] std::size_t Count(const std::string& aAuthor) const
  {
    return static_cast<std::size_t>(
      std::count_if(entries.begin(), entries.end(), [&](const auto& aEntry) {
        return aEntry.author == aAuthor;
      }));
  }

  [[nodiscard]] TableView View(std::size_t aVersion) const
  {
    TableView view;
    view.Apply(std::span(entries).first(aVersion));
    return view;
  }
};

/// Ways to run the publisher's steps; all but the first have a fault.
enum class Variant
{
  kRight,
  kIgnoresChanges,       ///< Ignores the changes of others' entries.
  kIgnoresUnknownCommit, ///< Treats a lost answer as a failure, starts anew.
};

/// One operator with one set of changes.
class Operator
{
public:
  Operator(const FakeLog& aLog,
           std::string aName,
           std::vector<Change> aChanges,
           Variant aVariant)
    : m_name(std::move(aName))
    , m_changes(std::move(aChanges))
    , m_variant(aVariant)
    , m_base(aLog.entries.size())
    , m_publish(aLog.View(m_base), m_changes, m_name, m_name)
    , m_step(m_publish.Start())
  {
  }

  [[nodiscard]] bool IsOver() const
  {
    return !std::holds_alternative<ReadEntries>(m_step) &&
           !std::holds_alternative<CommitEntry>(m_step) &&
           !std::holds_alternative<BackOff>(m_step);
  }
  [[nodiscard]] const PublishStep& Result() const { return m_step; }
  [[nodiscard]] const std::string& Name() const { return m_name; }
  [[nodiscard]] std::uint64_t Base() const { return m_base; }

  void Step(FakeLog& aLog)
  {
    PublishAnswer answer = Continue{};
    if (const auto* read = std::get_if<ReadEntries>(&m_step)) {
      answer = Read(aLog, read->after);
    } else if (const auto* commit = std::get_if<CommitEntry>(&m_step)) {
      answer = Commit(aLog, commit->entry);
    }
    if (m_variant == Variant::kIgnoresUnknownCommit &&
        std::holds_alternative<CommitUnknown>(answer)) {
      m_publish = TablePublish(
        aLog.View(aLog.entries.size()), m_changes, m_name + "+", m_name);
      m_step = m_publish.Start();
      return;
    }
    m_step = m_publish.On(std::move(answer));
  }

private:
  PublishAnswer Read(const FakeLog& aLog, std::uint64_t aAfter) const
  {
    if (*rc::gen::weightedElement<bool>({ { 6, false }, { 1, true } })) {
      return Unavailable{ "down" };
    }
    // A read may be stale, and a page may be short.
    const auto end = *rc::gen::inRange<std::size_t>(
      aAfter, std::max<std::size_t>(aAfter, aLog.entries.size()) + 1);
    EntriesRead read;
    for (std::size_t i = aAfter; i < end; ++i) {
      read.entries.push_back(aLog.entries[i]);
      if (m_variant == Variant::kIgnoresChanges &&
          aLog.entries[i].author != m_name) {
        read.entries.back().changes.clear();
      }
    }
    return read;
  }

  static PublishAnswer Commit(FakeLog& aLog, const ChangeEntry& aEntry)
  {
    const bool repeated = aEntry.version <= aLog.entries.size() &&
                          aLog.entries[aEntry.version - 1] == aEntry;
    switch (*rc::gen::inRange(0, 7)) {
      case 0:
        return Unavailable{ "throttled" };
      case 1:
        return CommitUnknown{ "request lost" };
      case 2:
        aLog.delayed.push_back(aEntry);
        return CommitUnknown{ "late" };
      case 3:
        aLog.Write(aEntry);
        return CommitUnknown{ "the answer was lost" };
      case 4:
        // The service forgets tokens after a while.
        return aLog.Write(aEntry) ? PublishAnswer(CommitDone{}) : HeadMoved{};
      default:
        return repeated || aLog.Write(aEntry) ? PublishAnswer(CommitDone{})
                                              : HeadMoved{};
    }
  }

  std::string m_name;
  std::vector<Change> m_changes;
  Variant m_variant;
  std::uint64_t m_base;
  TablePublish m_publish;
  PublishStep m_step;
};

std::vector<Change>
RandomChanges(std::uint32_t aValue)
{
  std::vector<Change> changes;
  for (std::size_t row = 0; row < kRows; ++row) {
    const int kind = *rc::gen::inRange(0, 5);
    if (kind == 0 && row != 0) {
      changes.emplace_back(RemoveRow{ MakeRow(row, 1).account, ModelId("m") });
    } else if (kind <= 2) {
      changes.emplace_back(PutRow{ MakeRow(row, aValue) });
    }
  }
  if (changes.empty()) {
    changes.emplace_back(SetStop{ { { StopKind::kTarget, "t" }, aValue } });
  }
  return changes;
}

std::set<std::string>
Subjects(const std::vector<Change>& aChanges)
{
  std::set<std::string> subjects;
  for (const Change& change : aChanges) {
    subjects.insert(ChangeSubject(change));
  }
  return subjects;
}

/// No entry overwrites what another operator changed since the entry's base.
bool
NoOverwrites(const FakeLog& aLog, const std::vector<Operator>& aOperators)
{
  for (const Operator& one : aOperators) {
    for (const ChangeEntry& own : aLog.entries) {
      if (own.author != one.Name()) {
        continue;
      }
      const std::set<std::string> subjects = Subjects(own.changes);
      for (std::size_t i = one.Base(); i + 1 < own.version; ++i) {
        for (const std::string& other : Subjects(aLog.entries[i].changes)) {
          if (subjects.contains(other)) {
            return false;
          }
        }
      }
    }
  }
  return true;
}

/// The result that an operator received agrees with the log.
bool
ResultMatchesLog(const FakeLog& aLog, const Operator& aOperator)
{
  const std::size_t count = aLog.Count(aOperator.Name());
  const PublishStep& result = aOperator.Result();
  if (const auto* published = std::get_if<Published>(&result)) {
    return count == 1 &&
           aLog.entries[published->version - 1].author == aOperator.Name();
  }
  if (const auto* gave_up = std::get_if<GaveUp>(&result)) {
    return count == 0 || (count == 1 && gave_up->may_be_applied);
  }
  return count == 0;
}

/// One run of concurrent operators. @return whether all invariants held.
bool
InvariantsHold(Variant aVariant)
{
  FakeLog log;
  log.Write({ 1, "first", "first", { PutRow{ MakeRow(0, 1) } } });
  std::vector<Operator> operators;
  const auto steps = *rc::gen::inRange(10, 120);
  for (int i = 0; i < steps; ++i) {
    const auto pick = *rc::gen::inRange<std::size_t>(0, 8);
    if (pick >= operators.size()) {
      const auto number = static_cast<std::uint32_t>(operators.size() + 2);
      operators.emplace_back(
        log, "op" + std::to_string(number), RandomChanges(number), aVariant);
    } else if (!operators[pick].IsOver()) {
      operators[pick].Step(log);
    }
    if (!log.delayed.empty() && *rc::gen::inRange(0, 3) == 0) {
      log.WriteDelayed(*rc::gen::inRange<std::size_t>(0, log.delayed.size()));
    }
  }
  while (!log.delayed.empty()) {
    log.WriteDelayed(0);
  }
  bool holds = NoOverwrites(log, operators);
  for (const Operator& one : operators) {
    holds = holds && log.Count(one.Name()) <= 1 &&
            (!one.IsOver() || ResultMatchesLog(log, one));
  }
  for (std::size_t version = 0; version <= log.entries.size(); ++version) {
    holds = holds && log.View(version).Current()->table.Check("t").empty();
  }
  return holds;
}

/// @return whether any of many runs violates an invariant.
bool
AnyRunViolatesInvariants(Variant aVariant)
{
  bool broke = false;
  CHECK(rc::check([&] { broke = broke || !InvariantsHold(aVariant); }));
  return broke;
}

ChangeEntry
EntryOf(std::uint64_t aVersion, std::vector<Change> aChanges)
{
  return {
    aVersion, "t" + std::to_string(aVersion), "other", std::move(aChanges)
  };
}

} // namespace

TEST_GROUP(TablePublish)
{
  TableView base;
  void setup() override
  {
    base.Apply(EntryOf(1, { PutRow{ MakeRow(0, 1) } }));
  }
  TablePublish Publish(std::vector<Change> aChanges) const
  {
    return { base, std::move(aChanges), "own", "me" };
  }
};

TEST(TablePublish, RebasesOverOtherRows)
{
  TablePublish publish = Publish({ PutRow{ MakeRow(1, 2) } });
  const auto step = publish.On(
    EntriesRead{ { EntryOf(2, { PutRow{ MakeRow(2, 2) } }) }, true });
  const auto& commit = std::get<CommitEntry>(step);
  CHECK_EQUAL(3U, commit.entry.version);
  CHECK_EQUAL(3U, std::get<Published>(publish.On(CommitDone{})).version);
}

TEST(TablePublish, NamesTheRowsThatOthersChanged)
{
  TablePublish publish =
    Publish({ PutRow{ MakeRow(1, 2) }, PutRow{ MakeRow(2, 2) } });
  const auto step = publish.On(
    EntriesRead{ { EntryOf(2, { PutRow{ MakeRow(2, 7) } }) }, true });
  const auto& conflicts = std::get<Conflicted>(step).conflicts;
  CHECK_EQUAL(1U, conflicts.size());
  CHECK(conflicts[0] == ChangeConflict({ "row a2,m", 2, "other" }));
}

TEST(TablePublish, TheSameChangeByAnotherIsNoConflict)
{
  TablePublish publish = Publish({ PutRow{ MakeRow(1, 2) } });
  const auto step = publish.On(
    EntriesRead{ { EntryOf(2, { PutRow{ MakeRow(1, 2) } }) }, true });
  CHECK_EQUAL(2U, std::get<AlreadyApplied>(step).version);
}

TEST(TablePublish, RefusesAMergedTableThatIsInvalid)
{
  TablePublish publish = Publish({ PutRow{ MakeRow(1, 2) } });
  const auto step = publish.On(EntriesRead{
    { EntryOf(2, { RemoveRow{ AccountId("*"), ModelId("m") } }) }, true });
  CHECK(Render(std::get<Refused>(step).findings).find("no row of account") !=
        std::string::npos);
}

TEST(TablePublish, ALostAnswerIsReadBackByItsToken)
{
  TablePublish publish = Publish({ PutRow{ MakeRow(1, 2) } });
  auto step = publish.On(EntriesRead{});
  ChangeEntry own = std::get<CommitEntry>(step).entry;
  CHECK(std::holds_alternative<BackOff>(publish.On(CommitUnknown{ "" })));
  CHECK(std::holds_alternative<ReadEntries>(publish.On(Continue{})));
  step = publish.On(
    EntriesRead{ { own, EntryOf(3, { PutRow{ MakeRow(1, 9) } }) }, true });
  CHECK_EQUAL(2U, std::get<Published>(step).version);
}

TEST(TablePublish, AnUnresolvedWriteIsRepeatedUnchanged)
{
  TablePublish publish = Publish({ PutRow{ MakeRow(1, 2) } });
  const ChangeEntry first =
    std::get<CommitEntry>(publish.On(EntriesRead{})).entry;
  publish.On(CommitUnknown{ "" });
  publish.On(Continue{});
  CHECK(std::get<CommitEntry>(publish.On(EntriesRead{})).entry == first);
}

TEST(TablePublish, GivesUpSayingWhetherItMayBeInForce)
{
  for (const bool unsettled : { false, true }) {
    TablePublish publish = Publish({ PutRow{ MakeRow(1, 2) } });
    PublishStep step = publish.On(EntriesRead{});
    if (unsettled) {
      publish.On(CommitUnknown{ "lost" });
    }
    while (!std::holds_alternative<GaveUp>(step)) {
      step = publish.On(Unavailable{ "down" });
    }
    CHECK_EQUAL(unsettled, std::get<GaveUp>(step).may_be_applied);
    CHECK_EQUAL(std::string("down"), std::get<GaveUp>(step).why);
  }
}

TEST(TablePublish, GivesUpWhenEntriesWereDeleted)
{
  TablePublish publish = Publish({ PutRow{ MakeRow(1, 2) } });
  const auto step = publish.On(EntriesRead{ { EntryOf(9, {}) }, true });
  CHECK(std::holds_alternative<GaveUp>(step));
}

TEST(TablePublish, ConcurrentOperatorsNeverOverwriteDuplicateOrApplyPartially)
{
  CHECK(rc::check([] { RC_ASSERT(InvariantsHold(Variant::kRight)); }));
}

TEST(TablePublish, RandomRunsDetectIgnoredChanges)
{
  CHECK(AnyRunViolatesInvariants(Variant::kIgnoresChanges));
}

TEST(TablePublish, RandomRunsDetectAnIgnoredUnknownCommit)
{
  CHECK(AnyRunViolatesInvariants(Variant::kIgnoresUnknownCommit));
}
