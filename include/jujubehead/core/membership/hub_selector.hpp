#ifndef JUJUBEHEAD_CORE_MEMBERSHIP_HUB_SELECTOR_HPP
#define JUJUBEHEAD_CORE_MEMBERSHIP_HUB_SELECTOR_HPP

#include <cstddef> // for size_t
#include <cstdint> // for uint8_t, uint32_t

#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::core {

/// @brief How a poll of a hub failed.
enum class HubFailure : std::uint8_t
{
  kNotServing, ///< It is not a hub, or could not be reached.
  kTimeout,    ///< It accepted the poll and did not respond in time.
};

/// @brief Chooses which hub an instance polls next, and after what delay.
///
/// It leaves an unreachable hub at once, and a slow one after two timeouts in a
/// row. The delay doubles with each failure (exponential backoff): otherwise
/// slow hubs would also get the pollers of all other hubs, each of which first
/// needs a hub's whole list, and none would recover (metastable overload).
/// Meanwhile the instance reads the operators' store directly.
class HubSelector
{
public:
  /// @return the index of the hub to poll.
  /// @param aHubs the number of hubs.
  [[nodiscard]] std::size_t Next(std::size_t aHubs) const;
  void OnAnswer();
  /// @param aJitter uniform in 0 to 1.
  /// @return the delay until the next poll.
  Duration OnFailure(HubFailure aFailure, double aJitter);

private:
  std::size_t m_next = 0;
  std::uint32_t m_failures = 0; ///< Each response takes one off.
  bool m_is_late = false;       ///< The last poll of the current hub timed out.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_MEMBERSHIP_HUB_SELECTOR_HPP
