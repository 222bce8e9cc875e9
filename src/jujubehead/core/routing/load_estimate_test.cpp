#include "jujubehead/core/routing/load_estimate.hpp"

#include <CppUTest/TestHarness.h> // for TEST

#include "jujubehead/core/routing/admission.hpp" // for IsAdmitted

using namespace jujubehead::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Seen: after a roll-out of weights on few targets under a burst, all targets
// were loaded and empty, and for ten seconds every request was refused ("it
// would be late", 12 waiting), until the end.
//
// Cause: what is usual at a service's targets was learned from answers and had
// no age. Who refuses everything gets no answers, so the belief that made it
// refuse could never change: the same class as old weights' time, a belief that
// outlives what it was learned from.

TEST_GROUP(UsualLoad)
{
  std::shared_ptr<UsualLoad> usual = std::make_shared<UsualLoad>();
  LoadEstimate told{ usual };
  LoadEstimate other{ usual };
  Instant now{ seconds(100) };

  void TellFull()
  {
    for (int i = 0; i < 100; ++i) {
      told.OnReport({ 8, 12, 8 }, now);
    }
  }
  bool Admits(Instant aWhen) const
  {
    AdmissionInput input;
    input.predicted = seconds(9);
    input.objective = seconds(1);
    input.waiting = other.Waiting(aWhen);
    return IsAdmitted(input);
  }
};

TEST(UsualLoad, WhatIsUsualStandsForATargetThatToldNothing)
{
  TellFull();
  DOUBLES_EQUAL(20, other.Requests(now), 0.5);
  DOUBLES_EQUAL(12, other.Waiting(now), 0.5);
  CHECK_FALSE(Admits(now));
}

TEST(UsualLoad, AShortSilenceOfAllChangesNothing)
{
  TellFull();
  DOUBLES_EQUAL(12, other.Waiting(now + milliseconds(900)), 0.5);
}

TEST(UsualLoad, RefusalsEndWhenNothingWasToldForSomeSeconds)
{
  TellFull();
  CHECK_FALSE(Admits(now + seconds(1)));
  CHECK(Admits(now + seconds(4)));
  DOUBLES_EQUAL(0, told.Waiting(now + seconds(10)), 0.5);
  // The first answer tells how it is.
  told.OnReport({ 8, 12, 8 }, now + seconds(10));
  CHECK_FALSE(Admits(now + seconds(10)));
}
