#ifndef JUJUBEHEAD_CORE_ROUTING_ADMISSION_HPP
#define JUJUBEHEAD_CORE_ROUTING_ADMISSION_HPP

#include <cstdint>  // for uint32_t
#include <optional> // for optional

#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::core {

/// @brief Predicts the time to the first response at a target from the number
/// of requests there: a moving average of the delay that each of them adds,
/// learned from the requests of one route.
class WaitPredictor
{
public:
  /// @brief Records the time to a request's first response.
  /// @param aLoad requests at the target when the request was sent.
  void OnFirstResponse(double aLoad, Duration aTook);
  /// @return the expected time; nothing before the first response.
  [[nodiscard]] std::optional<Duration> At(double aLoad) const;

private:
  std::optional<double> m_per_request; ///< In microseconds.
};

/// @brief The input of the admission decision: a request and its target.
struct AdmissionInput
{
  std::optional<Duration> predicted; ///< Time to the first response.
  Duration objective{};              ///< For the time to the first response.
  std::uint32_t urgency = 5;         ///< 0 to 9, 0 is the most urgent.
  double waiting = 0;                ///< Requests queued at the target.
};

/// @return the predicted time above which requests of an urgency, 0 to 9, are
/// refused.
[[nodiscard]] Duration
AdmissionLimit(Duration aObjective, std::uint32_t aUrgency);

/// @brief Decides whether a request is admitted, or refused at once because it
/// would be answered late and delay all others.
///
/// When targets fail or a burst arrives, queues grow without bound, and served
/// in order nearly all responses come late (congestion collapse). With load
/// shedding, the less urgent and largest requests first, admitted requests meet
/// their objective, and refused callers learn at once when to retry. Nothing is
/// refused while the target's queue is empty.
[[nodiscard]] bool
IsAdmitted(const AdmissionInput& aInput);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_ADMISSION_HPP
