#ifndef JUJUBEHEAD_CORE_ROUTING_HEDGE_POLICY_HPP
#define JUJUBEHEAD_CORE_ROUTING_HEDGE_POLICY_HPP

#include <cstddef>       // for size_t
#include <cstdint>       // for uint32_t, uint64_t
#include <optional>      // for optional
#include <string>        // for string
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "jujubehead/core/runtime_clock.hpp" // for Duration, Instant

namespace jujubehead::core {

/// @brief The newest response times of one route.
class RecentLatencies
{
public:
  void Add(Duration aTook);
  /// @return the time that 95 in 100 of the responses are below; nothing while
  /// too few are known.
  [[nodiscard]] std::optional<Duration> Percentile95() const;

private:
  std::vector<Duration> m_times; ///< Overwritten from m_next on when full.
  std::size_t m_next = 0;
};

/// @brief A request that has no response yet, and might be sent to a second
/// target (hedged).
struct HedgeInput
{
  bool is_repeatable = false;
  std::uint32_t max_targets = 1;  ///< That the request may run on.
  std::uint32_t may_have_run = 0; ///< Targets so far, the current one included.
  bool has_stream_begun = false;
  bool resumes_stream = false; ///< Goes on with a stream of an earlier attempt.
  bool is_suspect = false;     ///< Of crashing its targets.
  bool is_cold_send = false;   ///< Its target is cold.
  Duration time_left{};
  Duration delay{}; ///< Since it was sent.
};

/// @return whether a second send is allowed for this request.
[[nodiscard]] bool
MayHedge(const HedgeInput& aInput);

/// @brief When the requests of one service are hedged at this instance: after a
/// time that nearly all responses of their route are below, and for at most a
/// share of all requests.
///
/// A limit of the share bounds the extra work when all responses become slow at
/// once. Requests are not hedged while the service refuses some: extra work
/// would take the room of others.
///
/// @code
/// HedgePolicy policy(0.02); // Two extra sends for a hundred requests.
/// policy.OnRequest();
/// if (const auto delay = policy.DelayOf("route")) { ... }
/// @endcode
class HedgePolicy
{
public:
  /// @param aShare hedged requests per request, 0 to 1; 0: none.
  explicit HedgePolicy(double aShare)
    : m_share(aShare)
  {
  }

  void OnRequest();
  /// @brief A request was refused for want of room.
  void OnRefusal(Instant aNow) { m_refused_at = aNow; }
  /// @brief A request got its first response.
  void OnFirstResponse(const std::string& aRoute, Duration aTook);
  /// @return when a request is hedged, from its send on; nothing: not at all.
  [[nodiscard]] std::optional<Duration> DelayOf(
    const std::string& aRoute) const;
  /// @return whether room was scarce a moment ago.
  [[nodiscard]] bool IsScarce(Instant aNow) const;
  /// @return whether the share allows one more; takes it.
  bool TryToHedge();

private:
  double m_share;
  double m_tokens = 0;
  std::optional<Instant> m_refused_at;
  std::unordered_map<std::string, RecentLatencies> m_latencies; ///< By route.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_HEDGE_POLICY_HPP
