#include "forward_run.hpp"

#include <memory> // for shared_ptr

// Requests to cold targets, within this instance's share of what these take.

namespace jujubehead::node {
namespace {

/// Mean queue from which cold targets are used: without one, warm targets serve
/// requests sooner.
constexpr double kScarceQueue = 0.25;

} // namespace

bool
ForwardRun::StillAccepts(const FleetTarget& aTarget) const
{
  const core::Instant now = core::RuntimeClock::now();
  return m_is_cold_send ? aTarget.AcceptsWhileCold(now) : aTarget.Accepts(now);
}

bool
ForwardRun::IsColdCandidate(const FleetTarget& aTarget,
                            core::Instant aNow) const
{
  const bool is_open =
    aTarget.cold_start.IsCold(aNow) && aTarget.AcceptsWhileCold(aNow) &&
    aTarget.health.IsUsable(aNow) && !aTarget.limit.PerSecond();
  const bool is_allowed = !m_tried_targets.contains(aTarget.target.id) &&
                          IsAllowed(aTarget) && aTarget.streams_from <= aNow;
  if (!is_open || !is_allowed) {
    return false;
  }
  const core::ModelId& model = m_metadata.prompt->model;
  const auto wanted = m_state.wanted_weights.find(model);
  return wanted == m_state.wanted_weights.end() ||
         aTarget.VersionOf(model).value_or(0) >= wanted->second.Newest();
}

std::shared_ptr<FleetTarget>
ForwardRun::ChooseColdTarget()
{
  if (m_exchange != nullptr) { // A second send.
    return nullptr;
  }
  m_is_cold_send = false;
  const core::Instant now = core::RuntimeClock::now();
  const core::DeclaredService* const service =
    m_configuration->ServiceOf(m_service);
  const bool is_first_send = m_metadata.prompt && m_history.sends == 0 &&
                             m_metadata.resume_after.empty() && !m_probe &&
                             CrashCount() == 0;
  if (service == nullptr || service->cold_per_second <= 0 || !is_first_send ||
      !m_state.HoldsColdShares(now) ||
      m_state.BrittleOf(m_service).IsBrittle()) {
    return nullptr;
  }
  RoomGate* const room = m_state.RoomOf(m_service);
  const auto targets = m_state.fleet.Of(m_service);
  if (room == nullptr ||
      room->Measure(targets, now).MeanQueue() < kScarceQueue) {
    return nullptr;
  }
  for (const auto& target : targets) {
    if (IsColdCandidate(*target, now) &&
        target->cold_share.TryToSend(
          m_state.RankOf(*target, now), service->cold_per_second, now)) {
      m_is_cold_send = true;
      m_state.metrics.Add(Counter::kColdSends);
      return target;
    }
  }
  return nullptr;
}

} // namespace jujubehead::node
