#include "jujubehead/core/membership/hubs.hpp"

#include <algorithm> // for max, find_if
#include <map>       // for map
#include <set>       // for set
#include <utility>   // for move

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::milliseconds;

namespace {

const std::vector<std::string> kPlaces = { "north", "south", "east",
                                           "west",  "hill",  "coast" };

/// Instances in six data centres, one in 16 of a larger capacity.
std::vector<KnownInstance>
Instances(std::size_t aCount)
{
  std::vector<KnownInstance> all;
  for (std::size_t i = 0; i < aCount; ++i) {
    const std::string number = std::to_string(i);
    const std::string& place = kPlaces[i % kPlaces.size()];
    const double capacity = i / kPlaces.size() % 16 == 0 ? 1.0 : 0.12;
    std::string id = "entry-";
    id.append(place).append("-").append(number);
    all.push_back({ std::move(id),
                    "10.0.0." + number + ":7",
                    capacity,
                    DataCentreId(place) });
  }
  return all;
}

std::map<std::string, HubPlan>
PlansOf(const std::vector<KnownInstance>& aInstances)
{
  std::map<std::string, HubPlan> plans;
  for (const KnownInstance& one : aInstances) {
    plans.emplace(one.id, PlanHubs(aInstances, one.id));
  }
  return plans;
}

const Instant kStart = Instant(std::chrono::hours(1));

/// @return the role of an instance that started with a row of its own, or
/// without one, and found those of eight others.
HubRole
RoleAfterStart(bool aHasOwnRow)
{
  HubRole role("entry-north-0");
  role.OnStart(kStart);
  role.OnAllRows(aHasOwnRow);
  role.Update(Instances(9));
  return role;
}

std::size_t
CountLevel(const std::map<std::string, HubPlan>& aPlans, HubLevel aLevel)
{
  std::size_t count = 0;
  for (const auto& [id, plan] : aPlans) {
    count += plan.level == aLevel ? 1 : 0;
  }
  return count;
}

/// What the instances of a fleet of one size send and receive.
struct TreeCost
{
  std::size_t readers = 0;            ///< That read the operators' store.
  std::size_t polled_by_relay = 0;    ///< Most instances that poll one relay.
  std::size_t first_relay_polled = 0; ///< The same, with the other relays.
  std::size_t polled_by_reader = 0;
  std::size_t crossings = 0; ///< Polls between data centres.
  std::size_t unreached = 0; ///< Instances that no reader's updates reach.
};

TreeCost
CostOf(std::size_t aCount)
{
  const auto all = Instances(aCount);
  const auto plans = PlansOf(all);
  std::map<std::string, std::size_t> polled;
  std::map<std::string, std::size_t> polled_by_relays;
  TreeCost cost;
  for (const KnownInstance& one : all) {
    const HubPlan& plan = plans.at(one.id);
    if (plan.upstreams.empty()) {
      ++cost.readers;
      continue;
    }
    const KnownInstance& upstream = plan.upstreams.front();
    ++polled[upstream.id];
    polled_by_relays[upstream.id] += plan.level == HubLevel::kRelay ? 1 : 0;
    cost.crossings += upstream.data_centre == one.data_centre ? 0 : 1;
    std::string at = one.id;
    for (int steps = 0; !plans.at(at).upstreams.empty() && steps < 4; ++steps) {
      at = plans.at(at).upstreams.front().id;
    }
    cost.unreached += plans.at(at).level == HubLevel::kReader ? 0 : 1;
  }
  for (const auto& [id, count] : polled) {
    if (plans.at(id).level == HubLevel::kReader) {
      cost.polled_by_reader = std::max(cost.polled_by_reader, count);
      continue;
    }
    cost.first_relay_polled = std::max(cost.first_relay_polled, count);
    cost.polled_by_relay =
      std::max(cost.polled_by_relay, count - polled_by_relays[id]);
  }
  return cost;
}

} // namespace

TEST_GROUP(Hubs){};

TEST(Hubs, AFewInstancesAreAllReaders)
{
  const HubPlan plan = PlanHubs(Instances(12), "entry-west-3");
  CHECK(plan.level == HubLevel::kReader);
  CHECK(plan.upstreams.empty());
  LONGS_EQUAL(12, plan.readers);
  LONGS_EQUAL(0, plan.relays);
}

