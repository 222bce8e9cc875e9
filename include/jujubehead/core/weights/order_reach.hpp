#ifndef JUJUBEHEAD_CORE_WEIGHTS_ORDER_REACH_HPP
#define JUJUBEHEAD_CORE_WEIGHTS_ORDER_REACH_HPP

#include <set> // for set

#include "jujubehead/core/ids.hpp"           // for TargetId
#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief Whether the rollout coordinator reaches any target.
///
/// One that is partitioned from the targets still reaches the shared table, and
/// would keep the lease while no target loads anything. Orders cannot go
/// through another instance, as they have to come from the holder. So a
/// coordinator to which several targets in a row do not respond leaves the
/// lease to another instance.
class OrderReach
{
public:
  /// @param aYieldTime for how long the lease is left to others; longer than
  /// they wait for it.
  explicit OrderReach(Duration aYieldTime)
    : m_yield_time(aYieldTime)
  {
  }

  /// @brief A target responded to an order or a question.
  void OnResponse();
  /// @brief A target did not respond.
  void OnNoResponse(const TargetId& aTarget, Instant aNow);

  /// @return whether another instance should hold the lease.
  [[nodiscard]] bool IsYielding(Instant aNow) const
  {
    return aNow < m_yields_until;
  }

private:
  Duration m_yield_time;
  std::set<TargetId> m_silent; ///< Since the last response.
  Instant m_silent_since{};
  Instant m_yields_until{};
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_WEIGHTS_ORDER_REACH_HPP
