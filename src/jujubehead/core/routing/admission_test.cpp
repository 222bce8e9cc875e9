#include "jujubehead/core/routing/admission.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::milliseconds;

namespace {

AdmissionInput
Input(int aPredictedMs, std::uint32_t aUrgency)
{
  AdmissionInput input;
  input.predicted = milliseconds(aPredictedMs);
  input.objective = milliseconds(1000);
  input.urgency = aUrgency;
  input.waiting = 4;
  return input;
}

} // namespace

TEST_GROUP(Admission){};

TEST(Admission, MoreUrgentRequestsAreAdmittedAtLongerWaits)
{
  CHECK(IsAdmitted(Input(1200, 0)));
  CHECK_FALSE(IsAdmitted(Input(1200, 1)));
  CHECK(IsAdmitted(Input(700, 2)));
  CHECK_FALSE(IsAdmitted(Input(900, 2)));
  CHECK_FALSE(IsAdmitted(Input(600, 9)));
}

TEST(Admission, NothingIsRefusedWhileTheQueueIsEmpty)
{
  AdmissionInput input = Input(90000, 9);
  input.waiting = 0;
  CHECK(IsAdmitted(input));
}

TEST(Admission, NothingIsRefusedWithoutAPrediction)
{
  AdmissionInput input = Input(0, 9);
  input.predicted.reset();
  CHECK(IsAdmitted(input));
}

TEST(Admission, ThePredictionFollowsMeasuredTimes)
{
  WaitPredictor predictor;
  CHECK_FALSE(predictor.At(3).has_value());
  predictor.OnFirstResponse(9, milliseconds(1000));
  CHECK(*predictor.At(19) == milliseconds(2000));
  for (int i = 0; i < 100; ++i) {
    predictor.OnFirstResponse(9, milliseconds(200));
  }
  CHECK(*predictor.At(9) < milliseconds(210));
}

// Arrivals exceed the rate of the targets after a quarter of them is lost. In
// order of arrival nearly all responses are late; with admission control most
// admitted requests meet the objective.
TEST(Admission, MostResponsesAreInTimeAfterLosingAQuarterOfTheTargets)
{
  constexpr int kArrivals = 100; // Per second.
  constexpr double kRate = 80;   // Responses per second.
  constexpr double kObjective = 1.0;
  const auto in_time = [&](bool aWithAdmission) {
    WaitPredictor predictor;
    double queue = 0;
    int good = 0;
    for (int i = 0; i < 20 * kArrivals; ++i) {
      queue = std::max(0.0, queue - kRate / kArrivals);
      AdmissionInput input;
      input.predicted = predictor.At(queue);
      input.objective = milliseconds(1000);
      input.urgency = static_cast<std::uint32_t>(i % 3);
      input.waiting = queue;
      if (aWithAdmission && !IsAdmitted(input)) {
        continue;
      }
      const double took = (queue + 1) / kRate;
      predictor.OnFirstResponse(queue,
                                milliseconds(static_cast<int>(1000 * took)));
      good += took <= kObjective ? 1 : 0;
      queue += 1;
    }
    return good;
  };
  CHECK(in_time(false) < 6 * kArrivals);
  CHECK(in_time(true) > 10 * kArrivals);
}
