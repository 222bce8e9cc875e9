#ifndef JUJUBEHEAD_CORE_ROUTING_TARGET_HEALTH_HPP
#define JUJUBEHEAD_CORE_ROUTING_TARGET_HEALTH_HPP

#include <cstdint> // for uint32_t

#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief Parameters of one instance's circuit breaker for a target.
struct TargetHealthOptions
{
  /// First ejection after a target could not be reached. A process that ended
  /// is back after seconds; a probe each half second costs one connection.
  Duration first_ejection = std::chrono::milliseconds(500);
  /// Bound on how long a target that has recovered stays without requests.
  Duration max_ejection = std::chrono::seconds(4);
  /// Failure rate from which a target is ejected. Healthy services fail up to
  /// one request in seven, so a half shows a fault of the target.
  double max_failure_rate = 0.5;
  /// Weight of one response in the moving average of the failure rate.
  double response_weight = 0.15;
};

/// @brief A circuit breaker: ejects a target that could not be reached or that
/// fails too many requests, then sends one request as a probe, and admits the
/// target again when the probe succeeds.
class TargetHealth
{
public:
  explicit TargetHealth(TargetHealthOptions aOptions = {});

  /// @brief A request succeeded.
  void OnAnswer();
  /// @brief A request got an error, or no response although it was connected.
  void OnFailure(Instant aNow);
  /// @brief The target could not be reached at all.
  void OnUnreachable(Instant aNow);

  /// @brief Another instance reached the target: only this instance's path to
  /// it had failed.
  void OnReachable();

  /// @return the moving average of the failure rate, 0 to 1.
  [[nodiscard]] double FailureRate() const { return m_failure_rate; }
  /// @return whether requests may be sent to the target.
  [[nodiscard]] bool IsUsable(Instant aNow) const;
  /// @brief A request is about to be sent. If it is the probe of an ejected
  /// target, no other request is sent until it ends or its time is over.
  void OnSend(Instant aNow);

private:
  void Eject(Instant aNow);

  TargetHealthOptions m_options;
  double m_failure_rate = 0;
  std::uint32_t m_ejections = 0; ///< Consecutive.
  Instant m_ejected_until{};
  bool m_is_probing = false;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_TARGET_HEALTH_HPP
