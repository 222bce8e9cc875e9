#include "jujubehead/core/routing/attempt_plan.hpp"

#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

using namespace jujubehead::core;

namespace {

bool
Ran(AttemptEnd aEnd)
{
  return aEnd != AttemptEnd::kNotSent && aEnd != AttemptEnd::kRefused;
}

rc::Gen<AttemptEnd>
AnyEnd()
{
  return rc::gen::element(AttemptEnd::kNotSent,
                          AttemptEnd::kRefused,
                          AttemptEnd::kBroken,
                          AttemptEnd::kFailed,
                          AttemptEnd::kTimedOut);
}

} // namespace

TEST_GROUP(AttemptPlan){};

TEST(AttemptPlan, RunsAtMostOnceAndRefusesOnlyWhatHasNotRun)
{
  CHECK(rc::check("any ends", [] {
    AttemptHistory history;
    history.may_repeat = *rc::gen::arbitrary<bool>();
    history.max_targets = *rc::gen::inRange(1U, 4U);
    const auto ends = *rc::gen::container<std::vector<AttemptEnd>>(AnyEnd());
    for (const AttemptEnd end : ends) {
      history.sends += end != AttemptEnd::kNotSent ? 1 : 0;
      history.may_have_run += Ran(end) ? 1 : 0;
      RC_ASSERT(history.may_have_run <=
                (history.may_repeat ? history.max_targets : 1));
      const NextStep step = AfterAttempt(end, history);
      if (step == NextStep::kRefuse) {
        RC_ASSERT(history.may_have_run == 0U);
      }
      if (step != NextStep::kSendAgain) {
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
  CHECK(AfterAttempt(AttemptEnd::kBroken, history) == NextStep::kFail);
  CHECK(AfterAttempt(AttemptEnd::kTimedOut, history) ==
        NextStep::kFailTimedOut);
}

TEST(AttemptPlan, ARefusedRequestIsRetriedOrRefusedAsNotRun)
{
  AttemptHistory history;
  history.sends = 1;
  CHECK(AfterAttempt(AttemptEnd::kRefused, history) == NextStep::kSendAgain);
  CHECK(InsteadOfSending(AttemptEnd::kRefused, history) == NextStep::kRefuse);
}

TEST(AttemptPlan, NothingIsRetriedAfterTheDeadline)
{
  AttemptHistory history;
  history.may_repeat = true;
  history.has_time = false;
  CHECK(AfterAttempt(AttemptEnd::kNotSent, history) == NextStep::kRefuse);
}

TEST(AttemptPlan, ATargetsErrorIsForwarded)
{
  AttemptHistory history;
  history.may_have_run = 1;
  CHECK(AfterAttempt(AttemptEnd::kFailed, history) == NextStep::kPassOn);
}
