#include "jujubehead/core/routing/patience.hpp"

#include <algorithm> // for max

namespace jujubehead::core {
namespace {

/// Beside other streams: past the objective by half.
constexpr double kTimesBeside = 1.5;
/// Pauses while a target reads a long prompt.
constexpr Duration kLeast = std::chrono::milliseconds(1000);
/// Alone: a stream that is so late has lost most of its worth anyway.
constexpr double kTimesAlone = 3.0;
/// Of the usual time: nine in ten waits at one load are within twice the mean.
constexpr double kTimesUsual = 2.0;

Duration
Times(double aTimes, Duration aTime)
{
  return Duration(
    static_cast<Duration::rep>(aTimes * static_cast<double>(aTime.count())));
}

} // namespace

Duration
StreamPatience(const SilenceInput& aInput)
{
  const Duration beside =
    std::max(kLeast, Times(kTimesBeside, aInput.objective));
  if (aInput.others_stream) {
    return beside;
  }
  const Duration usual = aInput.predicted.value_or(Duration(0));
  return std::max({ beside,
                    Times(kTimesAlone, aInput.objective),
                    Times(kTimesUsual, usual) });
}

} // namespace jujubehead::core
