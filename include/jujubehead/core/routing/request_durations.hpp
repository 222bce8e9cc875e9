#ifndef JUJUBEHEAD_CORE_ROUTING_REQUEST_DURATIONS_HPP
#define JUJUBEHEAD_CORE_ROUTING_REQUEST_DURATIONS_HPP

#include <cstddef>  // for size_t
#include <optional> // for optional

#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief How long the requests of a route took lately, from their arrival to
/// the end of their response.
class RequestDurations
{
public:
  /// Requests are remembered for one to two of these.
  static constexpr Duration kWindow = std::chrono::seconds(30);
  /// Among fewer requests the longest one says little of the next.
  static constexpr std::size_t kMinRequests = 100;
  /// Applied to the longest request.
  static constexpr double kHeadroom = 1.25;

  void OnEnd(Duration aTook, Instant aNow);
  /// @return a time within which the next request almost certainly ends;
  /// nothing if too few have ended lately.
  [[nodiscard]] std::optional<Duration> UpperBound(Instant aNow) const;

private:
  struct Window
  {
    Instant begun{};
    std::size_t requests = 0;
    Duration longest{};
  };

  Window m_current;
  Window m_previous;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_REQUEST_DURATIONS_HPP
