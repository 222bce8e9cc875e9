#include "jujubehead/core/routing/data_centre_stops.hpp"

namespace jujubehead::core {

DataCentreStopUpdate
DataCentreStops::Apply(const std::vector<DataCentreStopChange>& aChanges,
                       Instant aNow)
{
  DataCentreStopUpdate update;
  for (const DataCentreStopChange& change : aChanges) {
    if (!change.is_stopped) {
      continue;
    }
    if (!*change.is_stopped) {
      m_since.erase(change.data_centre);
      update.ended.insert(change.data_centre);
    } else if (m_since.try_emplace(change.data_centre, aNow).second) {
      update.begun.insert(change.data_centre);
    }
  }
  return update;
}

DataCentreStopUpdate
DataCentreStops::Replace(const std::vector<DataCentreStopChange>& aAll,
                         Instant aNow)
{
  std::set<DataCentreId> present;
  for (const DataCentreStopChange& change : aAll) {
    present.insert(change.data_centre);
  }
  std::vector<DataCentreStopChange> changes = aAll;
  for (const auto& [data_centre, since] : m_since) {
    if (!present.contains(data_centre)) {
      changes.push_back({ data_centre, false });
    }
  }
  return Apply(changes, aNow);
}

std::set<DataCentreId>
DataCentreStops::Names() const
{
  std::set<DataCentreId> names;
  for (const auto& [name, since] : m_since) {
    names.insert(name);
  }
  return names;
}

} // namespace jujubehead::core
