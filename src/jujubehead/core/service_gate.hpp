#ifndef JUJUBEHEAD_SRC_CORE_SERVICE_GATE_HPP
#define JUJUBEHEAD_SRC_CORE_SERVICE_GATE_HPP

#include <algorithm> // for min
#include <cstdint>   // for uint64_t

#include "jujubehead/core/ownership.hpp" // for OwnershipRules

namespace jujubehead::core {

/// @brief Lets one operation of the table service run at a time, and waits
/// longer after each failure, with jitter.
class ServiceGate
{
public:
  ServiceGate(OwnershipRules aRules, std::uint64_t aSeed)
    : m_rules(aRules)
    , m_random(aSeed)
    , m_wait(aRules.service_retry_least)
  {
  }

  [[nodiscard]] bool IsOpen(Instant aNow) const
  {
    return m_busy == 0 && aNow >= m_next;
  }
  /// @return whether the last operation was answered.
  [[nodiscard]] bool IsHealthy() const { return m_healthy; }
  [[nodiscard]] bool IsBusyWith(std::uint64_t aToken) const
  {
    return m_busy == aToken;
  }

  /// @return the token of an operation that begins.
  std::uint64_t Begin() { return m_busy = ++m_last; }

  void Succeeded()
  {
    m_busy = 0;
    m_healthy = true;
    m_wait = m_rules.service_retry_least;
  }

  void Failed(Instant aNow)
  {
    m_busy = 0;
    m_healthy = false;
    m_next = aNow + m_wait / 2 + Jitter(m_wait);
    m_wait = std::min(m_wait * 2, m_rules.service_retry_most);
  }

  /// @brief A condition failed: somebody else writes too.
  void Lost(Instant aNow)
  {
    Succeeded();
    m_next = aNow + Jitter(m_rules.service_retry_least);
  }

  void HoldUntil(Instant aTime) { m_next = std::max(m_next, aTime); }

  /// @return a random part of a duration.
  Duration Jitter(Duration aMost)
  {
    constexpr std::uint64_t kMultiplier = 6364136223846793005U;
    constexpr std::uint64_t kIncrement = 1442695040888963407U;
    constexpr unsigned kShift = 33;
    m_random = m_random * kMultiplier + kIncrement;
    const auto most = static_cast<std::uint64_t>(aMost.count());
    return Duration((m_random >> kShift) % (most + 1));
  }

private:
  OwnershipRules m_rules;
  std::uint64_t m_random;
  Duration m_wait;
  Instant m_next;
  std::uint64_t m_busy = 0;
  std::uint64_t m_last = 0;
  bool m_healthy = true;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_SRC_CORE_SERVICE_GATE_HPP
