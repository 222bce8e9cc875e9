#ifndef JUJUBEHEAD_CORE_ROUTING_ATTEMPT_PLAN_HPP
#define JUJUBEHEAD_CORE_ROUTING_ATTEMPT_PLAN_HPP

#include <cstdint> // for uint8_t, uint32_t

namespace jujubehead::core {

/// @brief How one attempt at a target failed.
enum class AttemptOutcome : std::uint8_t
{
  kNotSent,  ///< No byte was sent: the request has not run.
  kRefused,  ///< The target refused it: the request has not run.
  kBroken,   ///< Sent, but no complete response came: it may have run.
  kFailed,   ///< It ran, and the target responded with an error.
  kTimedOut, ///< The deadline passed after it was sent: it may have run.
};

/// @brief What to do after a failed attempt.
enum class NextStep : std::uint8_t
{
  kRetry,        ///< Retry at another target, if the retry budget allows.
  kForwardError, ///< Forward the target's error to the caller.
  kRefuse,       ///< Respond that it has not run, and when to retry.
  kFail,         ///< Respond that it may have run.
  kFailTimedOut, ///< Respond that it timed out and may have run.
};

/// @brief The attempts of a request so far.
struct AttemptHistory
{
  bool is_repeatable = false;     ///< The request may run more than once.
  std::uint32_t may_have_run = 0; ///< Attempts after which it may have run.
  std::uint32_t sends = 0;        ///< Attempts that reached a target.
  std::uint32_t max_targets = 1;  ///< Targets that it may run on.
  bool has_time = true; ///< Another attempt can end before the deadline.
};

/// Sends allowed beyond `max_targets`. Refused attempts do not count as runs,
/// but each one loads a target: 2 more are enough when a few targets have just
/// filled up or are draining, and a higher limit would only add load.
inline constexpr std::uint32_t kExtraSends = 2;

/// @brief Decides what follows a failed attempt. A request that may run only
/// once is retried only while it certainly has not run; the response "not run"
/// is given only if that holds for all attempts.
NextStep
StepAfterAttempt(AttemptOutcome aEnd, const AttemptHistory& aHistory);

/// @return what to do when a retry is not possible, for instance because no
/// target or no budget is left.
NextStep
StepWithoutRetry(AttemptOutcome aEnd, const AttemptHistory& aHistory);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_ATTEMPT_PLAN_HPP
