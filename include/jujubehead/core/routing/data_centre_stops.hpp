#ifndef JUJUBEHEAD_CORE_ROUTING_DATA_CENTRE_STOPS_HPP
#define JUJUBEHEAD_CORE_ROUTING_DATA_CENTRE_STOPS_HPP

#include <map>      // for map
#include <optional> // for optional
#include <set>      // for set
#include <vector>   // for vector

#include "jujubehead/core/ids.hpp"           // for DataCentreId
#include "jujubehead/core/runtime_clock.hpp" // for Instant

namespace jujubehead::core {

/// @brief A change of one data centre's planned stop.
struct DataCentreStopChange
{
  DataCentreId data_centre;
  /// Nothing: the declaration cannot be read, and the last valid one stays.
  std::optional<bool> is_stopped;
};

/// @brief What an update of the planned stops changed.
struct DataCentreStopUpdate
{
  std::set<DataCentreId> begun;
  /// Also stops that began and ended since the last update.
  std::set<DataCentreId> ended;

  [[nodiscard]] bool IsEmpty() const { return begun.empty() && ended.empty(); }
};

/// @brief The planned stops of data centres: their targets and stores take no
/// new work, and what runs there finishes.
class DataCentreStops
{
public:
  /// @brief Applies changes in the order in which the operator made them.
  DataCentreStopUpdate Apply(const std::vector<DataCentreStopChange>& aChanges,
                             Instant aNow);
  /// @brief Replaces all stops by a snapshot; those that are missing from it
  /// have ended.
  DataCentreStopUpdate Replace(const std::vector<DataCentreStopChange>& aAll,
                               Instant aNow);

  /// @return the stopped data centres and when this instance learned of it.
  [[nodiscard]] const std::map<DataCentreId, Instant>& All() const
  {
    return m_since;
  }
  [[nodiscard]] std::set<DataCentreId> Names() const;

private:
  std::map<DataCentreId, Instant> m_since;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_DATA_CENTRE_STOPS_HPP
