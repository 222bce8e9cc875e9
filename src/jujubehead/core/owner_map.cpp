#include "owner_map.hpp"

#include <algorithm> // for max

namespace jujubehead::core {

void
OwnerMap::Put(const GroupRow& aRow)
{
  GroupRow& known = m_groups[aRow.group];
  const std::uint64_t rev = std::max(known.rev, aRow.rev);
  if (aRow.epoch >= known.epoch) {
    known = aRow;
  }
  known.rev = rev;
}

void
OwnerMap::Put(const LeaseRow& aRow)
{
  if (m_ended.contains(aRow.lease)) {
    return;
  }
  LeaseRow& known = m_leases[aRow.lease];
  if (aRow.rev >= known.rev) {
    known = aRow;
  }
}

void
OwnerMap::End(const Incarnation& aLease)
{
  m_leases.erase(aLease);
  m_ended.insert(aLease);
}

void
OwnerMap::ReplaceLeases(const std::vector<LeaseRow>& aRows)
{
  m_leases.clear();
  for (const LeaseRow& row : aRows) {
    Put(row);
  }
}

const GroupRow*
OwnerMap::Group(const GroupId& aGroup) const
{
  const auto found = m_groups.find(aGroup);
  return found == m_groups.end() ? nullptr : &found->second;
}

const LeaseRow*
OwnerMap::Lease(const Incarnation& aLease) const
{
  const auto found = m_leases.find(aLease);
  return found == m_leases.end() ? nullptr : &found->second;
}

std::vector<LeaseRow>
OwnerMap::LeasesOf(const InstanceId& aInstance) const
{
  std::vector<LeaseRow> rows;
  for (auto at = m_leases.lower_bound({ aInstance, 0 });
       at != m_leases.end() && at->first.instance == aInstance;
       ++at) {
    rows.push_back(at->second);
  }
  return rows;
}

} // namespace jujubehead::core
