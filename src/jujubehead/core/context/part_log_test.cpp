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

/// What someone who follows a log knows of one store.
struct Follower
{
  PartCursor cursor;
  bool has_more = false;
  std::uint64_t epoch = 0;
  std::map<std::string, std::uint64_t> parts;

  void ReadAll(const PartLog& aLog)
  {
    do {
      Read(aLog);
    } while (has_more);
  }
  void Read(const PartLog& aLog)
  {
    const PartNews news = aLog.ReadAfter(cursor, kNow);
    cursor = news.cursor;
    has_more = news.has_more;
    if (news.is_all) {
      parts.clear();
    }
    for (const HeardStore& store : news.stores) {
      if (store.epoch != epoch) {
        parts.clear();
        epoch = store.epoch;
      }
    }
    for (const PartChange& change : news.changes) {
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

TEST(PartLog, ItTellsWhatChangedSince)
{
  PartLog log;
  log.OnPage(store, Page(7, { { "w1", "a", 100, true } }), kNow);
  const PartNews first = log.ReadAfter({}, kNow + milliseconds(20));
  CHECK(first.is_all);
  LONGS_EQUAL(1, first.changes.size());
  LONGS_EQUAL(7, first.stores.at(0).epoch);
  CHECK(first.stores.at(0).age == milliseconds(20));
  log.OnPage(store, Page(7, { { "w1", "b", 50, true } }), kNow);
  const PartNews second = log.ReadAfter(first.cursor, kNow);
  CHECK_FALSE(second.is_all);
  LONGS_EQUAL(1, second.changes.size());
  STRCMP_EQUAL("b", second.changes.at(0).part.c_str());
}

TEST(PartLog, AStoreThatFellSilentIsToldAsSuch)
{
  PartLog log;
  log.OnPage(store, Page(7, {}), kNow);
  log.OnSilence(store);
  CHECK(log.ReadAfter({}, kNow).stores.at(0).age == kSilentAge);
  log.OnPage(store, Page(7, {}), kNow);
  CHECK(log.ReadAfter({}, kNow).stores.at(0).age == milliseconds(0));
}

TEST(PartLog, OneWhoStandsBeforeWhatWasDroppedIsToldAll)
{
  PartLogOptions options;
  options.most_gone = 1;
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
  const PartNews news = log.ReadAfter(cursor, kNow);
  CHECK(news.is_all);
  LONGS_EQUAL(1, news.changes.size());
  STRCMP_EQUAL("c", news.changes.at(0).part.c_str());
}

// All who lost their hub at once ask another one for all parts.
TEST(PartLog, ALongListIsToldInPieces)
{
  PartLog log;
  std::vector<PartEvent> events;
  events.reserve(5000);
  for (int i = 0; i < 5000; ++i) {
    events.push_back({ "w1", "p" + std::to_string(i), 100, true });
  }
  log.OnPage(store, Page(7, events), kNow);
  Follower follower;
  int pieces = 0;
  do {
    const std::size_t before = follower.parts.size();
    follower.Read(log);
    CHECK(follower.parts.size() - before <= PartLogOptions{}.most_at_once);
    ++pieces;
    // What goes on meanwhile does not begin it anew.
    log.OnPage(store,
               Page(7, { { "w1", "p" + std::to_string(pieces), 0, false } }),
               kNow);
  } while (follower.has_more && pieces < 100);
  follower.ReadAll(log);
  LONGS_EQUAL(5000 - pieces, follower.parts.size());
}

TEST(PartLog, OneWhoComesFromAnotherLogIsToldAll)
{
  PartLog log;
  log.OnPage(store, Page(7, { { "w1", "a", 100, true } }), kNow);
  CHECK(log.ReadAfter({ 999, 999 }, kNow).is_all);
}

TEST(PartLog, WhoeverFollowsKnowsWhatTheDirectoryKnows)
{
  const bool holds = rc::check([] {
    PartLogOptions options;
    options.most_gone = 3;
    options.most_at_once = 2;
    PartLog log(options);
    const StoreId id("s1");
    std::uint64_t epoch = 1;
    std::map<std::string, std::uint64_t> truth;
    Follower often;
    Follower seldom;
    Follower slow; // reads while more goes on
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
      often.ReadAll(log);
      RC_ASSERT(often.parts == truth);
      if (i % 7 == 6) {
        seldom.ReadAll(log);
        RC_ASSERT(seldom.parts == truth);
      }
      slow.Read(log);
      RC_ASSERT(slow.has_more || slow.parts == truth);
    }
  });
  CHECK(holds);
}

// Metastable overload: all parts of replaced weights go at once. To name each
// of them would make everyone who asks begin anew with the whole list.
TEST(PartLog, PartsOfForgottenScopesAreNotNamedOneByOne)
{
  PartLogOptions options;
  options.most_gone = 10;
  PartLog log(options);
  constexpr int kMany = 200;
  std::vector<PartEvent> kept;
  std::vector<PartEvent> freed;
  for (int i = 0; i < kMany; ++i) {
    const std::string part = "p" + std::to_string(i);
    kept.push_back({ "old", part, 100, true });
    freed.push_back({ "old", part, 0, false });
  }
  kept.push_back({ "new", "n", 100, true });
  log.OnPage(store, Page(1, kept), kNow);
  Follower follower;
  follower.ReadAll(log);
  LONGS_EQUAL(kMany + 1, follower.parts.size());
  log.DropWhere([](std::string_view aScope) { return aScope == "old"; });
  log.OnPage(store, Page(1, freed), kNow);
  const PartNews news = log.ReadAfter(follower.cursor, kNow);
  CHECK_FALSE(news.is_all);
  CHECK(news.changes.empty());
  Follower later;
  later.ReadAll(log);
  LONGS_EQUAL(1, later.parts.size());
}
