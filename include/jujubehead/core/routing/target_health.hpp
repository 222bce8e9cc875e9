#ifndef JUJUBEHEAD_CORE_ROUTING_TARGET_HEALTH_HPP
#define JUJUBEHEAD_CORE_ROUTING_TARGET_HEALTH_HPP

#include <cstdint> // for uint32_t

#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief How one instance believes or doubts a target, on what its own
/// requests met there.
struct TargetHealthOptions
{
  /// First time out after a target could not be reached. A process that ended
  /// is back after seconds; asking once a half second costs one connection.
  Duration first_out = std::chrono::milliseconds(500);
  /// Longest time out: what a target that came back loses at most.
  Duration longest_out = std::chrono::seconds(4);
  /// Failures among the last answers from which a target is taken out. Usual
  /// services fail one request in seven by themselves, so a half is evidence.
  double failing_share = 0.5;
  /// How much one answer weighs in the moving share of failures.
  double share_weight = 0.15;
};

/// @brief Takes a target out after it could not be reached or answered wrongly,
/// lets one request try again after a while, and lets it back in when that
/// request went well.
class TargetHealth
{
public:
  explicit TargetHealth(TargetHealthOptions aOptions = {});

  /// @brief The target answered a request as it should.
  void OnAnswer();
  /// @brief A request got a wrong answer, or none though it was connected.
  void OnFailure(Instant aNow);
  /// @brief The target could not be reached at all.
  void OnUnreachable(Instant aNow);

  /// @return the moving share of failures among the answers.
  [[nodiscard]] double FailingShare() const { return m_failing; }
  /// @return whether requests may go there now.
  [[nodiscard]] bool IsUsable(Instant aNow) const;
  /// @brief A request is about to go there. While the target is on trial, this
  /// keeps others away until the trial is over.
  void OnSend(Instant aNow);

private:
  void TakeOut(Instant aNow);

  TargetHealthOptions m_options;
  double m_failing = 0;
  std::uint32_t m_times_out = 0; ///< In a row.
  Instant m_out_until{};
  bool m_on_trial = false;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_TARGET_HEALTH_HPP