// With a fixed number of hubs, each one answers a share of the fleet: at 984
// instances it was 123, five of six from another data centre, and every hub
// read all of the operators' store. Here what an instance sends and receives
// stays the same while the fleet grows, and updates cross to each data centre
// once, and to the standbys.
TEST(Hubs, CostOfAnInstanceDoesNotGrowWithTheFleet)
{
  const HubOptions options;
  for (const std::size_t count : { 512U, 1024U, 2048U }) {
    const TreeCost cost = CostOf(count);
    LONGS_EQUAL(options.readers, cost.readers);
    LONGS_EQUAL(0, cost.unreached);
    // Twice the mean, as each follower chooses its relay by hash.
    CHECK(cost.polled_by_relay <= 2 * options.followers_per_relay);
    const std::size_t links = kPlaces.size() + options.standbys;
    CHECK(cost.polled_by_reader <= links);
    CHECK(cost.crossings <= links);
    CHECK(cost.first_relay_polled <=
          2 * options.followers_per_relay + count / 256);
  }
}

TEST(Hubs, EveryInstancePlansTheSameTree)
{
  const auto all = Instances(370);
  const auto plans = PlansOf(all);
  LONGS_EQUAL(2, CountLevel(plans, HubLevel::kReader));
  LONGS_EQUAL(2, CountLevel(plans, HubLevel::kStandby));
  const std::size_t relays = CountLevel(plans, HubLevel::kRelay);
  LONGS_EQUAL(12, relays);
  for (const auto& [id, plan] : plans) {
    LONGS_EQUAL(relays + 2, plan.relays);
    for (const KnownInstance& upstream : plan.upstreams) {
      CHECK(plans.at(upstream.id).level != HubLevel::kFollower);
    }
  }
}

TEST(Hubs, FollowersPollRelaysOfTheirDataCentreFirst)
{
  const auto all = Instances(370);
  for (const KnownInstance& one : all) {
    const HubPlan plan = PlanHubs(all, one.id);
    if (plan.level != HubLevel::kFollower) {
      continue;
    }
    LONGS_EQUAL(6, plan.upstreams.size()); // two relays, readers, standbys
    CHECK(plan.upstreams[0].data_centre == one.data_centre);
    CHECK(plan.upstreams[1].data_centre == one.data_centre);
  }
}

// A hub sends each update to dozens of instances, more than the smallest
// machines can handle (hot spot).
TEST(Hubs, AreInstancesOfLargeCapacity)
{
  const auto all = Instances(984);
  const auto plans = PlansOf(all);
  for (const KnownInstance& one : all) {
    if (plans.at(one.id).level != HubLevel::kFollower) {
      DOUBLES_EQUAL(1.0, one.capacity, 1e-9);
    }
  }
}

TEST(Hubs, SmallInstancesAreHubsWhereThereAreNoOthers)
{
  auto all = Instances(100);
  for (KnownInstance& one : all) {
    one.capacity = one.data_centre == DataCentreId("north") ? 1.0 : 0.12;
  }
  const auto plans = PlansOf(all);
  std::set<DataCentreId> places;
  for (const KnownInstance& one : all) {
    if (plans.at(one.id).level == HubLevel::kRelay) {
      places.insert(one.data_centre);
    }
  }
  LONGS_EQUAL(kPlaces.size(), places.size());
}

// Instances of older versions do not say where they are.
TEST(Hubs, InstancesOfUnknownDataCentreHaveRelaysOfTheirOwn)
{
  auto all = Instances(60);
  for (std::size_t i = 0; i < 20; ++i) {
    all[i].data_centre = DataCentreId();
  }
  for (const auto& [id, plan] : PlansOf(all)) {
    if (plan.level == HubLevel::kFollower) {
      CHECK(plan.upstreams.size() >= 5);
    }
  }
}

