#include "jujubehead/core/routing/admission.hpp"

#include <algorithm> // for max

namespace jujubehead::core {
namespace {

/// Weight of one response in the moving average, which so covers about ten
/// responses: a second of one instance's traffic on a route.
constexpr double kResponseWeight = 0.1;
/// A request is admitted while its predicted time is within a multiple of its
/// objective that falls with each step of urgency. Queues settle at the length
/// at which the least urgent requests are refused, so the lowest multiple
/// determines the time of all others; it is therefore below 1.
constexpr double kMostUrgentMultiple = 1.3;
constexpr double kMultiplePerStep = 0.25;
constexpr double kMinMultiple = 0.5;
/// Queued requests from which a target counts as overloaded, not just busy.
constexpr double kOverloadQueue = 1.0;

} // namespace

void
WaitPredictor::OnFirstResponse(double aLoad, Duration aTook)
{
  const double sample = static_cast<double>(aTook.count()) / (aLoad + 1);
  m_per_request =
    m_per_request ? *m_per_request + kResponseWeight * (sample - *m_per_request)
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

Duration
AdmissionLimit(Duration aObjective, std::uint32_t aUrgency)
{
  const double multiple =
    std::max(kMinMultiple, kMostUrgentMultiple - kMultiplePerStep * aUrgency);
  return Duration(static_cast<Duration::rep>(
    multiple * static_cast<double>(aObjective.count())));
}

bool
IsAdmitted(const AdmissionInput& aInput)
{
  if (!aInput.predicted || aInput.waiting < kOverloadQueue) {
    return true;
  }
  return *aInput.predicted <= AdmissionLimit(aInput.objective, aInput.urgency);
}

} // namespace jujubehead::core
