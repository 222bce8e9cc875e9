#ifndef JUJUBEHEAD_NODE_FORWARD_CALLER_CONNECTIONS_HPP
#define JUJUBEHEAD_NODE_FORWARD_CALLER_CONNECTIONS_HPP

#include <atomic>  // for atomic
#include <cstddef> // for size_t
#include <cstdint> // for uint8_t
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

  /// What became of a new connection.
  enum class Room : std::uint8_t
  {
    kFree,
    kMade, ///< Another connection is being closed for it.
    kNone,
  };
  /// @brief Finds room for one more connection. At the limit, one is closed
  /// that has never sent anything, whose request makes no progress, or which
  /// has been idle for so long that its caller does not use it any more.
  /// @param aIdleTimeout as the operators declare it for callers.
  Room MakeRoom(core::Duration aIdleTimeout);

  /// @brief Begins to read on after a rejection, so that the caller gets to
  /// read it. @return whether not too many connections do so.
  bool BeginLinger();
  void EndLinger() { --m_lingering; }

private:
  std::size_t m_max;
  std::set<CallerSession*> m_sessions;
  std::atomic<std::size_t> m_size{ 0 };
  std::size_t m_lingering = 0;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_CALLER_CONNECTIONS_HPP
