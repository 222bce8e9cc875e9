#include "room_gate.hpp"

#include <algorithm> // for max

namespace jujubehead::node {
namespace {

/// A measured load is used for this long: loads change with the reports, which
/// come about every hundred milliseconds.
constexpr core::Duration kMeasureInterval = std::chrono::milliseconds(50);
/// Weight of one request in the moving average of a route's sizes.
constexpr double kSizeWeight = 0.05;
/// A caller whose deadline is nearer than its route's usual by more than this
/// has waited before it sent the request.
constexpr core::Duration kReturnMargin = std::chrono::milliseconds(100);

} // namespace

const core::ServiceLoad&
RoomGate::Measure(std::span<const std::shared_ptr<FleetTarget>> aTargets,
                  core::Instant aNow)
{
  if (m_load.targets > 0 && aNow - m_measured_at < kMeasureInterval) {
    return m_load;
  }
  m_load = {};
  m_measured_at = aNow;
  for (const auto& target : aTargets) {
    if (!target->Accepts(aNow) || !target->health.IsUsable(aNow)) {
      continue;
    }
    ++m_load.targets;
    m_load.waiting += target->load.Waiting(aNow);
    m_load.requests += target->load.Requests(aNow);
    m_mean_duration = target->load.MeanDuration();
  }
  return m_load;
}

core::RoomRequest
RoomGate::Describe(const Request& aRequest)
{
  RouteHistory& history = m_routes[aRequest.route->name];
  const auto tokens = static_cast<double>(aRequest.tokens);
  if (history.mean_tokens <= 0) {
    history.mean_tokens = tokens;
  }
  core::RoomRequest request;
  request.is_most_urgent = m_scale.IsMostUrgent(aRequest.route->urgency);
  request.levels_below = m_scale.LevelsBelow(aRequest.route->urgency);
  request.size = history.mean_tokens > 0 ? tokens / history.mean_tokens : 1;
  request.is_retry = aRequest.time_left + kReturnMargin < history.longest_time;
  history.mean_tokens += kSizeWeight * (tokens - history.mean_tokens);
  history.longest_time = std::max(history.longest_time, aRequest.time_left);
  return request;
}

bool
RoomGate::Admit(const Request& aRequest,
                std::span<const std::shared_ptr<FleetTarget>> aTargets,
                core::AccountShares& aAccounts,
                double aUniform,
                core::Instant aNow)
{
  Measure(aTargets, aNow);
  const core::RoomRequest request = Describe(aRequest);
  if (request.is_most_urgent) {
    return true;
  }
  aAccounts.OnRequest(
    aRequest.account, static_cast<double>(aRequest.tokens), aNow);
  const double of_all = core::AdmittedShare(m_load, request);
  const bool is_admitted =
    aUniform < aAccounts.ShareFor(aRequest.account, of_all, aNow);
  if (is_admitted) {
    m_returns.OnAdmitted(aNow);
  }
  return is_admitted;
}

core::Duration
RoomGate::ReturnIn(core::Instant aNow, core::Duration aLongest)
{
  return m_returns.NextReturn(
    aNow, m_load.TimeToDrain(m_mean_duration), aLongest);
}

} // namespace jujubehead::node
