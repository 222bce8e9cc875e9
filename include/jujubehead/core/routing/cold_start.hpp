#ifndef JUJUBEHEAD_CORE_ROUTING_COLD_START_HPP
#define JUJUBEHEAD_CORE_ROUTING_COLD_START_HPP

#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief Keeps requests away from a target while it is cold.
///
/// A cold target tolerates a limited number of requests per second, summed over
/// all instances. Instances neither know how many of them would send to it nor
/// exchange messages for a request, so no division of that rate among them is
/// safe for every membership view; sending nothing is. Afterwards the bounded
/// load of placement limits what returns to it.
///
/// @code
/// ColdStart start;
/// start.OnCold(now, now + std::chrono::seconds(3));
/// start.IsCold(now);                            // true
/// start.IsCold(now + std::chrono::seconds(3));  // false
/// @endcode
class ColdStart
{
public:
  /// @brief The target is cold, or may be.
  /// @param aUntil the latest end of the cold period.
  void OnCold(Instant aNow, Instant aUntil);
  /// @brief The target reported that it is not cold. Does not end a period in
  /// which it may have become cold after that report.
  void OnWarmReport(Instant aNow);
  /// @brief The target may have become cold without having reported it yet.
  /// Reports of it being warm are ignored until `aUntil`.
  void OnUnknown(Instant aNow, Instant aUntil);

  [[nodiscard]] bool IsCold(Instant aNow) const { return aNow < m_cold_until; }
  /// @return the end of the cold period; in the past if there is none.
  [[nodiscard]] Instant ColdUntil() const { return m_cold_until; }
  /// @return whether the target was cold until shortly before: its cache has
  /// hardly been filled again.
  [[nodiscard]] bool WasColdRecently(Instant aNow) const;

private:
  Instant m_cold_since{};
  Instant m_cold_until{};
  Instant m_unknown_until{};
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_COLD_START_HPP
