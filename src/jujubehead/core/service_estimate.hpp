#ifndef JUJUBEHEAD_SRC_CORE_SERVICE_ESTIMATE_HPP
#define JUJUBEHEAD_SRC_CORE_SERVICE_ESTIMATE_HPP

#include <algorithm> // for max
#include <cstdint>   // for uint32_t

#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::core {

/// @brief Learns how long runs occupy a place: moving averages of the time and
/// of the tokens of a run.
class ServiceEstimate
{
public:
  void Learn(std::uint32_t aTokens, Duration aUsed)
  {
    const double weight = m_samples < kWindow ? 1.0 / (m_samples + 1) : kStep;
    m_samples = std::min(m_samples + 1, kWindow);
    m_seconds += weight * (Seconds(aUsed) - m_seconds);
    m_tokens += weight * (std::max<double>(aTokens, 1) - m_tokens);
  }

  [[nodiscard]] bool IsKnown() const { return m_samples > 0; }

  /// @return the expected time of an average run.
  [[nodiscard]] Duration Mean() const { return ToDuration(m_seconds); }

  /// @return the expected time of a run of so many tokens.
  [[nodiscard]] Duration For(std::uint32_t aTokens) const
  {
    const double scale = std::max<double>(aTokens, 1) / std::max(m_tokens, 1.0);
    return ToDuration(m_seconds * std::clamp(scale, kLeast, kMost));
  }

  static double Seconds(Duration aTime)
  {
    return std::chrono::duration<double>(aTime).count();
  }

private:
  static Duration ToDuration(double aSeconds)
  {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(aSeconds));
  }

  static constexpr std::uint32_t kWindow = 20;
  static constexpr double kStep = 1.0 / kWindow;
  static constexpr double kLeast = 0.1;
  static constexpr double kMost = 10;

  double m_seconds = 0;
  double m_tokens = 0;
  std::uint32_t m_samples = 0;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_SRC_CORE_SERVICE_ESTIMATE_HPP
