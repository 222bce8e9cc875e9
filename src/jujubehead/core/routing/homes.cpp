#include "jujubehead/core/routing/homes.hpp"

#include <algorithm> // for find

namespace jujubehead::core {
namespace {

bool
Contains(std::span<const RegionId> aRegions, const RegionId& aRegion)
{
  return aRegions.empty() ||
         std::find(aRegions.begin(), aRegions.end(), aRegion) != aRegions.end();
}

} // namespace

Homes::Homes(std::span<const RegionId> aRoute,
             std::span<const RegionId> aAccount,
             const DataCentreRegions& aRegions)
  : m_route(aRoute.begin(), aRoute.end())
  , m_account(aAccount.begin(), aAccount.end())
  , m_regions(&aRegions)
{
}

bool
Homes::Allow(const DataCentreId& aDataCentre) const
{
  if (!IsRestricted()) {
    return true;
  }
  const auto region = m_regions->find(aDataCentre);
  return region != m_regions->end() && Contains(m_route, region->second) &&
         Contains(m_account, region->second);
}

} // namespace jujubehead::core
