#ifndef JUJUBEHEAD_CORE_ROUTING_STREAM_LIFETIME_HPP
#define JUJUBEHEAD_CORE_ROUTING_STREAM_LIFETIME_HPP

#include "jujubehead/core/runtime_clock.hpp" // for Duration, Instant

namespace jujubehead::core {

/// @brief How long ago a stream may have begun that a caller takes up again:
/// the timeout of its route, and the time within which callers return.
///
/// The timeout is that of the configuration under which the stream began. After
/// a change to a shorter one, the former counts until its streams are over.
class StreamLifetime
{
public:
  /// Time beyond the timeout of its route, within which a caller returns.
  static constexpr Duration kCallerReturnTime = std::chrono::seconds(5);
  /// A process that has just started does not know which timeouts were in force
  /// before.
  static constexpr Duration kMinLongest = std::chrono::seconds(20);

  /// @param aTimeout the longest of all routes from now on.
  void SetTimeout(Duration aTimeout, Instant aNow);
  [[nodiscard]] Duration Longest(Instant aNow) const;

private:
  Duration m_longest = kMinLongest; ///< By the timeouts in force.
  Duration m_former{};
  Instant m_former_until{};
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_STREAM_LIFETIME_HPP
