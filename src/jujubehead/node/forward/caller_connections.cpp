#include "caller_connections.hpp"

#include "caller_session.hpp" // for CallerSession

namespace jujubehead::node {
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

} // namespace jujubehead::node
