#ifndef JUJUBEHEAD_CORE_ROUTING_ADMISSION_HPP
#define JUJUBEHEAD_CORE_ROUTING_ADMISSION_HPP

#include <cstdint>  // for uint32_t
#include <optional> // for optional

#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::core {

/// @brief Predicts the time to the first answer at a target from the requests
/// there: what each of them has added of late, by the requests of one route.
class WaitPredictor
{
public:
  /// @brief A request got its first answer.
  /// @param aLoad requests at the target when it was sent.
  void OnFirstAnswer(double aLoad, Duration aTook);
  /// @return the expected time; nothing before the first answer.
  [[nodiscard]] std::optional<Duration> At(double aLoad) const;

private:
  std::optional<double> m_per_request; ///< In microseconds.
};

/// @brief What admission weighs of a request and the target chosen for it.
struct AdmissionInput
{
  std::optional<Duration> predicted; ///< Time to its first answer there.
  Duration objective{};              ///< For that time.
  std::uint32_t urgency = 5;         ///< 0 to 9, 0 is the most urgent.
  double waiting = 0; ///< Requests that wait there without running.
};

/// @brief Decides whether a request is begun, or refused at once because it
/// would be answered late and make all others late too.
///
/// The pattern: a part of the targets is lost, or a burst comes, and queues
/// grow without end. Served in order, nearly all answers come late; refused
/// early, the less urgent and largest first, those that are begun come in time,
/// and the refused know at once when to come back. Nothing is refused where
/// nothing waits.
[[nodiscard]] bool
IsAdmitted(const AdmissionInput& aInput);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_ADMISSION_HPP
