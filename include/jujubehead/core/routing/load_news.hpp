#ifndef JUJUBEHEAD_CORE_ROUTING_LOAD_NEWS_HPP
#define JUJUBEHEAD_CORE_ROUTING_LOAD_NEWS_HPP

#include <cstddef> // for size_t
#include <cstdint> // for uint32_t
#include <map>     // for map
#include <vector>  // for vector

#include "jujubehead/core/ids.hpp"                   // for TargetId
#include "jujubehead/core/routing/load_estimate.hpp" // for ReportedLoad
#include "jujubehead/core/runtime_clock.hpp"         // for Instant, Duration

namespace jujubehead::core {

/// @brief Stands for a target in reports between instances: a hash of its id.
/// Two targets with one key share their reports, which costs them a better
/// choice.
enum class TargetKey : std::uint32_t
{
};

TargetKey
KeyOf(const TargetId& aTarget);

/// @brief What some instance learned of a target: the load that it reported, or
/// that it is gone.
struct HeardLoad
{
  TargetKey target{};
  ReportedLoad load;
  Instant heard{}; ///< At the latest.
  /// Nothing listens at its address any more, or another target does. One that
  /// merely does not answer is not gone: the path to it may be cut, for the
  /// reporting instance only.
  bool is_gone = false;
};

/// @return the report of a target that is gone. It ranks before all loads.
HeardLoad
GoneTarget(const TargetId& aTarget, Instant aNow);

/// @brief Bounds of what instances tell each other of targets' loads.
struct LoadNewsOptions
{
  /// An older word says little: requests last about a second.
  Duration longest_age = std::chrono::milliseconds(1500);
  /// Targets in one message: eight bytes each, four messages a second, so that
  /// they stay within 8 KB a second however many targets there are.
  std::size_t most = 224;
};

/// @brief The newest word on each target's load, from whichever instance heard
/// it.
///
/// With many instances each one hears of a target every few seconds only, and
/// sends prompts to homes that are full, or to targets that crashed, one failed
/// request of each instance for each of them (retry storm). Told are the
/// busiest targets: those are the ones to keep away from, and who is not among
/// them has room.
class LoadNews
{
public:
  explicit LoadNews(LoadNewsOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief Keeps a word if it is newer than what is known of its target.
  void Put(const HeardLoad& aLoad);
  /// @return the busiest targets, by requests for each of their places, and
  /// forgets what is too old.
  [[nodiscard]] std::vector<HeardLoad> Busiest(Instant aNow);
  /// @return as Busiest(), and forgets all.
  [[nodiscard]] std::vector<HeardLoad> TakeBusiest(Instant aNow);

private:
  LoadNewsOptions m_options;
  std::map<TargetKey, HeardLoad> m_loads;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_LOAD_NEWS_HPP
