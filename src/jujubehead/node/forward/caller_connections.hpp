#ifndef JUJUBEHEAD_NODE_FORWARD_CALLER_CONNECTIONS_HPP
#define JUJUBEHEAD_NODE_FORWARD_CALLER_CONNECTIONS_HPP

#include <atomic>  // for atomic
#include <cstddef> // for size_t
#include <set>     // for set

#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::node {

class CallerSession;

/// @brief The open connections of callers, bounded in number so that targets
/// and other instances have descriptors left.
class CallerConnections
{
public:
  explicit CallerConnections(std::size_t aMax)
    : m_max(aMax)
  {
  }

  void Add(CallerSession& aSession);
  void Remove(CallerSession& aSession);
  /// @return the connections; may be called on any thread.
  [[nodiscard]] std::size_t Size() const { return m_size; }
  [[nodiscard]] std::size_t Max() const { return m_max; }
  [[nodiscard]] const std::set<CallerSession*>& All() const
  {
    return m_sessions;
  }

private:
  std::size_t m_max;
  std::set<CallerSession*> m_sessions;
  std::atomic<std::size_t> m_size{ 0 };
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_CALLER_CONNECTIONS_HPP
