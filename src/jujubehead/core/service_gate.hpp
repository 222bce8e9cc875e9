#ifndef JUJUBEHEAD_SRC_CORE_SERVICE_GATE_HPP
#define JUJUBEHEAD_SRC_CORE_SERVICE_GATE_HPP

#include <algorithm> // for min
#include <cstdint>   // for uint64_t

#include "jujubehead/core/ownership.hpp" // for OwnershipRules

namespace jujubehead::core {

/// @brief Allows one table service operation at a time, with exponential
/// backoff and jitter after failures.
class ServiceGate
{
public:
  ServiceGate(OwnershipRules aRules, std::uint64_t aSeed)
    : m_rules(aRules)
    , m_random(aSeed)
    , m_backoff(aRules.service_retry_min)
  {
  }

  [[nodiscard]] bool IsOpen(Instant aNow) const
  {
    return m_active_token == 0 && aNow >= m_next_at;
  }
  /// @return whether the last operation got a response.
  [[nodiscard]] bool IsHealthy() const { return m_healthy; }
  [[nodiscard]] bool IsBusyWith(std::uint64_t aToken) const
  {
    return m_active_token == aToken;
  }

  /// @brief Begins an operation.
  /// @return its token.
  std::uint64_t Begin() { return m_active_token = ++m_last_token; }

  void Succeeded()
  {
    m_active_token = 0;
    m_healthy = true;
    m_backoff = m_rules.service_retry_min;
  }

  void Failed(Instant aNow)
  {
    m_active_token = 0;
    m_healthy = false;
    m_next_at = aNow + m_backoff / 2 + Jitter(m_backoff);
    m_backoff = std::min(m_backoff * 2, m_rules.service_retry_max);
  }

  /// @brief Ends an operation whose condition failed because of a concurrent
  /// writer.
  void Conflicted(Instant aNow)
  {
    Succeeded();
    m_next_at = aNow + Jitter(m_rules.service_retry_min);
  }

  void HoldUntil(Instant aTime) { m_next_at = std::max(m_next_at, aTime); }

  /// @return a random duration from 0 to `aMax`.
  Duration Jitter(Duration aMax)
  {
    constexpr std::uint64_t kMultiplier = 6364136223846793005U;
    constexpr std::uint64_t kIncrement = 1442695040888963407U;
    constexpr unsigned kShift = 33;
    m_random = m_random * kMultiplier + kIncrement;
    const auto most = static_cast<std::uint64_t>(aMax.count());
    return Duration((m_random >> kShift) % (most + 1));
  }

private:
  OwnershipRules m_rules;
  std::uint64_t m_random;
  Duration m_backoff;
  Instant m_next_at;
  std::uint64_t m_active_token = 0;
  std::uint64_t m_last_token = 0;
  bool m_healthy = true;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_SRC_CORE_SERVICE_GATE_HPP
