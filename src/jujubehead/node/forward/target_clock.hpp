#ifndef JUJUBEHEAD_NODE_FORWARD_TARGET_CLOCK_HPP
#define JUJUBEHEAD_NODE_FORWARD_TARGET_CLOCK_HPP

#include <chrono>   // for duration_cast
#include <cstdint>  // for int64_t
#include <optional> // for optional

#include "jujubehead/core/runtime_clock.hpp" // for Instant

namespace jujubehead::node {

/// @brief Estimates the shared clock of targets and stores from its readings.
/// As a reading ages on the network, the estimate is never ahead of the clock.
class TargetClock
{
public:
  void OnReading(std::int64_t aMs, core::Instant aReceived)
  {
    m_ms = aMs;
    m_received = aReceived;
  }

  /// @return the clock at an instant, in ms; nothing before the first reading.
  [[nodiscard]] std::optional<std::int64_t> At(core::Instant aWhen) const
  {
    if (!m_ms) {
      return std::nullopt;
    }
    const auto since =
      std::chrono::duration_cast<std::chrono::milliseconds>(aWhen - m_received);
    return *m_ms + since.count();
  }

private:
  std::optional<std::int64_t> m_ms;
  core::Instant m_received{};
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_TARGET_CLOCK_HPP
