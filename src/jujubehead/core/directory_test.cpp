#include "jujubehead/core/directory.hpp"

#include <string> // for string

#include <rapidcheck.h> // for rc::check

// Last: its macros change the meaning of new.
#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;

namespace {

constexpr std::size_t kBlock = 4;
constexpr std::size_t kManyKeys = 1000;

std::vector<ContextKey>
Keys(std::size_t aCount, char aLetter = 'x')
{
  const ContextScope scope{ AccountId("a"), ModelId("m"), "1", "" };
  return ChainKeys(scope, std::string(aCount * kBlock, aLetter), kBlock);
}

CacheEvent
Stored(std::uint64_t aSequence, const ContextKey& aKey)
{
  return { aSequence, CacheEventKind::kStored, { aKey }, std::nullopt };
}

CacheEvent
Removed(std::uint64_t aSequence, const ContextKey& aKey)
{
  return { aSequence, CacheEventKind::kRemoved, { aKey }, std::nullopt };
}

CacheEvent
Copied(std::uint64_t aSequence, std::vector<ContextKey> aKeys, CopyId aName)
{
  return {
    aSequence, CacheEventKind::kStored, std::move(aKeys), std::move(aName)
  };
}

} // namespace

TEST_GROUP(Directory)
{
  Directory directory{ kManyKeys };
  const TargetId target{ "t" };
  const StoreId store{ "s" };
  const std::vector<ContextKey> keys = Keys(5);

  void StoreAll()
  {
    for (std::size_t i = 0; i < keys.size(); ++i) {
      directory.Apply(target, Stored(i + 1, keys[i]));
    }
  }

  std::uint32_t Blocks()
  {
    const auto hints = directory.Lookup(keys);
    return hints.empty() ? 0 : hints.front().blocks;
  }
};

TEST(Directory, FollowsStoredAndRemoved)
{
  StoreAll();
  CHECK_EQUAL(5, Blocks());
  directory.Apply(target, Removed(6, keys[4]));
  CHECK_EQUAL(4, Blocks());
  directory.Apply(target, Removed(7, keys[1]));
  CHECK_EQUAL(1, Blocks());
}

TEST(Directory, ALostStoredEventIsImpliedByLaterBlocks)
{
  directory.Apply(target, Stored(1, keys[0]));
  CHECK(directory.Apply(target, Stored(4, keys[3])) ==
        EventOutcome::kAppliedAfterGap);
  CHECK_EQUAL(4, Blocks());
  CHECK_EQUAL(2, directory.LostEvents());
}

TEST(Directory, ALostRemovalIsImpliedByTheRemovalOfAnEarlierBlock)
{
  StoreAll();
  directory.Apply(target, Removed(8, keys[2]));
  CHECK_EQUAL(2, Blocks());
  directory.Apply(target, Stored(12, keys[3]));
  CHECK_EQUAL(4, Blocks());
}

TEST(Directory, ADuplicateEventChangesNothing)
{
  StoreAll();
  CHECK(directory.Apply(target, Removed(5, keys[0])) ==
        EventOutcome::kDuplicate);
  CHECK_EQUAL(5, Blocks());
}

TEST(Directory, AHolderThatClearsOrRestartsHasNoBlocks)
{
  StoreAll();
  directory.Apply(target, { 6, CacheEventKind::kCleared, {}, std::nullopt });
  CHECK_EQUAL(0, Blocks());
  directory.Apply(target, Stored(7, keys[0]));
  CHECK_EQUAL(1, Blocks());
  directory.OnLastSequence(target, 0);
  CHECK_EQUAL(0, Blocks());
  CHECK(directory.Apply(target, Stored(1, keys[0])) == EventOutcome::kApplied);
  CHECK_EQUAL(1, Blocks());
}

TEST(Directory, ARunRestoresTheBlocksOfItsTarget)
{
  StoreAll();
  directory.Apply(target, Removed(6, keys[0]));
  CHECK_EQUAL(0, Blocks());
  directory.Learn(target, keys);
  CHECK_EQUAL(5, Blocks());
}

