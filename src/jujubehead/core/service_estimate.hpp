#ifndef JUJUBEHEAD_SRC_CORE_SERVICE_ESTIMATE_HPP
#define JUJUBEHEAD_SRC_CORE_SERVICE_ESTIMATE_HPP

#include <algorithm> // for max
#include <cstdint>   // for uint32_t

#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::core {

/// @brief Estimates how long a run occupies a slot, from moving averages of run
/// time and run tokens.
class ServiceEstimate
{
public:
  void AddSample(std::uint32_t aTokens, Duration aUsed)
  {
    const double weight =
      m_samples < kWindowSamples ? 1.0 / (m_samples + 1) : kSampleWeight;
    m_samples = std::min(m_samples + 1, kWindowSamples);
    m_seconds += weight * (Seconds(aUsed) - m_seconds);
    m_tokens += weight * (std::max<double>(aTokens, 1) - m_tokens);
  }

  [[nodiscard]] bool IsKnown() const { return m_samples > 0; }

  /// @return the mean run time.
  [[nodiscard]] Duration Mean() const { return ToDuration(m_seconds); }

  /// @return the expected run time for `aTokens` tokens.
  [[nodiscard]] Duration For(std::uint32_t aTokens) const
  {
    const double scale = std::max<double>(aTokens, 1) / std::max(m_tokens, 1.0);
    return ToDuration(m_seconds * std::clamp(scale, kMinScale, kMaxScale));
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

  static constexpr std::uint32_t kWindowSamples = 20;
  static constexpr double kSampleWeight = 1.0 / kWindowSamples;
  static constexpr double kMinScale = 0.1;
  static constexpr double kMaxScale = 10;

  double m_seconds = 0;
  double m_tokens = 0;
  std::uint32_t m_samples = 0;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_SRC_CORE_SERVICE_ESTIMATE_HPP
