#include "jujubehead/core/context/part_directory.hpp"

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

#include "jujubehead/core/context/cache_scope.hpp" // for CacheScope

using namespace jujubehead::core;
using std::chrono::milliseconds;

namespace {

PartEventPage
Page(std::uint64_t aEpoch, std::vector<PartEvent> aEvents)
{
  PartEventPage page;
  page.epoch = aEpoch;
  page.events = std::move(aEvents);
  return page;
}

} // namespace

TEST_GROUP(PartDirectory)
{
  PartDirectory directory;
  StoreId store{ "s1" };
  Instant now{ std::chrono::seconds(10) };

  std::uint64_t Tokens() const
  {
    return directory.TokensAt(store, "scope", "part", now);
  }
};

TEST(PartDirectory, SnapshotPageReplacesKnownParts)
{
  PartEventPage page;
  page.epoch = 3;
  page.events = { { "s", "a", 10, true }, { "s", "b", 10, true } };
  directory.OnPage(StoreId("one"), page, now);
  page.is_snapshot = true;
  page.events = { { "s", "b", 10, true } };
  directory.OnPage(StoreId("one"), page, now);
  LONGS_EQUAL(0, directory.TokensAt(StoreId("one"), "s", "a", now));
  LONGS_EQUAL(10, directory.TokensAt(StoreId("one"), "s", "b", now));
  LONGS_EQUAL(10, directory.TokensStored(StoreId("one")));
}

TEST(PartDirectory, PartIsKnownOnceItsStoreReportsIt)
{
  directory.OnPage(store, Page(1, {}), now);
  LONGS_EQUAL(0, Tokens());
  directory.OnPage(store, Page(1, { { "scope", "part", 800, true } }), now);
  LONGS_EQUAL(800, Tokens());
  LONGS_EQUAL(800, directory.TokensStored(store));
  directory.OnPage(store, Page(1, { { "scope", "part", 0, false } }), now);
  LONGS_EQUAL(0, Tokens());
  LONGS_EQUAL(0, directory.TokensStored(store));
}

TEST(PartDirectory, RestartedStoreHasNoParts)
{
  directory.OnPage(store, Page(1, { { "scope", "part", 800, true } }), now);
  directory.OnPage(store, Page(2, {}), now);
  LONGS_EQUAL(0, Tokens());
}

// A part that is written again at a restarted store must not be read, before it
// is complete, by a request that was sent before the restart and waited at its
// target.
TEST(PartDirectory, RestartedStoreAcceptsNoWritesWhileEarlierReadsMayRun)
{
  const PartDirectoryOptions options;
  const Duration drain =
    options.trust_time + options.read_time + options.margin;
  PartEventPage page = Page(2, {});
  page.started_by = now;
  directory.OnPage(store, page, now);
  CHECK_FALSE(directory.AcceptsWrites(store, now));
  page.started_by = now + drain - milliseconds(1);
  now = page.started_by;
  directory.OnPage(store, page, now);
  CHECK_FALSE(directory.AcceptsWrites(store, now));
  page.is_snapshot = true;
  directory.OnPage(store, page, now);
  CHECK(directory.AcceptsWrites(store, now + milliseconds(1)));
}

// The same for any instances, with pages of any age, and any number of
// restarts.
TEST(PartDirectory, ReadsHaveEndedBeforePartsAreWrittenAgain)
{
  CHECK(rc::check([] {
    constexpr std::size_t kInstances = 3;
    constexpr int kSteps = 400;
    const PartDirectoryOptions options;
    const StoreId id("s1");
    std::vector<PartDirectory> instances(kInstances);
    std::uint64_t epoch = 1;
    Instant time{ std::chrono::seconds(10) };
    Instant started = time;
    Instant reads_end{}; // Of all epochs before.
    for (int step = 0; step < kSteps; ++step) {
      time += milliseconds(*rc::gen::inRange(0, 200));
      if (*rc::gen::inRange(0, 60) == 0) {
        ++epoch;
        started = time;
      }
      PartDirectory& one =
        instances[*rc::gen::inRange<std::size_t>(0, kInstances)];
      if (*rc::gen::inRange(0, 3) == 0) {
        // A bound of the start that is known here may be any later time.
        PartEventPage page = Page(epoch, { { "scope", "part", 800, true } });
        page.started_by =
          *rc::gen::element(time, started + (time - started) / 2);
        one.OnPage(id, page, time);
      }
      const bool is_old = one.EpochOf(id) != epoch;
      if (is_old && one.TokensAt(id, "scope", "part", time) > 0) {
        reads_end = std::max(reads_end, time + options.read_time);
      }
      if (!is_old && one.AcceptsWrites(id, time)) {
        RC_ASSERT(time >= reads_end);
      }
    }
  }));
}

TEST(PartDirectory, PartsOfUnreachableStoreAreHidden)
{
  directory.OnPage(store, Page(1, { { "scope", "part", 800, true } }), now);
  now += milliseconds(1000);
  LONGS_EQUAL(0, Tokens());
  directory.OnPage(store, Page(1, {}), now);
  LONGS_EQUAL(800, Tokens());
  directory.OnNoResponse(store);
  LONGS_EQUAL(0, Tokens());
}

TEST(PartDirectory, ListsAndDropsPartsOfScope)
{
  directory.OnPage(store,
                   Page(1,
                        { { "old", "a", 10, true },
                          { "old", "b", 20, true },
                          { "new", "a", 30, true } }),
                   now);
  const auto is_old = [](std::string_view aScope) { return aScope == "old"; };
  const auto old = directory.PartsWhere(store, 10, is_old);
  LONGS_EQUAL(2, old.size());
  directory.Drop(store, old);
  LONGS_EQUAL(30, directory.TokensStored(store));
  CHECK(directory.PartsWhere(store, 10, is_old).empty());
}

TEST_GROUP(CacheScope){};

TEST(CacheScope, TextRoundTrips)
{
  CHECK(rc::check("text round trip",
                  [](const std::string& aModel,
                     std::uint64_t aVersion,
                     const std::string& aAccount,
                     std::uint64_t aDigest) {
                    const CacheScope scope{ ModelId(aModel),
                                            aVersion,
                                            AccountId(aAccount),
                                            aAccount.empty() ? aDigest : 0 };
                    const auto parsed = CacheScopeOf(ToText(scope));
                    RC_ASSERT(parsed.has_value());
                    RC_ASSERT(*parsed == scope);
                  }));
}

TEST(CacheScope, InvalidTextIsRejected)
{
  for (const char* text : { "",
                            "x",
                            "1",
                            "1/",
                            "1/9/m",
                            "1/1/mx",
                            "1/1/m/",
                            "1/1/m-",
                            "1/1/m-0",
                            "1/1/m-7x",
                            "1/1/mx7" }) {
    CHECK_TEXT(!CacheScopeOf(text).has_value(), text);
  }
}

TEST(PartDirectory, DroppedScopesFreeTheirTokens)
{
  directory.OnPage(
    store,
    Page(1, { { "old", "a", 300, true }, { "scope", "part", 800, true } }),
    now);
  directory.DropWhere([](std::string_view aScope) { return aScope == "old"; });
  LONGS_EQUAL(0, directory.TokensAt(store, "old", "a", now));
  LONGS_EQUAL(800, Tokens());
  LONGS_EQUAL(800, directory.TokensStored(store));
}
