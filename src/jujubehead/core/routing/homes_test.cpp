#include "jujubehead/core/routing/homes.hpp"

#include <algorithm> // for find
#include <string>    // for to_string

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for rc::check

using namespace jujubehead::core;

namespace {

constexpr int kRegions = 4;
constexpr int kDataCentres = 6;

std::vector<RegionId>
RandomRegions()
{
  std::vector<RegionId> regions;
  for (const int region :
       *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, kRegions))) {
    regions.emplace_back("r" + std::to_string(region));
  }
  return regions;
}

DataCentreRegions
RandomMap()
{
  DataCentreRegions map;
  for (int i = 0; i < kDataCentres; ++i) {
    // Some data centres are in no known region.
    const int region = *rc::gen::inRange(0, kRegions + 1);
    if (region < kRegions) {
      map[DataCentreId("d" + std::to_string(i))] =
        RegionId("r" + std::to_string(region));
    }
  }
  return map;
}

bool
Has(const std::vector<RegionId>& aRegions, const RegionId& aRegion)
{
  return std::find(aRegions.begin(), aRegions.end(), aRegion) != aRegions.end();
}

} // namespace

TEST_GROUP(Homes){};

TEST(Homes, NothingRestrictedAllowsUnknownDataCentres)
{
  const DataCentreRegions map;
  CHECK(Homes({}, {}, map).Allow(DataCentreId("d1")));
}

// Compares with a direct reading of the rule on random declarations.
TEST(Homes, RouteAndAccountBothBind)
{
  CHECK(rc::check("only regions that both allow", [] {
    const std::vector<RegionId> route = RandomRegions();
    const std::vector<RegionId> account = RandomRegions();
    const DataCentreRegions map = RandomMap();
    const Homes homes(route, account, map);
    for (int i = 0; i < kDataCentres; ++i) {
      const DataCentreId data_centre("d" + std::to_string(i));
      const bool is_known = map.contains(data_centre);
      const bool by_route =
        route.empty() || (is_known && Has(route, map.at(data_centre)));
      const bool by_account =
        account.empty() || (is_known && Has(account, map.at(data_centre)));
      RC_ASSERT(homes.Allow(data_centre) == (by_route && by_account));
    }
  }));
}
