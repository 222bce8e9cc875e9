#include "standin/prefix_cache.hpp"

#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::standin;
using Keys = std::vector<std::string>;

TEST_GROUP(PrefixCache)
{
  Keys removed;
  PrefixCache cache{ 3, [this](BlockChange aChange, const CachedBlock& aBlock) {
                      if (aChange == BlockChange::kRemoved) {
                        removed.push_back(aBlock.key);
                      }
                    } };
};

TEST(PrefixCache, HitsTheLongestPrefixUnderItsOwnSalt)
{
  cache.Store(Keys{ "a", "b" }, "salt", 1);
  LONGS_EQUAL(2, cache.HitLength(Keys{ "a", "b", "c" }, "salt"));
  LONGS_EQUAL(0, cache.HitLength(Keys{ "x", "b" }, "salt"));
  LONGS_EQUAL(0, cache.HitLength(Keys{ "a", "b" }, "other"));
}

TEST(PrefixCache, EvictsTheEndOfTheLeastRecentlyUsedPrefixFirst)
{
  cache.Store(Keys{ "a", "b" }, "", 1);
  cache.Store(Keys{ "c", "d" }, "", 1);
  CHECK(removed == Keys{ "b" });
}

TEST(PrefixCache, KeepsWhatIsPinned)
{
  cache.Store(Keys{ "a", "b", "c" }, "", 1);
  cache.Pin(Keys{ "a", "b" });
  cache.Store(Keys{ "d", "e" }, "", 1);
  LONGS_EQUAL(2, cache.HitLength(Keys{ "a", "b" }, ""));
  cache.Unpin(Keys{ "a", "b" });
  cache.Store(Keys{ "f", "g", "h" }, "", 1);
  LONGS_EQUAL(0, cache.HitLength(Keys{ "a" }, ""));
}