TEST(Hubs, LosingAReaderPromotesAStandby)
{
  auto all = Instances(984);
  const auto plans = PlansOf(all);
  const auto reader =
    std::find_if(plans.begin(), plans.end(), [](const auto& aPlan) {
      return aPlan.second.level == HubLevel::kReader;
    })->first;
  std::erase_if(all,
                [&](const KnownInstance& aOne) { return aOne.id == reader; });
  const auto after = PlansOf(all);
  for (const auto& [id, plan] : after) {
    const HubLevel before = plans.at(id).level;
    CHECK(plan.level != HubLevel::kReader || before == HubLevel::kReader ||
          before == HubLevel::kStandby);
  }
  LONGS_EQUAL(2, CountLevel(after, HubLevel::kReader));
}

// The rows of instances that died stay for minutes, so both readers may be
// gone while all others still count on them.
TEST(Hubs, AStandbyWatchesWhenNoReaderAnswers)
{
  const auto all = Instances(984);
  const auto plans = PlansOf(all);
  const auto standby =
    std::find_if(plans.begin(), plans.end(), [](const auto& aPlan) {
      return aPlan.second.level == HubLevel::kStandby;
    })->first;
  const Instant start = Instant(std::chrono::hours(1));
  HubRole role(standby);
  role.OnStart(start);
  role.Update(all);
  CHECK(role.HasFollowers());
  CHECK_FALSE(role.Watches(start + kStandbyDelay));
  CHECK(role.Watches(start + kStandbyDelay + milliseconds(1)));
  role.OnUpstreamAnswer(start + std::chrono::seconds(5));
  CHECK_FALSE(role.Watches(start + std::chrono::seconds(5)));
}

// An instance whose upstream lost the operators' store reads it later than the
// upstream does, so that thousands of rows are not read by all.
TEST(Hubs, InstancesFurtherDownWaitLongerForRows)
{
  const auto all = Instances(984);
  std::map<HubLevel, Duration> lifetimes;
  for (const KnownInstance& one : all) {
    HubRole role(one.id);
    role.Update(all);
    lifetimes[role.Level()] = role.RowsLifetime();
  }
  CHECK(lifetimes[HubLevel::kStandby] < lifetimes[HubLevel::kRelay]);
  CHECK(lifetimes[HubLevel::kRelay] < lifetimes[HubLevel::kFollower]);
}

TEST(Hubs, ASmallFleetReadsTheStoreSoonerAfterARestart)
{
  HubRole role("entry-north-0");
  role.Update(Instances(24));
  CHECK(role.DirectReadDelay(0) < milliseconds(20));
  CHECK(role.DirectReadDelay(1) < milliseconds(40));
  role.Update(Instances(984));
  CHECK(role.DirectReadDelay(0) == std::chrono::seconds(3));
  CHECK(role.DirectReadDelay(1) > std::chrono::seconds(12));
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

TEST(Hubs, AnInstanceIsAReaderUntilItKnowsTheOthers)
{
  HubRole role("entry-north-0");
  CHECK(role.Level() == HubLevel::kReader);
  role.Update(Instances(12));
  CHECK(role.Level() == HubLevel::kReader);
  CHECK_FALSE(role.HasFollowers());
}

// If all instances start at once, each one would watch all stores until they
// know of each other (thundering herd).
TEST(Hubs, AStartingInstanceWatchesOnceItHasSettled)
{
  const Instant start = Instant(std::chrono::hours(1));
  HubRole role("entry-north-0");
  role.OnStart(start);
  CHECK_FALSE(role.Watches(start + milliseconds(2299)));
  CHECK(role.Watches(start + milliseconds(2300)));
}

// The first instances of a large fleet that find a few rows are not a small
// fleet: a thousand of them read all rows and watched a hundred stores each.
TEST(Hubs, AFewRowsAtAStartOfAllAreNoSmallFleet)
{
  HubRole role = RoleAfterStart(false);
  CHECK_FALSE(role.Watches(kStart + milliseconds(1600)));
  role.Update(Instances(300));
  CHECK_FALSE(role.IsSettling(kStart + milliseconds(1700)));
}

TEST(Hubs, AnInstanceThatRestartsInASmallFleetWatchesAtOnce)
{
  CHECK(RoleAfterStart(true).Watches(kStart));
}
