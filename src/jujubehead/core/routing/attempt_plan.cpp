#include "jujubehead/core/routing/attempt_plan.hpp"

namespace jujubehead::core {
namespace {

bool
MayBeSentAgain(AttemptEnd aEnd, const AttemptHistory& aHistory)
{
  if (!aHistory.has_time || aEnd == AttemptEnd::kTimedOut) {
    return false;
  }
  if (aHistory.sends >= aHistory.max_targets + kExtraSends) {
    return false;
  }
  return aHistory.may_have_run == 0 ||
         (aHistory.may_repeat && aHistory.may_have_run < aHistory.max_targets);
}

} // namespace

NextStep
AfterAttempt(AttemptEnd aEnd, const AttemptHistory& aHistory)
{
  return MayBeSentAgain(aEnd, aHistory) ? NextStep::kSendAgain
                                        : InsteadOfSending(aEnd, aHistory);
}

NextStep
InsteadOfSending(AttemptEnd aEnd, const AttemptHistory& aHistory)
{
  if (aEnd == AttemptEnd::kFailed) {
    return NextStep::kPassOn;
  }
  if (aHistory.may_have_run == 0) {
    return NextStep::kRefuse;
  }
  return aEnd == AttemptEnd::kTimedOut ? NextStep::kFailTimedOut
                                       : NextStep::kFail;
}

} // namespace jujubehead::core
