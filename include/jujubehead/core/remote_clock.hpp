#ifndef JUJUBEHEAD_CORE_REMOTE_CLOCK_HPP
#define JUJUBEHEAD_CORE_REMOTE_CLOCK_HPP

#include <cstdint>  // for int64_t
#include <optional> // for optional

#include "jujubehead/core/runtime_clock.hpp" // for Instant

namespace jujubehead::core {

/// What a steady clock reads, in ms since an origin of its own.
using RemoteMs = std::int64_t;

/// @brief What the steady clock of another machine reads at the least and at
/// the most, by its answers.
///
/// An answer was made between the question and its arrival, so each reading
/// gives two bounds; the best ones hold, and grow wider with their age, as
/// steady clocks drift. Instances that ask the same clock can tell each other
/// by it when something was, over their own ends: their own clocks have no
/// common origin.
class RemoteClock
{
public:
  /// @param aAsked when the question was sent.
  /// @param aHeard when the answer came.
  void OnReading(RemoteMs aReading, Instant aAsked, Instant aHeard);
  /// @brief As OnReading(), by someone who knows it within bounds only.
  void OnBounds(RemoteMs aLeast,
                RemoteMs aMost,
                Instant aAsked,
                Instant aHeard);

  /// @return what it reads at an instant; nothing before the first reading.
  [[nodiscard]] std::optional<RemoteMs> LeastAt(Instant aWhen) const;
  [[nodiscard]] std::optional<RemoteMs> MostAt(Instant aWhen) const;
  /// @return when it read that, at the latest and at the earliest.
  [[nodiscard]] std::optional<Instant> LatestOf(RemoteMs aReading,
                                                Instant aNow) const;
  [[nodiscard]] std::optional<Instant> EarliestOf(RemoteMs aReading,
                                                  Instant aNow) const;

private:
  /// A bound of its reading when the process's clock read 0.
  struct Bound
  {
    RemoteMs offset = 0;
    Instant since{}; ///< It grows wider from then on.
  };

  /// @return the bounds as wide as they are at an instant.
  [[nodiscard]] RemoteMs LeastOffset(Instant aWhen) const;
  [[nodiscard]] RemoteMs MostOffset(Instant aWhen) const;

  bool m_is_known = false;
  Bound m_least;
  Bound m_most;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_REMOTE_CLOCK_HPP
