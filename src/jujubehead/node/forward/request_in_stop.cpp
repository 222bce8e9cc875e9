#include "forward_run.hpp"

#include <algorithm> // for max

// What a planned stop of the instance means for one request.

namespace jujubehead::node {

using core::Duration;

bool
ForwardRun::MayBeSent() const
{
  return MayBeSent(m_history.may_have_run > 0);
}

bool
ForwardRun::MayBeSent(bool aMayHaveRun) const
{
  if (!m_state.IsStopping()) {
    return true;
  }
  // A stream that has begun is cut if it is not resumed. A call that may have
  // run gets a final response in any case; one that is not sent again has
  // failed.
  return m_session->HasStreamBegun() || (aMayHaveRun && !m_route->streams) ||
         EndsBeforeExit(aMayHaveRun);
}

bool
ForwardRun::EndsBeforeExit(bool aMayHaveRun) const
{
  const core::Instant now = core::RuntimeClock::now();
  const Duration age = now - m_session->Request().received_at;
  const core::RequestTime time{ TimeLimit() - age,
                                UsualDuration(),
                                aMayHaveRun };
  return m_state.stop.Allows(time, now);
}

std::optional<Duration>
ForwardRun::UsualDuration() const
{
  const auto known = m_state.durations.find(m_route->name);
  if (known == m_state.durations.end()) {
    return std::nullopt;
  }
  const core::Instant now = core::RuntimeClock::now();
  std::optional<Duration> usual = known->second.UpperBound(now);
  // Where targets have just become slow, this shows in the open requests first.
  for (const ForwardRun* const other : m_state.open_runs) {
    if (usual && other->m_route == m_route) {
      usual = std::max(*usual, now - other->m_session->Request().received_at);
    }
  }
  return usual;
}

void
ForwardRun::RecordDuration()
{
  const core::Instant now = core::RuntimeClock::now();
  m_state.durations[m_route->name].OnEnd(now - m_session->Request().received_at,
                                         now);
}

void
ForwardRun::OnStopRequested()
{
  if (m_state.stop.AnswersUntil() < m_expires_at) {
    m_expires_at = m_state.stop.AnswersUntil();
    m_deadline_timer.Set(std::max(TimeLeft(), Duration(1)));
  }
}

std::string_view
ForwardRun::ExpiryReason() const
{
  return m_expires_at == m_state.stop.AnswersUntil() ? kShuttingDown
                                                     : "request timed out";
}

RequestPhase
ForwardRun::Phase() const
{
  if (m_is_responding) {
    return RequestPhase::kResponding;
  }
  if (m_session->HasStreamBegun()) {
    return RequestPhase::kStreaming;
  }
  const bool is_sent = m_exchange != nullptr && !m_exchange->IsOver();
  return is_sent ? RequestPhase::kAtTarget : RequestPhase::kWaiting;
}

void
ForwardRun::LogAtExit()
{
  LogEnd("request_at_exit", 0, NameOf(Phase()));
}

} // namespace jujubehead::node
