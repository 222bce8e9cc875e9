#ifndef JUJUBEHEAD_CORE_OVERLOAD_STOP_SCHEDULE_HPP
#define JUJUBEHEAD_CORE_OVERLOAD_STOP_SCHEDULE_HPP

#include <optional> // for optional

#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief What is known of how long a request will take.
struct RequestTime
{
  /// It is answered within this time in any case.
  Duration limit{};
  /// Requests like it almost certainly end within this time, if known.
  std::optional<Duration> usual;
  /// A target has had it: not to send it again would be a failure, and no
  /// refusal with which its caller can go elsewhere.
  bool may_have_run = false;
};

/// @brief When what happens in a planned stop of an instance.
///
/// 1. The load balancer learns that the instance is not ready. Until then
///    callers cannot avoid it, so it takes what will almost certainly end.
/// 2. Callers that still come use open connections, and reach another instance
///    with their next request. It takes what ends in any case.
/// 3. Hardly anybody connects any more: idle connections are closed, and the
///    process may end. Whoever does connect is refused with a response.
/// 4. What is still open gets its final response; the listener is closed.
/// 5. The process ends.
class StopSchedule
{
public:
  /// The balancer sends no new requests after two failed health checks, one a
  /// second, and the time for what was under way then.
  static constexpr Duration kInRotation = std::chrono::milliseconds(2200);
  /// From here on only callers connect whose balancer has not noticed.
  static constexpr Duration kOutOfRotation = std::chrono::milliseconds(3200);
  /// Kept from the grace period for the end of the process itself.
  static constexpr Duration kExitMargin = std::chrono::milliseconds(400);
  /// In which final responses reach their callers.
  static constexpr Duration kResponseMargin = std::chrono::milliseconds(200);

  /// @param aGrace from the request for a stop to the end of the process, at
  /// the latest.
  explicit StopSchedule(Duration aGrace)
    : m_grace(aGrace)
  {
  }

  /// @brief A stop was requested; the first time counts.
  void Request(Instant aAt);
  [[nodiscard]] bool IsRequested() const { return m_requested_at.has_value(); }
  [[nodiscard]] std::optional<Instant> RequestedAt() const
  {
    return m_requested_at;
  }
  [[nodiscard]] bool IsOutOfRotation(Instant aNow) const;
  /// @return whether a request may be sent to a target now.
  [[nodiscard]] bool Allows(const RequestTime& aTime, Instant aNow) const;
  /// @return when open requests get their final responses; max: no stop.
  [[nodiscard]] Instant AnswersUntil() const;
  /// @return when the process ends at the latest; max: no stop.
  [[nodiscard]] Instant EndsAt() const;

private:
  Duration m_grace;
  std::optional<Instant> m_requested_at;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_OVERLOAD_STOP_SCHEDULE_HPP