TEST(Directory, RemovedBlocksGiveNoHint)
{
  directory.Learn(target, keys);
  directory.Learn(TargetId("other"), keys);
  directory.RecordRemoved(target, keys);
  const auto hints = directory.Lookup(keys);
  CHECK_EQUAL(1, hints.size());
  CHECK(hints.front().holder == Holder(TargetId("other")));
}

TEST(Directory, CopiesDifferByGeneration)
{
  directory.Apply(store, Copied(1, Keys(3), { "h", 1 }));
  directory.Apply(store, Copied(2, Keys(5), { "h", 2 }));
  const auto both = directory.Lookup(keys);
  CHECK_EQUAL(2, both.size());
  CHECK(both[0].copy == (CopyId{ "h", 2 }));
  CHECK_EQUAL(3, both[1].blocks);
  directory.RemoveCopy(store, { "h", 2 });
  const auto rest = directory.Lookup(keys);
  CHECK_EQUAL(1, rest.size());
  CHECK(rest[0].copy == (CopyId{ "h", 1 }));
  directory.Apply(store, { 3, CacheEventKind::kRemoved, {}, CopyId{ "h", 1 } });
  CHECK(directory.Lookup(keys).empty());
}

TEST(Directory, ARemovedHolderGivesNoHint)
{
  StoreAll();
  directory.Apply(store, Copied(1, keys, { "h", 1 }));
  directory.RemoveHolder(target);
  CHECK_EQUAL(1, directory.Lookup(keys).size());
  directory.RemoveHolder(store);
  CHECK(directory.Lookup(keys).empty());
}

TEST(Directory, EvictsTheLeastRecentlyUsedKeysAtItsLimit)
{
  Directory small{ 5 };
  for (const ContextKey& key : keys) {
    small.Learn(target, std::span(&key, 1));
  }
  CHECK_EQUAL(5, small.Size());
  small.Lookup(std::span(keys).first(1));
  small.Learn(target, Keys(3, 'y'));
  CHECK_EQUAL(5, small.Size());
  CHECK_EQUAL(1, small.Lookup(std::span(keys).first(1)).size());
  CHECK(small.Lookup(std::span(keys).subspan(1, 1)).empty());
}

TEST(Directory, MatchesAPrefixCacheWhenNoEventIsLost)
{
  CHECK(rc::check([this](const std::vector<std::uint8_t>& aSteps) {
    Directory whole{ kManyKeys };
    std::size_t cached = 0;
    std::uint64_t sequence = 0;
    for (const std::uint8_t step : aSteps) {
      const std::size_t wanted = step % (keys.size() + 1);
      for (; cached < wanted; ++cached) {
        whole.Apply(target, Stored(++sequence, keys[cached]));
      }
      for (; cached > wanted; --cached) {
        whole.Apply(target, Removed(++sequence, keys[cached - 1]));
      }
      const auto hints = whole.Lookup(keys);
      RC_ASSERT((hints.empty() ? 0 : hints.front().blocks) == cached);
    }
  }));
}

TEST(Directory, ARemovalOutOfSequenceAndALaterRunApplyInOrder)
{
  Directory bounded(100);
  const TargetId holder("t1");
  const auto chain = ChainKeys({}, std::string(4 * kDefaultBlockBytes, 'x'));
  bounded.Learn(holder, chain);
  LONGS_EQUAL(4, bounded.Lookup(chain).at(0).blocks);
  bounded.RecordRemoved(holder, std::span(chain).subspan(1, 1));
  LONGS_EQUAL(1, bounded.Lookup(chain).at(0).blocks);
  bounded.Learn(holder, chain);
  LONGS_EQUAL(4, bounded.Lookup(chain).at(0).blocks);
}

TEST(Directory, ACopyOutOfSequenceIsHintedUntilRemoved)
{
  Directory bounded(100);
  const StoreId holder("s1");
  const auto chain = ChainKeys({}, std::string(2 * kDefaultBlockBytes, 'x'));
  bounded.RecordCopy(holder, { "h", 3 }, chain);
  const auto hints = bounded.Lookup(chain);
  LONGS_EQUAL(2, hints.at(0).blocks);
  CHECK(hints.at(0).copy->generation == 3);
  bounded.RemoveCopy(holder, { "h", 3 });
  CHECK(bounded.Lookup(chain).empty());
}
