#include "jujubehead/core/context/store_placement.hpp"

#include <map>    // for map
#include <string> // for to_string

#include <CppUTest/TestHarness.h> // for TEST

#include "jujubehead/core/routing/placement.hpp" // for PlacementHash

using namespace jujubehead::core;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kTokenBytes = 100000;
constexpr LinkRate kHighLatency{ 2e10, milliseconds(6) };
constexpr LinkRate kLowLatency{ 8e10, microseconds(500) };

StorePlacementInput
Store(const std::string& aName,
      std::string_view aDataCentre,
      const LinkRate& aRate)
{
  return { PlacementHash(aName), aDataCentre, 1000, aRate };
}

} // namespace

TEST_GROUP(SelectHomeStores)
{
  std::vector<StorePlacementInput> stores = {
    Store("q1", "a", kLowLatency),  Store("q2", "b", kLowLatency),
    Store("l1", "a", kHighLatency), Store("l2", "a", kHighLatency),
    Store("l3", "b", kHighLatency),
  };

  std::vector<StoreHome> Homes(int aPart, std::uint64_t aTokens)
  {
    return SelectHomeStores(PlacementHash("p" + std::to_string(aPart)),
                            { aTokens, kTokenBytes, false },
                            stores);
  }
};

TEST(SelectHomeStores, LongPartsLeaveLowLatencyStoresToShortOnes)
{
  // At the high-latency store (6 ms) 5,000 tokens take 25 ms, 500 take 2.5 ms.
  CHECK(Homes(1, 5000).front().index >= 2);
  CHECK(Homes(1, 500).front().index < 2);
  // The other kind follows, for when these are full.
  CHECK(Homes(1, 5000).back().index < 2);
  CHECK(Homes(1, 500).back().index >= 2);
  CHECK(Homes(1, 500).back().kind > Homes(1, 500).front().kind);
}

TEST(SelectHomeStores, OneHomeOfEachKindPerDataCentre)
{
  std::map<std::size_t, int> first;
  for (int part = 0; part < 300; ++part) {
    const auto homes = Homes(part, 5000);
    LONGS_EQUAL(4, homes.size());
    CHECK(stores[homes[0].index].data_centre !=
          stores[homes[1].index].data_centre);
    LONGS_EQUAL(homes[0].kind, homes[1].kind);
    ++first[homes[0].index];
  }
  // Equivalent stores share the parts.
  CHECK(first[2] > 60 && first[3] > 60 && first[4] > 60);
}

TEST(SelectHomeStores, StoresWithUnknownLinksAreEquivalent)
{
  for (StorePlacementInput& store : stores) {
    store.rate = {};
  }
  const auto homes = Homes(1, 5000);
  LONGS_EQUAL(2, homes.size());
  LONGS_EQUAL(0, homes.back().kind);
}
