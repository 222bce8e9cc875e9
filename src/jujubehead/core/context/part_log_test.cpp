#include "jujubehead/core/context/part_log.hpp"

#include <map> // for map
#include <set> // for set

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for rc::check

using namespace jujubehead::core;
using std::chrono::milliseconds;

namespace {

const Instant kNow = Instant(std::chrono::hours(1));

PartEventPage
Page(std::uint64_t aEpoch, std::vector<PartEvent> aEvents)
{
  PartEventPage page;
  page.epoch = aEpoch;
  page.events = std::move(aEvents);
  return page;
}

/// A reader of a log and its parts of one store.
struct Follower
{
  PartCursor cursor;
  bool has_more = false;
  std::uint64_t epoch = 0;
  std::map<std::string, std::uint64_t> parts;

  void ReadToEnd(const PartLog& aLog)
  {
    do {
      Read(aLog);
    } while (has_more);
  }
  void Read(const PartLog& aLog)
  {
    const PartLogPage page = aLog.ReadAfter(cursor, kNow);
    cursor = page.cursor;
    has_more = page.has_more;
    if (page.is_snapshot) {
      parts.clear();
    }
    for (const StoreStatus& store : page.stores) {
      if (store.epoch != epoch) {
        parts.clear();
        epoch = store.epoch;
      }
    }
    for (const PartChange& change : page.changes) {
      if (change.tokens > 0) {
        parts[change.part] = change.tokens;
      } else {
        parts.erase(change.part);
      }
    }
  }
};

} // namespace

TEST_GROUP(PartLog)
{
  const StoreId store = StoreId("s1");
};

TEST(PartLog, ReturnsChangesAfterCursor)
{
  PartLog log;
  log.OnPage(store, Page(7, { { "w1", "a", 100, true } }), kNow);
  const PartLogPage first = log.ReadAfter({}, kNow + milliseconds(20));
  CHECK(first.is_snapshot);
  LONGS_EQUAL(1, first.changes.size());
  LONGS_EQUAL(7, first.stores.at(0).epoch);
  CHECK(first.stores.at(0).age == milliseconds(20));
  log.OnPage(store, Page(7, { { "w1", "b", 50, true } }), kNow);
  const PartLogPage second = log.ReadAfter(first.cursor, kNow);
  CHECK_FALSE(second.is_snapshot);
  LONGS_EQUAL(1, second.changes.size());
  STRCMP_EQUAL("b", second.changes.at(0).part.c_str());
}

TEST(PartLog, ReportsUnreachableStore)
{
  PartLog log;
  log.OnPage(store, Page(7, {}), kNow);
  log.OnNoResponse(store);
  CHECK(log.ReadAfter({}, kNow).stores.at(0).age == kUnreachableAge);
  log.OnPage(store, Page(7, {}), kNow);
  CHECK(log.ReadAfter({}, kNow).stores.at(0).age == milliseconds(0));
}

TEST(PartLog, CursorBeforeDroppedRemovalsGetsSnapshot)
{
  PartLogOptions options;
  options.max_removed = 1;
  PartLog log(options);
  log.OnPage(store,
             Page(7,
                  { { "w1", "a", 100, true },
                    { "w1", "b", 100, true },
                    { "w1", "c", 100, true } }),
             kNow);
  const PartCursor cursor = log.ReadAfter({}, kNow).cursor;
  log.OnPage(
    store, Page(7, { { "w1", "a", 0, false }, { "w1", "b", 0, false } }), kNow);
  const PartLogPage page = log.ReadAfter(cursor, kNow);
  CHECK(page.is_snapshot);
  LONGS_EQUAL(1, page.changes.size());
  STRCMP_EQUAL("c", page.changes.at(0).part.c_str());
}

// When a hub fails, all its readers ask another one for a snapshot at once.
TEST(PartLog, LongSnapshotIsPaged)
{
  PartLog log;
  std::vector<PartEvent> events;
  events.reserve(5000);
  for (int i = 0; i < 5000; ++i) {
    events.push_back({ "w1", "p" + std::to_string(i), 100, true });
  }
  log.OnPage(store, Page(7, events), kNow);
  Follower follower;
  int pages = 0;
  do {
    const std::size_t before = follower.parts.size();
    follower.Read(log);
    CHECK(follower.parts.size() - before <= PartLogOptions{}.max_page_size);
    ++pages;
    // Changes between pages do not restart the snapshot.
    log.OnPage(store,
               Page(7, { { "w1", "p" + std::to_string(pages), 0, false } }),
               kNow);
  } while (follower.has_more && pages < 100);
  follower.ReadToEnd(log);
  LONGS_EQUAL(5000 - pages, follower.parts.size());
}

// A relay that moves to another reader receives all parts again. Logged anew,
// they would all be sent to its dozens of followers.
TEST(PartLog, PartsReportedAgainAreNotSentAgain)
{
  PartLog log;
  const std::vector<PartEvent> events = { { "w1", "a", 100, true },
                                          { "w1", "b", 100, true },
                                          { "w1", "c", 100, true } };
  log.OnPage(store, Page(7, events), kNow);
  Follower follower;
  follower.ReadToEnd(log);
  log.BeginSnapshot();
  log.OnPage(store, Page(7, { events[0] }), kNow);
  log.OnPage(
    store, Page(7, { { "w1", "c", 90, true }, { "w1", "d", 50, true } }), kNow);
  log.EndSnapshot();
  const PartLogPage page = log.ReadAfter(follower.cursor, kNow);
  CHECK_FALSE(page.is_snapshot);
  LONGS_EQUAL(3, page.changes.size()); // c has changed, d is new, b is gone
  follower.ReadToEnd(log);
  const std::map<std::string, std::uint64_t> expected = { { "a", 100 },
                                                          { "c", 90 },
                                                          { "d", 50 } };
  CHECK(follower.parts == expected);
}

