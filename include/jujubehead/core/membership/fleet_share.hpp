#ifndef JUJUBEHEAD_CORE_MEMBERSHIP_FLEET_SHARE_HPP
#define JUJUBEHEAD_CORE_MEMBERSHIP_FLEET_SHARE_HPP

#include <cstddef>  // for size_t
#include <optional> // for optional

#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief Timing of a FleetShare.
struct FleetShareOptions
{
  /// Sliding window over which the whole allowance holds.
  Duration window = std::chrono::seconds(10);
  /// A view older than this gives no share. Covers a long poll of the rows, its
  /// timeout, and the hubs on the way.
  Duration view_lifetime = std::chrono::seconds(6);
};

/// @brief An instance's share of an allowance that the whole fleet has in any
/// sliding window, without messages when it is used.
///
/// Each instance divides by the instances that it knows. Two rules keep the sum
/// within the whole, although views differ and instances join, pause, restart
/// or are cut off:
/// - a share is valid only while the view of the instances is fresh, that is,
///   as of at most `view_lifetime` ago;
/// - an instance has no share until its own row has been visible for a window
///   and a view's lifetime.
/// If i and j use their shares in one window, then j's row was visible before
/// the oldest view that i may use then, so i counts j. A row that outlives its
/// instance makes the shares smaller, never larger.
class FleetShare
{
public:
  explicit FleetShare(FleetShareOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief The instances' rows were read.
  /// @param aInstances the instances with a row.
  /// @param aHasOwn whether this instance is one of them.
  /// @param aAsOf time as of which the rows were current, at the earliest.
  /// @param aNow time of the call.
  void OnView(std::size_t aInstances,
              bool aHasOwn,
              Instant aAsOf,
              Instant aNow);
  /// @return the share, 0 to 1, that is valid until ValidUntil().
  [[nodiscard]] double At(Instant aNow) const;
  [[nodiscard]] Instant ValidUntil() const
  {
    return m_as_of + m_options.view_lifetime;
  }

private:
  FleetShareOptions m_options;
  std::size_t m_instances = 0;
  Instant m_as_of{};
  std::optional<Instant> m_visible_since; ///< Of this instance's own row.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_MEMBERSHIP_FLEET_SHARE_HPP
