#include "jujubehead/core/membership/holder_ring.hpp"

#include <algorithm> // for count, max, max_element

#include <CppUTest/TestHarness.h> // for TEST

#include "jujubehead/core/routing/placement.hpp" // for PlacementHash

using namespace jujubehead::core;

namespace {

std::vector<std::string>
Ids(std::size_t aCount)
{
  std::vector<std::string> ids;
  ids.reserve(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    ids.push_back("instance-" + std::to_string(i));
  }
  return ids;
}

std::uint64_t
Target(int aNumber)
{
  return PlacementHash("target-" + std::to_string(aNumber));
}

} // namespace

TEST_GROUP(HolderRing){};

TEST(HolderRing, AllInstancesFindTheSameOrder)
{
  const auto ids = Ids(9);
  std::vector<std::size_t> ranks;
  ranks.reserve(ids.size());
  for (const std::string& id : ids) {
    ranks.push_back(HolderRing(ids, id).RankOf(Target(1)));
  }
  for (std::size_t rank = 0; rank < ids.size(); ++rank) {
    LONGS_EQUAL(1, std::count(ranks.begin(), ranks.end(), rank));
  }
}

TEST(HolderRing, AnInstanceThatIsAloneIsFirst)
{
  LONGS_EQUAL(0, HolderRing().RankOf(Target(1)));
  LONGS_EQUAL(0, HolderRing(Ids(1), "instance-0").RankOf(Target(1)));
}

// What an instance holds must not grow with the fleet: with as many targets an
// instance, the shares an instance are the same at any size.
TEST(HolderRing, SharesOfAnInstanceDoNotGrowWithTheFleet)
{
  constexpr std::size_t kHolders = 2;
  for (const std::size_t instances : { 9UL, 18UL, 36UL }) {
    const auto ids = Ids(instances);
    const auto targets = static_cast<int>(20 * instances);
    std::size_t most = 0;
    for (const std::string& id : ids) {
      const HolderRing ring(ids, id);
      std::size_t held = 0;
      for (int target = 0; target < targets; ++target) {
        held += ring.RankOf(Target(target)) < kHolders ? 1 : 0;
      }
      most = std::max(most, held);
    }
    CHECK(most <= 2 * kHolders * 20);
  }
}

// An instance that joins must not make others holders of targets anew.
// What instances keep for each other, such as the origins of streams, grows
// with the fleet; each one's part must not.
TEST(HolderRing, KeysOfAnInstanceDoNotGrowWithTheFleet)
{
  constexpr std::size_t kHolders = 2;
  constexpr std::size_t kKeysEach = 50;
  for (const std::size_t instances : { 9UL, 18UL, 36UL, 246UL, 984UL }) {
    const HolderRing ring(Ids(instances), "instance-0");
    std::vector<std::size_t> keys(instances, 0);
    for (std::size_t key = 0; key < instances * kKeysEach; ++key) {
      const auto first =
        ring.First(PlacementHash("r" + std::to_string(key)), kHolders);
      UNSIGNED_LONGS_EQUAL(kHolders, first.size());
      CHECK(first[0] != first[1]);
      ++keys[first[0]];
      ++keys[first[1]];
    }
    const std::size_t most = *std::max_element(keys.begin(), keys.end());
    CHECK(most <= 4 * kHolders * kKeysEach);
  }
}

TEST(HolderRing, AnInstanceThatJoinsChangesOnlyItsOwnTargets)
{
  const auto before = Ids(9);
  const auto after = Ids(10);
  const HolderRing joined(after, "instance-9");
  for (int target = 0; target < 200; ++target) {
    for (const std::string& id : before) {
      const std::size_t old_rank =
        HolderRing(before, id).RankOf(Target(target));
      const std::size_t rank = HolderRing(after, id).RankOf(Target(target));
      const bool is_behind = joined.RankOf(Target(target)) < rank;
      LONGS_EQUAL(old_rank + (is_behind ? 1 : 0), rank);
    }
  }
}
