#include "jujubehead/core/routing/admission.hpp"

#include <algorithm> // for max

namespace jujubehead::core {
namespace {

/// Weight of one answer in the moving mean: some ten answers, about a second of
/// one instance's traffic on a route.
constexpr double kAnswerWeight = 0.1;
/// A request is begun while its predicted time is within this many times its
/// objective: the most urgent longest, each step of urgency less. The queue
/// settles where the least urgent that still get in are refused, so their limit
/// is what all others' time becomes: it is below the objective.
constexpr double kMostUrgentTimes = 1.3;
constexpr double kTimesAStep = 0.25;
constexpr double kLeastTimes = 0.5;
/// Requests that wait at a target when it is loaded, and not just busy.
constexpr double kQueue = 1.0;

} // namespace

void
WaitPredictor::OnFirstAnswer(double aLoad, Duration aTook)
{
  const double sample = static_cast<double>(aTook.count()) / (aLoad + 1);
  m_per_request = m_per_request
                    ? *m_per_request + kAnswerWeight * (sample - *m_per_request)
                    : sample;
}

std::optional<Duration>
WaitPredictor::At(double aLoad) const
{
  if (!m_per_request) {
    return std::nullopt;
  }
  return Duration(static_cast<Duration::rep>(*m_per_request * (aLoad + 1)));
}

bool
IsAdmitted(const AdmissionInput& aInput)
{
  if (!aInput.predicted || aInput.waiting < kQueue) {
    return true;
  }
  const double times =
    std::max(kLeastTimes, kMostUrgentTimes - kTimesAStep * aInput.urgency);
  return static_cast<double>(aInput.predicted->count()) <=
         times * static_cast<double>(aInput.objective.count());
}

} // namespace jujubehead::core
