#include "jujubehead/core/routing/attempt_plan.hpp"

namespace jujubehead::core {
namespace {

bool
MayBeSentAgain(AttemptOutcome aEnd, const AttemptHistory& aHistory)
{
  if (!aHistory.has_time || aEnd == AttemptOutcome::kTimedOut) {
    return false;
  }
  if (aHistory.sends >= aHistory.max_targets + kExtraSends) {
    return false;
  }
  return aHistory.may_have_run == 0 ||
         (aHistory.is_repeatable &&
          aHistory.may_have_run < aHistory.max_targets);
}

} // namespace

NextStep
StepAfterAttempt(AttemptOutcome aEnd, const AttemptHistory& aHistory)
{
  return MayBeSentAgain(aEnd, aHistory) ? NextStep::kRetry
                                        : StepWithoutRetry(aEnd, aHistory);
}

NextStep
StepWithoutRetry(AttemptOutcome aEnd, const AttemptHistory& aHistory)
{
  if (aEnd == AttemptOutcome::kFailed) {
    return NextStep::kForwardError;
  }
  if (aHistory.may_have_run == 0) {
    return NextStep::kRefuse;
  }
  return aEnd == AttemptOutcome::kTimedOut ? NextStep::kFailTimedOut
                                           : NextStep::kFail;
}

} // namespace jujubehead::core
