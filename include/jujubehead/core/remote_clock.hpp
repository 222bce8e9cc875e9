#ifndef JUJUBEHEAD_CORE_REMOTE_CLOCK_HPP
#define JUJUBEHEAD_CORE_REMOTE_CLOCK_HPP

#include <cstdint>  // for int64_t
#include <optional> // for optional

#include "jujubehead/core/runtime_clock.hpp" // for Instant

namespace jujubehead::core {

/// A reading of a steady clock, in ms since that clock's own origin.
using RemoteMs = std::int64_t;

/// @brief Lower and upper bounds on the reading of another machine's steady
/// clock.
///
/// A reading is taken between sending the request and receiving the reply, so
/// each gives two bounds; the tightest are kept, and widen with age because
/// steady clocks drift. Instances that query the same clock can use it to
/// exchange points in time, even across restarts: their own clocks have no
/// common origin.
class RemoteClock
{
public:
  /// @param aSentAt when the request was sent.
  /// @param aReceivedAt when the reply was received.
  void OnReading(RemoteMs aReading, Instant aSentAt, Instant aReceivedAt);
  /// @brief As OnReading(), from a source that knows the reading only within
  /// bounds.
  void OnBounds(RemoteMs aLower,
                RemoteMs aUpper,
                Instant aSentAt,
                Instant aReceivedAt);

  /// @return a bound on its reading at an instant; nullopt before the first
  /// reading.
  [[nodiscard]] std::optional<RemoteMs> LowerBoundAt(Instant aWhen) const;
  [[nodiscard]] std::optional<RemoteMs> UpperBoundAt(Instant aWhen) const;
  /// @return a bound on when it had that reading; nullopt before the first
  /// reading.
  [[nodiscard]] std::optional<Instant> LatestTimeOf(RemoteMs aReading,
                                                    Instant aNow) const;
  [[nodiscard]] std::optional<Instant> EarliestTimeOf(RemoteMs aReading,
                                                      Instant aNow) const;

private:
  /// A bound on its reading at instant 0 of this process's clock.
  struct Bound
  {
    RemoteMs offset = 0;
    Instant since{}; ///< The bound widens from here.
  };

  /// @return the bounds, widened by the drift up to an instant.
  [[nodiscard]] RemoteMs LowerOffset(Instant aWhen) const;
  [[nodiscard]] RemoteMs UpperOffset(Instant aWhen) const;

  bool m_is_known = false;
  Bound m_lower;
  Bound m_upper;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_REMOTE_CLOCK_HPP
