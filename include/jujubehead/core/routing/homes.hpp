#ifndef JUJUBEHEAD_CORE_ROUTING_HOMES_HPP
#define JUJUBEHEAD_CORE_ROUTING_HOMES_HPP

#include <map>    // for map
#include <span>   // for span
#include <vector> // for vector

#include "jujubehead/core/ids.hpp" // for DataCentreId, RegionId

namespace jujubehead::core {

/// Maps each data centre to its region.
using DataCentreRegions = std::map<DataCentreId, RegionId>;

/// @brief The regions in which a request may run and its KV cache may lie.
///
/// The declarations of the route and of the client account both bind: only
/// regions that each of them allows remain. A data centre whose region is
/// unknown is allowed only where nothing is restricted.
class Homes
{
public:
  /// @param aRoute regions that the route allows; empty: all.
  /// @param aAccount regions that the client account allows; empty: all.
  /// @param aRegions outlives this.
  Homes(std::span<const RegionId> aRoute,
        std::span<const RegionId> aAccount,
        const DataCentreRegions& aRegions);

  [[nodiscard]] bool Allow(const DataCentreId& aDataCentre) const;
  [[nodiscard]] bool IsRestricted() const
  {
    return !m_route.empty() || !m_account.empty();
  }

private:
  std::vector<RegionId> m_route;
  std::vector<RegionId> m_account;
  const DataCentreRegions* m_regions;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_HOMES_HPP
