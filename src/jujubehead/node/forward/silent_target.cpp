#include "forward_run.hpp"

#include <algorithm> // for any_of, min
#include <utility>   // for exchange

#include "jujubehead/core/routing/stall_timeout.hpp" // for StreamStallTimeout
#include "jujubehead/net/timer.hpp"                  // for Sleep

// What becomes of a request whose target is silent.

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;
using core::Duration;

/// A non-streaming call without a reply after this multiple of its objective
/// counts as hung: replies usually take a tenth of the objective.
constexpr double kCallTimeoutFactor = 2.5;
/// A request without a response for this long has its path checked: most plain
/// calls take a fraction of it, and other streams have events meanwhile.
constexpr Duration kPathCheckTime = std::chrono::milliseconds(200);
/// Between two looks whether the request of a silent target can go on at
/// another one.
constexpr Duration kSilencePollInterval = std::chrono::milliseconds(250);

} // namespace

bool
ForwardRun::MayGoOnElsewhere() const
{
  return m_route->repeatable &&
         m_history.may_have_run + 1 < m_route->max_targets;
}

void
ForwardRun::StartStallTimer(const FleetTarget& aTarget)
{
  if (!MayGoOnElsewhere()) {
    return;
  }
  m_awaiting_since = core::RuntimeClock::now();
  m_is_known_silent = false;
  m_was_stall_late = false;
  if (m_route->streams) {
    core::StallTimeoutInput input;
    input.objective = m_route->objective;
    input.predicted = m_state.waits[m_route->name].At(m_load_at_send);
    const std::uint32_t own = m_is_streaming ? 1 : 0;
    input.has_other_streams = aTarget.active_streams > own;
    SetStallTimer(core::StreamStallTimeout(input));
    return;
  }
  const Duration timeout(static_cast<Duration::rep>(
    kCallTimeoutFactor * static_cast<double>(m_route->objective.count())));
  SetStallTimer(std::min(timeout, TimeLeft() / 2));
}

void
ForwardRun::SetStallTimer(Duration aTimeout)
{
  m_stall_due = core::RuntimeClock::now() + aTimeout;
  m_stall_timer.Set(aTimeout);
}

void
ForwardRun::OnSilenceTimeout()
{
  if (m_exchange == nullptr || !m_awaited_target) {
    return;
  }
  if (m_route->streams &&
      m_awaited_target->last_response_at > m_awaiting_since) {
    // It responds to other requests, so it is busy, not hung.
    StartStallTimer(*m_awaited_target);
    return;
  }
  const core::Instant now = core::RuntimeClock::now();
  m_stall_delay = now - m_stall_due;
  if (m_stall_delay >= kSilencePollInterval &&
      !std::exchange(m_was_stall_late, true)) {
    // This thread stood still itself, and its targets may have, too.
    SetStallTimer(kSilencePollInterval);
    return;
  }
  if (!m_is_known_silent) {
    m_is_known_silent = true;
    m_state.metrics.Add(Counter::kSilentTargets);
    m_awaited_target->health.OnUnreachable(now);
    m_state.connector.Check(m_session->Executor(), m_awaited_target);
  }
  if (LeaveSilentTarget()) {
    return;
  }
  // A failure lets the caller try another instance, which helps if it is only
  // this target. A stream that has begun would be cut.
  if (m_session->HasStreamBegun() || !HasAnotherResponded()) {
    SetStallTimer(kSilencePollInterval);
  } else {
    OnStalled();
  }
}

bool
ForwardRun::HasAnotherResponded() const
{
  const auto targets = m_state.fleet.Of(m_service);
  return std::any_of(targets.begin(), targets.end(), [&](const auto& aTarget) {
    return aTarget != m_awaited_target &&
           aTarget->last_response_at > m_awaiting_since;
  });
}

bool
ForwardRun::LeaveSilentTarget()
{
  if (!MayBeSent(true) || IsQuarantined() || Candidates().empty() ||
      !TakeRetry()) {
    return false;
  }
  m_has_retry = true; // So that no other request takes it meanwhile.
  m_has_left_target = true;
  OnStalled();
  return true;
}

void
ForwardRun::OnStalled()
{
  m_stall_timed_out = true;
  m_silence = core::RuntimeClock::now() - m_awaiting_since;
  m_exchange->Close();
}

asio::awaitable<bool>
ForwardRun::AwaitAnotherTarget()
{
  const bool may_wait = m_has_left_target && m_session->HasStreamBegun() &&
                        !m_quarantined &&
                        m_history.may_have_run < m_history.max_targets;
  if (!may_wait || IsCancelled()) {
    co_return false;
  }
  co_await net::Sleep(kSilencePollInterval);
  // One that has refused the request may have room by now.
  m_tried_targets = m_may_have_run_at;
  co_return !IsCancelled() && TimeLeft() > kSilencePollInterval;
}

void
ForwardRun::StartPathTimer()
{
  m_path_timer.Set(kPathCheckTime);
}

void
ForwardRun::OnNoResponse()
{
  if (m_exchange == nullptr || !m_awaited_target) {
    return;
  }
  const core::Instant now = core::RuntimeClock::now();
  const FleetTarget& target = *m_awaited_target;
  if (m_state.connector.Paths().IsSilent(target.target.id)) {
    if (MayGoOnElsewhere()) {
      OnStalled();
    }
    return;
  }
  if (target.last_response_at < m_sent_at) {
    // Busy targets are silent for as long as the objective; all of them at once
    // only if it is the instance's own paths.
    const bool is_late = now - m_sent_at >= m_route->objective;
    if (is_late || m_state.connector.IsSilent(now)) {
      m_state.connector.Check(m_session->Executor(), m_awaited_target);
    }
  }
  StartPathTimer();
}

} // namespace jujubehead::node
