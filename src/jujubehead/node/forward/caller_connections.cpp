#include "caller_connections.hpp"

#include "jujubehead/core/overload/connection_choice.hpp" // for ConnectionChoice

#include "caller_session.hpp" // for CallerSession

namespace jujubehead::node {
namespace {

/// Each reads for half a second at most.
constexpr std::size_t kMaxLingering = 64;

} // namespace

void
CallerConnections::Add(CallerSession& aSession)
{
  m_sessions.insert(&aSession);
  m_size = m_sessions.size();
}

void
CallerConnections::Remove(CallerSession& aSession)
{
  m_sessions.erase(&aSession);
  m_size = m_sessions.size();
}

CallerConnections::Room
CallerConnections::MakeRoom(core::Duration aIdleTimeout)
{
  if (m_sessions.size() < m_max) {
    return Room::kFree;
  }
  core::ConnectionChoice<CallerSession> choice(core::RuntimeClock::now(),
                                               aIdleTimeout);
  for (CallerSession* const session : m_sessions) {
    choice.Consider(*session, session->State());
  }
  CallerSession* const chosen = choice.Chosen();
  if (chosen == nullptr) {
    return Room::kNone;
  }
  chosen->Yield();
  return Room::kMade;
}

bool
CallerConnections::BeginLinger()
{
  if (m_lingering >= kMaxLingering) {
    return false;
  }
  ++m_lingering;
  return true;
}

} // namespace jujubehead::node
