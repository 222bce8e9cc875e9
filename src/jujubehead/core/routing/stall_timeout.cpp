#include "jujubehead/core/routing/stall_timeout.hpp"

#include <algorithm> // for max

namespace jujubehead::core {
namespace {

/// Multiple of the objective while other streams run at the target.
constexpr double kObjectivesWithOthers = 1.5;
/// Lower bound: a target pauses all streams while it prefills a long prompt.
constexpr Duration kMinTimeout = std::chrono::milliseconds(1000);
/// Multiple of the objective for the only stream at the target; a stream that
/// is so late has lost most of its value anyway.
constexpr double kObjectivesAlone = 3.0;
/// Multiple of the predicted time: at a given load, nine in ten waits are
/// within twice the mean.
constexpr double kPredictedMultiple = 2.0;

Duration
Multiply(double aFactor, Duration aTime)
{
  return Duration(
    static_cast<Duration::rep>(aFactor * static_cast<double>(aTime.count())));
}

} // namespace

Duration
StreamStallTimeout(const StallTimeoutInput& aInput)
{
  const Duration with_others =
    std::max(kMinTimeout, Multiply(kObjectivesWithOthers, aInput.objective));
  if (aInput.has_other_streams) {
    return with_others;
  }
  const Duration predicted = aInput.predicted.value_or(Duration(0));
  return std::max({ with_others,
                    Multiply(kObjectivesAlone, aInput.objective),
                    Multiply(kPredictedMultiple, predicted) });
}

} // namespace jujubehead::core
