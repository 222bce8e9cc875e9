#include "jujubehead/core/routing/attempt_plan.hpp"

#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

using namespace jujubehead::core;

namespace {

bool
Ran(AttemptOutcome aEnd)
{
  return aEnd != AttemptOutcome::kNotSent && aEnd != AttemptOutcome::kRefused;
}

rc::Gen<AttemptOutcome>
AnyEnd()
{
  return rc::gen::element(AttemptOutcome::kNotSent,
                          AttemptOutcome::kRefused,
                          AttemptOutcome::kBroken,
                          AttemptOutcome::kFailed,
                          AttemptOutcome::kTimedOut);
}

} // namespace

TEST_GROUP(AttemptPlan){};

TEST(AttemptPlan, RunsAtMostOnceAndRefusesOnlyWhatHasNotRun)
{
  CHECK(rc::check("any ends", [] {
    AttemptHistory history;
    history.is_repeatable = *rc::gen::arbitrary<bool>();
    history.max_targets = *rc::gen::inRange(1U, 4U);
    const auto ends =
      *rc::gen::container<std::vector<AttemptOutcome>>(AnyEnd());
    for (const AttemptOutcome end : ends) {
      history.sends += end != AttemptOutcome::kNotSent ? 1 : 0;
      history.may_have_run += Ran(end) ? 1 : 0;
      RC_ASSERT(history.may_have_run <=
                (history.is_repeatable ? history.max_targets : 1));
      const NextStep step = StepAfterAttempt(end, history);
      if (step == NextStep::kRefuse) {
        RC_ASSERT(history.may_have_run == 0U);
      }
      if (step != NextStep::kRetry) {
        return;
      }
      RC_ASSERT(history.sends < history.max_targets + kExtraSends);
    }
  }));
}

TEST(AttemptPlan, AnIncompleteNonRepeatableRequestFails)
{
  AttemptHistory history;
  history.sends = 1;
  history.may_have_run = 1;
  history.max_targets = 3;
  CHECK(StepAfterAttempt(AttemptOutcome::kBroken, history) == NextStep::kFail);
  CHECK(StepAfterAttempt(AttemptOutcome::kTimedOut, history) ==
        NextStep::kFailTimedOut);
}

TEST(AttemptPlan, ARefusedRequestIsRetriedOrRefusedAsNotRun)
{
  AttemptHistory history;
  history.sends = 1;
  CHECK(StepAfterAttempt(AttemptOutcome::kRefused, history) ==
        NextStep::kRetry);
  CHECK(StepWithoutRetry(AttemptOutcome::kRefused, history) ==
        NextStep::kRefuse);
}

TEST(AttemptPlan, NothingIsRetriedAfterTheDeadline)
{
  AttemptHistory history;
  history.is_repeatable = true;
  history.has_time = false;
  CHECK(StepAfterAttempt(AttemptOutcome::kNotSent, history) ==
        NextStep::kRefuse);
}

TEST(AttemptPlan, ATargetsErrorIsForwarded)
{
  AttemptHistory history;
  history.may_have_run = 1;
  CHECK(StepAfterAttempt(AttemptOutcome::kFailed, history) ==
        NextStep::kForwardError);
}
