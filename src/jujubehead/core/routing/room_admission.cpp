#include "jujubehead/core/routing/room_admission.hpp"

#include <algorithm> // for clamp, max
#include <cmath>     // for pow

namespace jujubehead::core {
namespace {

/// Mean queue at which the first of the least urgent requests are refused, and
/// by which it may grow until all of them are. A target with a request waiting
/// is full, and more would only wait.
constexpr double kFirstRefusedQueue = 0.25;
constexpr double kQueueRange = 1.5;
/// The same for each level of urgency above, as a multiple.
constexpr double kQueuePerLevel = 4;
/// Queue by which callers that come back are preferred to new ones: they were
/// told when to.
constexpr double kRetryPreference = 0.5;
/// Bounds of the influence of a request's size: large requests are served less
/// often in need, but still served.
constexpr double kMinSize = 0.5;
constexpr double kMaxSize = 2;

} // namespace

Duration
ServiceLoad::TimeToDrain(Duration aMeanDuration) const
{
  const double running = std::max(requests - waiting, 1.0);
  return Duration(static_cast<Duration::rep>(
    static_cast<double>(aMeanDuration.count()) * waiting / running));
}

double
AdmittedShare(const ServiceLoad& aLoad, const RoomRequest& aRequest)
{
  if (aRequest.is_most_urgent) {
    return 1;
  }
  const double scale =
    std::pow(kQueuePerLevel, static_cast<double>(aRequest.levels_below));
  const double preference = aRequest.is_retry ? kRetryPreference : 0;
  const double over =
    aLoad.MeanQueue() / scale - kFirstRefusedQueue - preference;
  const double share = std::clamp(1 - over / kQueueRange, 0.0, 1.0);
  return std::pow(share, std::clamp(aRequest.size, kMinSize, kMaxSize));
}

} // namespace jujubehead::core
