#ifndef JUJUBEHEAD_CORE_ROUTING_LOAD_ESTIMATE_HPP
#define JUJUBEHEAD_CORE_ROUTING_LOAD_ESTIMATE_HPP

#include <cstdint>  // for uint32_t
#include <optional> // for optional

#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief The load that a target told with an answer.
struct ReportedLoad
{
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

/// @brief Estimates the requests at a target: those of this instance, which it
/// counts itself, and those of others, from what the target last told.
class LoadEstimate
{
public:
  void OnBegin() { ++m_own; }
  void OnEnd() { --m_own; }
  /// @brief The target told its load, this instance's requests included.
  void OnReport(const ReportedLoad& aLoad, Instant aNow);

  [[nodiscard]] std::uint32_t Own() const { return m_own; }
  /// @return requests that wait there, by what it told of late.
  [[nodiscard]] double Waiting(Instant aNow) const;
  /// @return requests at the target, of all instances.
  [[nodiscard]] double Requests(Instant aNow) const;

private:
  /// @return what is left of something that the target told.
  [[nodiscard]] double Faded(double aTold, Instant aNow) const;

  std::uint32_t m_own = 0;
  double m_others = 0;  ///< When the target last told.
  double m_waiting = 0; ///< When the target last told.
  std::optional<Instant> m_told;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_LOAD_ESTIMATE_HPP
