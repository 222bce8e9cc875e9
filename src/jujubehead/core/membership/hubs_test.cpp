#include "jujubehead/core/membership/hubs.hpp"

#include <map> // for map
#include <set> // for set

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;

namespace {

std::vector<KnownInstance>
Instances(int aCount)
{
  std::vector<KnownInstance> all;
  for (int i = 0; i < aCount; ++i) {
    const std::string number = std::to_string(i);
    all.push_back({ "i" + number, "10.0.0." + number + ":7" });
  }
  return all;
}

std::set<std::string>
Ids(const std::vector<KnownInstance>& aInstances)
{
  std::set<std::string> ids;
  for (const KnownInstance& one : aInstances) {
    ids.insert(one.id);
  }
  return ids;
}

} // namespace

TEST_GROUP(Hubs){};

TEST(Hubs, AFewInstancesAreAllHubs)
{
  LONGS_EQUAL(12, HubsOf(Instances(12), "i3").size());
}

TEST(Hubs, AllInstancesChooseTheSameHubsAndPollThemInTheirOwnOrder)
{
  const auto all = Instances(370);
  const auto chosen = Ids(HubsOf(all, "i0"));
  LONGS_EQUAL(8, chosen.size());
  std::map<std::string, int> polled;
  for (const KnownInstance& one : all) {
    const auto hubs = HubsOf(all, one.id);
    CHECK(Ids(hubs) == chosen);
    ++polled[hubs.front().id];
  }
  // No hub is polled by more than twice its share of 46 instances.
  for (const auto& [id, count] : polled) {
    CHECK(count < 92);
  }
}

// The loss of a data centre must take only few hubs with it, even if the names
// of its instances are similar.
TEST(Hubs, AreSpreadOverDataCentres)
{
  std::vector<KnownInstance> all;
  for (const std::string place : { "north", "south", "east", "west" }) {
    for (int i = 1; i <= 19; ++i) {
      all.push_back({ "entry-" + place + "-" + std::to_string(i), {} });
    }
  }
  std::map<std::string, int> hubs;
  for (const std::string& id : Ids(HubsOf(all, "entry-west-1"))) {
    ++hubs[id.substr(0, id.rfind('-'))];
  }
  CHECK(hubs.size() >= 3);
  for (const auto& [place, count] : hubs) {
    CHECK(count <= 4);
  }
}

// A hub sends each update to dozens of instances, more than the smallest
// machines can handle (hot spot).
TEST(Hubs, AreInstancesOfLargeCapacity)
{
  auto all = Instances(295);
  for (std::size_t i = 0; i < all.size(); ++i) {
    all[i].capacity = i % 16 == 0 ? 0.5 : 0.12;
  }
  for (const KnownInstance& hub : HubsOf(all, "i7")) {
    DOUBLES_EQUAL(0.5, hub.capacity, 1e-9);
  }
  // Only two large instances are left, so smaller ones fill up the hubs.
  for (std::size_t i = 32; i < all.size(); ++i) {
    all[i].capacity = 0.12;
  }
  const auto hubs = Ids(HubsOf(all, "i7"));
  LONGS_EQUAL(8, hubs.size());
  CHECK(hubs.contains("i0") && hubs.contains("i16"));
}

TEST(Hubs, RanksAreDistinctAndContiguous)
{
  const auto all = Instances(40);
  std::set<std::size_t> ranks;
  for (const KnownInstance& one : all) {
    ranks.insert(RankOf(all, one.id, "store"));
  }
  LONGS_EQUAL(40, ranks.size());
  LONGS_EQUAL(39, *ranks.rbegin());
}

TEST(Hubs, LosingAHubReplacesOnlyThatHub)
{
  auto all = Instances(40);
  const auto before = Ids(HubsOf(all, "i0"));
  std::erase_if(
    all, [&](const KnownInstance& aOne) { return aOne.id == *before.begin(); });
  const auto after = Ids(HubsOf(all, "i0"));
  std::set<std::string> both;
  for (const std::string& id : after) {
    if (before.contains(id)) {
      both.insert(id);
    }
  }
  LONGS_EQUAL(7, both.size());
  LONGS_EQUAL(8, after.size());
}

TEST(Hubs, AnInstanceIsAHubUntilItKnowsTheOthers)
{
  HubRole role("i0");
  CHECK(role.IsHub());
  role.Update(Instances(12));
  CHECK(role.IsHub());
  int hubs = 0;
  for (const KnownInstance& one : Instances(40)) {
    HubRole other(one.id);
    other.Update(Instances(40));
    hubs += other.IsHub() ? 1 : 0;
  }
  LONGS_EQUAL(8, hubs);
}

// If all instances start at once, each one would watch all stores until they
// know of each other (thundering herd).
TEST(Hubs, AStartingInstanceWatchesOnceItKnowsOthersOrHasSettled)
{
  const Instant start = Instant(std::chrono::hours(1));
  HubRole role("i0");
  role.OnStart(start);
  CHECK(role.IsHub());
  CHECK_FALSE(role.Watches(start + std::chrono::milliseconds(2299)));
  CHECK(role.Watches(start + std::chrono::milliseconds(2300)));
  role.Update(Instances(9));
  CHECK(role.Watches(start));
}
