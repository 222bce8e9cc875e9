#ifndef JUJUBEHEAD_CORE_ROUTING_DIRECT_PATHS_HPP
#define JUJUBEHEAD_CORE_ROUTING_DIRECT_PATHS_HPP

#include <array>    // for array
#include <cstddef>  // for size_t
#include <cstdint>  // for uint8_t
#include <map>      // for map
#include <optional> // for optional
#include <vector>   // for vector

#include "jujubehead/core/ids.hpp"           // for TargetId
#include "jujubehead/core/runtime_clock.hpp" // for Instant

namespace jujubehead::core {

/// @brief How a direct connection failed.
enum class PathLoss : std::uint8_t
{
  kSilent,  ///< No response: open connections may be silent, too.
  kRefused, ///< Refused or reset: open connections may still work.
};

/// @brief What one instance knows of its own network paths to the targets.
///
/// A path counts as lost only once another instance has reached the target that
/// this one did not: a target that nobody reaches is down, and no path of an
/// instance says anything about it. An instance that lost several paths, and
/// opened no direct connection meanwhile, counts as partitioned: it takes all
/// its paths for lost, and does not find out with a request for each target.
///
/// The state grows with the targets that this instance used, not with the
/// fleet.
class DirectPaths
{
public:
  /// @brief A target is about to be sent a request.
  void OnUse(const TargetId& aTarget);
  /// @brief A direct connection was opened.
  /// @return whether the path to the target had been lost.
  bool OnConnected(const TargetId& aTarget);
  /// @brief No direct connection could be opened, and another instance opened
  /// one.
  /// @return whether that is news.
  bool OnLost(const TargetId& aTarget, PathLoss aLoss, Instant aNow);
  /// @brief A target has left.
  void Forget(const TargetId& aTarget);

  /// @return whether a connection to a target has to be opened through another
  /// instance.
  [[nodiscard]] bool IsLost(const TargetId& aTarget) const
  {
    return IsPartitioned() || m_lost.contains(aTarget);
  }
  /// @return whether open connections to a target are likely silent.
  [[nodiscard]] bool IsSilent(const TargetId& aTarget) const;
  [[nodiscard]] bool IsPartitioned() const;
  /// @return whether there is a path to check again.
  [[nodiscard]] bool HasLost() const { return !m_lost.empty(); }
  [[nodiscard]] std::size_t LostCount() const { return m_lost.size(); }

  /// @return the target whose path is to be checked next. While partitioned,
  /// every second one is a target whose path was not found lost itself: the
  /// lost ones may stay so when the others work again.
  [[nodiscard]] std::optional<TargetId> NextCheck(Instant aNow);
  /// @return targets used lately whose paths are not known to be lost.
  [[nodiscard]] std::vector<TargetId> RecentlyUsed() const;

private:
  static constexpr std::size_t kRecent = 4;

  struct Lost
  {
    PathLoss loss = PathLoss::kSilent;
    Instant checked{}; ///< When it was last.
  };

  std::map<TargetId, Lost> m_lost;
  std::array<std::optional<TargetId>, kRecent> m_recent; ///< Distinct.
  std::size_t m_next_recent = 0;
  std::size_t m_next_check = 0;
  /// Paths lost since a direct connection was opened last.
  std::size_t m_lost_in_a_row = 0;
  PathLoss m_last_loss = PathLoss::kSilent;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_DIRECT_PATHS_HPP
