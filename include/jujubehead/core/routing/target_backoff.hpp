#ifndef JUJUBEHEAD_CORE_ROUTING_TARGET_BACKOFF_HPP
#define JUJUBEHEAD_CORE_ROUTING_TARGET_BACKOFF_HPP

#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief The backoff that a target has requested from this instance.
///
/// It binds the instance that was asked and no other: the target decides whom
/// it relieves itself of.
///
/// @code
/// TargetBackoff backoff;
/// backoff.OnRequested(now, std::chrono::seconds(3));
/// backoff.IsActive(now);                            // true
/// backoff.IsActive(now + std::chrono::seconds(3));  // false
/// @endcode
class TargetBackoff
{
public:
  /// Longest backoff that is honoured. A target that is out for longer leaves
  /// the registry; a mistaken value must not exclude a target for good.
  static constexpr Duration kMaxBackoff = std::chrono::minutes(5);

  /// @brief The target asked for no requests for a time. An end that is later
  /// already stays: replies arrive out of order, and each is a promise.
  /// @param aTime at most kMaxBackoff of it counts.
  void OnRequested(Instant aNow, Duration aTime);

  [[nodiscard]] bool IsActive(Instant aNow) const { return aNow < m_until; }
  /// @return the end of the backoff; in the past if there is none.
  [[nodiscard]] Instant Until() const { return m_until; }

private:
  Instant m_until{};
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_TARGET_BACKOFF_HPP
