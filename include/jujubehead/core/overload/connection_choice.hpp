#ifndef JUJUBEHEAD_CORE_OVERLOAD_CONNECTION_CHOICE_HPP
#define JUJUBEHEAD_CORE_OVERLOAD_CONNECTION_CHOICE_HPP

#include "jujubehead/core/runtime_clock.hpp" // for Duration, Instant

namespace jujubehead::core {

/// @brief What a caller's connection does at a moment.
struct ConnectionState
{
  bool is_idle = false;          ///< It waits for a request.
  bool has_sent_request = false; ///< Now or before.
  bool is_slow = false; ///< It receives a request that makes no progress.
  Instant idle_since{}; ///< Since its last response, or its begin.
};

/// @brief Chooses the connection that is closed when there are too many: one
/// that has never sent anything, or whose request makes no progress, or that
/// its caller does not use any more.
template<typename Connection>
class ConnectionChoice
{
public:
  /// A caller sends its request at once, but its first packet may be resent.
  static constexpr Duration kMinSilence = std::chrono::seconds(1);

  /// @param aIdleTimeout after which an idle connection is closed anyway.
  /// Callers reuse one that was idle for up to four fifths of it.
  ConnectionChoice(Instant aNow, Duration aIdleTimeout)
    : m_now(aNow)
    , m_min_idle(aIdleTimeout * 9 / 10)
  {
  }

  void Consider(Connection& aConnection, const ConnectionState& aState)
  {
    const Duration idle = m_now - aState.idle_since;
    if (aState.is_slow) {
      Keep(m_slow, aConnection, aState);
    } else if (!aState.is_idle) {
      return;
    } else if (!aState.has_sent_request && idle >= kMinSilence) {
      Keep(m_silent, aConnection, aState);
    } else if (aState.has_sent_request && idle >= m_min_idle) {
      Keep(m_unused, aConnection, aState);
    }
  }

  /// @return the chosen one; null: none may be closed.
  [[nodiscard]] Connection* Chosen() const
  {
    for (const Candidate* const one : { &m_silent, &m_slow, &m_unused }) {
      if (one->connection != nullptr) {
        return one->connection;
      }
    }
    return nullptr;
  }

private:
  struct Candidate
  {
    Connection* connection = nullptr;
    Instant idle_since{};
  };

  /// The longest without a response goes first.
  static void Keep(Candidate& aKept,
                   Connection& aConnection,
                   const ConnectionState& aState)
  {
    if (aKept.connection == nullptr || aState.idle_since < aKept.idle_since) {
      aKept = { &aConnection, aState.idle_since };
    }
  }

  Instant m_now;
  Duration m_min_idle;
  Candidate m_silent;
  Candidate m_slow;
  Candidate m_unused;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_OVERLOAD_CONNECTION_CHOICE_HPP
