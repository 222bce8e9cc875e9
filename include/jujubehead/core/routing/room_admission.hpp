#ifndef JUJUBEHEAD_CORE_ROUTING_ROOM_ADMISSION_HPP
#define JUJUBEHEAD_CORE_ROUTING_ROOM_ADMISSION_HPP

#include <cstddef> // for size_t

#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::core {

/// @brief The load of all targets of a service that take requests, as the
/// reports of all instances show it.
struct ServiceLoad
{
  std::size_t targets = 0;
  double waiting = 0;  ///< Requests queued, at all targets.
  double requests = 0; ///< Requests at all targets, queued ones included.

  /// @return the mean queue of a target.
  [[nodiscard]] double MeanQueue() const
  {
    return targets > 0 ? waiting / static_cast<double>(targets) : 0;
  }
  /// @return the time in which the targets have served what is queued.
  /// @param aMeanDuration of a request at a target.
  [[nodiscard]] Duration TimeToDrain(Duration aMeanDuration) const;
};

/// @brief A request for which a service's targets may have no room.
struct RoomRequest
{
  bool is_most_urgent = false;  ///< Of the service's requests.
  std::size_t levels_below = 0; ///< Less urgent levels of the service.
  /// Tokens relative to the mean of its route.
  double size = 1;
  /// Its caller was refused before and comes back.
  bool is_retry = false;
};

/// @brief Decides who is admitted while the targets of a service have queues:
/// the more urgent first, then what takes little room.
///
/// Targets run urgent requests before those that wait, so a queue delays only
/// requests that are no more urgent than those in it. The most urgent are
/// always admitted: their targets keep room for them by refusing the others.
/// The longer the mean queue, the fewer of the others are admitted, least
/// urgent ones first. The share falls gradually, as all instances see about the
/// same queue and would otherwise admit all and none by turns.
///
/// @return the share of such requests to admit, 0 to 1.
[[nodiscard]] double
AdmittedShare(const ServiceLoad& aLoad, const RoomRequest& aRequest);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_ROOM_ADMISSION_HPP
