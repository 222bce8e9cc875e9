#ifndef JUJUBEHEAD_CORE_MEMBERSHIP_HUB_CHOICE_HPP
#define JUJUBEHEAD_CORE_MEMBERSHIP_HUB_CHOICE_HPP

#include <cstddef> // for size_t
#include <cstdint> // for uint8_t, uint32_t

#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::core {

/// @brief How a question to a hub failed.
enum class HubFailure : std::uint8_t
{
  kGone, ///< It is no hub, or nothing took the question.
  kLate, ///< It took the question and did not answer in time.
};

/// @brief Which hub an instance asks next, and after what pause.
///
/// One that is gone is left at once, one that answers late when it does so
/// twice in a row. The pauses double with each failure: hubs that are merely
/// slow would otherwise get the askers of all others too, each of which
/// begins with a hub's whole list, and none would recover (metastable
/// overload). Meanwhile the instance reads the operators' store by itself.
class HubChoice
{
public:
  /// @return the place of the hub to ask among so many.
  [[nodiscard]] std::size_t Next(std::size_t aHubs) const;
  void OnAnswer();
  /// @param aJitter 0 to 1, even.
  /// @return the pause until the next question.
  Duration OnFailure(HubFailure aFailure, double aJitter);

private:
  std::size_t m_next = 0;
  std::uint32_t m_failures = 0; ///< Of late, less the answers since.
  bool m_is_late = false;       ///< The present one was, the last time.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_MEMBERSHIP_HUB_CHOICE_HPP
