#ifndef JUJUBEHEAD_SRC_CORE_OWNER_MAP_HPP
#define JUJUBEHEAD_SRC_CORE_OWNER_MAP_HPP

#include <map>      // for map
#include <optional> // for optional
#include <set>      // for set
#include <vector>   // for vector

#include "jujubehead/core/ownership_messages.hpp" // for GroupRow, LeaseRow

namespace jujubehead::core {

/// @brief Local cache of the group and lease rows, filled by reads and by other
/// instances' announcements.
class OwnerMap
{
public:
  void Put(const GroupRow& aRow);
  void Put(const LeaseRow& aRow);
  void End(const Incarnation& aLease);
  /// @brief Replaces all leases by the rows just read; any other has ended.
  void ReplaceLeases(const std::vector<LeaseRow>& aRows);

  [[nodiscard]] const GroupRow* Group(const GroupId& aGroup) const;
  [[nodiscard]] const LeaseRow* Lease(const Incarnation& aLease) const;
  [[nodiscard]] std::vector<LeaseRow> LeasesOf(
    const InstanceId& aInstance) const;
  [[nodiscard]] const std::map<GroupId, GroupRow>& Groups() const
  {
    return m_groups;
  }
  [[nodiscard]] const std::map<Incarnation, LeaseRow>& Leases() const
  {
    return m_leases;
  }

private:
  std::map<GroupId, GroupRow> m_groups;
  std::map<Incarnation, LeaseRow> m_leases;
  std::set<Incarnation> m_ended;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_SRC_CORE_OWNER_MAP_HPP