TEST(PartLog, AStoresSnapshotRemovesItsOtherParts)
{
  const StoreId other("s2");
  PartLog log;
  log.OnPage(store,
             Page(7, { { "w1", "a", 100, true }, { "w1", "b", 100, true } }),
             kNow);
  log.OnPage(other, Page(3, { { "w1", "z", 100, true } }), kNow);
  const PartCursor cursor = log.ReadAfter({}, kNow).cursor;
  PartEventPage snapshot = Page(7, { { "w1", "b", 100, true } });
  snapshot.is_snapshot = true;
  log.OnPage(store, snapshot, kNow);
  const PartLogPage page = log.ReadAfter(cursor, kNow);
  LONGS_EQUAL(1, page.changes.size());
  STRCMP_EQUAL("a", page.changes[0].part.c_str());
  LONGS_EQUAL(0, page.changes[0].tokens);
}

TEST(PartLog, CursorOfAnotherLogGetsSnapshot)
{
  PartLog log;
  log.OnPage(store, Page(7, { { "w1", "a", 100, true } }), kNow);
  CHECK(log.ReadAfter({ 999, 999 }, kNow).is_snapshot);
}

TEST(PartLog, ReadersConvergeToTheStoresParts)
{
  const bool holds = rc::check([] {
    PartLogOptions options;
    options.max_removed = 3;
    options.max_page_size = 2;
    PartLog log(options);
    const StoreId id("s1");
    std::uint64_t epoch = 1;
    std::map<std::string, std::uint64_t> truth;
    Follower frequent;
    Follower infrequent;
    Follower slow; // one page per step, while changes go on
    const auto steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      const auto kind = *rc::gen::inRange(0, 10);
      const std::string part(1,
                             static_cast<char>('a' + *rc::gen::inRange(0, 8)));
      if (kind == 0) {
        ++epoch;
        truth.clear();
        log.OnPage(id, Page(epoch, {}), kNow);
      } else if (kind < 4) {
        truth.erase(part);
        log.OnPage(id, Page(epoch, { { "w", part, 0, false } }), kNow);
      } else {
        const auto tokens = static_cast<std::uint64_t>(kind);
        truth[part] = tokens;
        log.OnPage(id, Page(epoch, { { "w", part, tokens, true } }), kNow);
      }
      frequent.ReadToEnd(log);
      RC_ASSERT(frequent.parts == truth);
      if (i % 7 == 6) {
        infrequent.ReadToEnd(log);
        RC_ASSERT(infrequent.parts == truth);
      }
      slow.Read(log);
      RC_ASSERT(slow.has_more || slow.parts == truth);
    }
  });
  CHECK(holds);
}

// A follower that took a store for started later than it was would leave it
// unused, and one that took it for started earlier would write to it too soon.
TEST(PartLog, ReportsForHowLongAStoreHasRun)
{
  PartLog log;
  PartEventPage page = Page(7, {});
  page.started_by = kNow;
  log.OnPage(store, page, kNow);
  page.started_by = kNow + milliseconds(500);
  log.OnPage(store, page, kNow + milliseconds(500));
  const Instant later = kNow + milliseconds(900);
  CHECK(log.ReadAfter({}, later).stores.at(0).uptime == milliseconds(900));
  page.epoch = 8;
  page.started_by = later;
  log.OnPage(store, page, later);
  CHECK(log.ReadAfter({}, later).stores.at(0).uptime == Duration(0));
}

// Metastable overload: when weights are replaced, all parts of the old version
// go at once. Logging each removal would make every reader start over with a
// snapshot.
TEST(PartLog, RemovalsOfDroppedScopesAreNotLogged)
{
  PartLogOptions options;
  options.max_removed = 10;
  PartLog log(options);
  constexpr int kMany = 200;
  std::vector<PartEvent> stored;
  std::vector<PartEvent> removed;
  for (int i = 0; i < kMany; ++i) {
    const std::string part = "p" + std::to_string(i);
    stored.push_back({ "old", part, 100, true });
    removed.push_back({ "old", part, 0, false });
  }
  stored.push_back({ "new", "n", 100, true });
  log.OnPage(store, Page(1, stored), kNow);
  Follower follower;
  follower.ReadToEnd(log);
  LONGS_EQUAL(kMany + 1, follower.parts.size());
  log.DropWhere([](std::string_view aScope) { return aScope == "old"; });
  log.OnPage(store, Page(1, removed), kNow);
  const PartLogPage page = log.ReadAfter(follower.cursor, kNow);
  CHECK_FALSE(page.is_snapshot);
  CHECK(page.changes.empty());
  Follower newcomer;
  newcomer.ReadToEnd(log);
  LONGS_EQUAL(1, newcomer.parts.size());
}
