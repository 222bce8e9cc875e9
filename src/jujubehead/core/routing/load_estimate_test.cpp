#include "jujubehead/core/routing/load_estimate.hpp"

#include <CppUTest/TestHarness.h> // for TEST

#include "jujubehead/core/routing/admission.hpp" // for IsAdmitted

using namespace jujubehead::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The service's load average was learned from responses and did not decay. An
// instance that refused every request got no responses, so the average that
// caused the refusals never changed: after a roll-out of weights on few targets
// during a burst, idle targets with the weights loaded got no requests for ten
// seconds (12 waiting by the average).

TEST_GROUP(ServiceLoadAverage)
{
  std::shared_ptr<ServiceLoadAverage> average =
    std::make_shared<ServiceLoadAverage>();
  LoadEstimate reported{ average };
  LoadEstimate other{ average };
  Instant now{ seconds(100) };

  void ReportFull()
  {
    for (int i = 0; i < 100; ++i) {
      reported.OnReport({ 8, 12, 8 }, now);
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

TEST(ServiceLoadAverage, TheAverageIsUsedForATargetWithoutReports)
{
  ReportFull();
  DOUBLES_EQUAL(20, other.Requests(now), 0.5);
  DOUBLES_EQUAL(12, other.Waiting(now), 0.5);
  CHECK_FALSE(Admits(now));
}

TEST(ServiceLoadAverage, AShortTimeWithoutReportsChangesNothing)
{
  ReportFull();
  DOUBLES_EQUAL(12, other.Waiting(now + milliseconds(900)), 0.5);
}

TEST(ServiceLoadAverage, RefusalsEndAfterSomeSecondsWithoutReports)
{
  ReportFull();
  CHECK_FALSE(Admits(now + seconds(1)));
  CHECK(Admits(now + seconds(4)));
  DOUBLES_EQUAL(0, reported.Waiting(now + seconds(10)), 0.5);
  // The first report sets the average again.
  reported.OnReport({ 8, 12, 8 }, now + seconds(10));
  CHECK_FALSE(Admits(now + seconds(10)));
}
