#ifndef JUJUBEHEAD_CORE_ROUTING_ATTEMPT_PLAN_HPP
#define JUJUBEHEAD_CORE_ROUTING_ATTEMPT_PLAN_HPP

#include <cstdint> // for uint8_t, uint32_t

namespace jujubehead::core {

/// @brief How one attempt at a target ended without an answer to pass on.
enum class AttemptEnd : std::uint8_t
{
  kNotSent,  ///< Not a byte of it left: it has not run.
  kRefused,  ///< The target said that it has not run, and will not.
  kBroken,   ///< It was sent and no whole answer came: it may have run.
  kFailed,   ///< It ran, and the target answered with a failure of its own.
  kTimedOut, ///< The time was up while the target had it.
};

/// @brief What to do after an attempt.
enum class NextStep : std::uint8_t
{
  kSendAgain,    ///< At another target, if the budget allows.
  kPassOn,       ///< Give the caller the target's failure.
  kRefuse,       ///< Say that it has not run, and when to come back.
  kFail,         ///< Say that it may have run.
  kFailTimedOut, ///< The same, as the time was up.
};

/// @brief What has happened to a request so far.
struct AttemptHistory
{
  bool may_repeat = false;        ///< The request may run more than once.
  std::uint32_t may_have_run = 0; ///< Attempts after which it may have run.
  std::uint32_t sends = 0;        ///< Attempts that reached a target.
  std::uint32_t max_targets = 1;  ///< Targets that it may run on.
  bool has_time = true;           ///< Another attempt could end in time.
};

/// Attempts that targets refused do not count as runs, but each is an arrival:
/// so many beyond the permitted runs settle where a few targets just fill up or
/// leave, and more would only add load.
inline constexpr std::uint32_t kExtraSends = 2;

/// @brief Decides what follows an attempt. A request that may run once only is
/// sent again only while it surely has not run; an answer that says "not run"
/// is given only while that is true of all attempts.
NextStep
AfterAttempt(AttemptEnd aEnd, const AttemptHistory& aHistory);

/// @return what to do instead of sending again, when no target or no budget is
/// left.
NextStep
InsteadOfSending(AttemptEnd aEnd, const AttemptHistory& aHistory);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_ATTEMPT_PLAN_HPP
