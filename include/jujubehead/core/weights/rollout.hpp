#ifndef JUJUBEHEAD_CORE_WEIGHTS_ROLLOUT_HPP
#define JUJUBEHEAD_CORE_WEIGHTS_ROLLOUT_HPP

#include <cstddef> // for size_t
#include <cstdint> // for uint64_t
#include <map>     // for map
#include <span>    // for span
#include <string>  // for string
#include <vector>  // for vector

#include "jujubehead/core/ids.hpp"           // for TargetId, DataCentreId
#include "jujubehead/core/runtime_clock.hpp" // for Instant

namespace jujubehead::core {

/// @brief The requested versions of a model's weights, and the deadline by
/// which each has to replace the older ones.
class DesiredWeights
{
public:
  /// @brief Adds a requested version; ignored unless newer than all known ones.
  /// @param aOnlyNewerFrom from then on no request may start on older ones.
  /// @return whether it is new.
  bool Add(std::uint64_t aVersion, Instant aOnlyNewerFrom);

  /// @return the newest version; 0 before the first.
  [[nodiscard]] std::uint64_t Newest() const;
  /// @return the oldest version on which a request may start at an instant.
  [[nodiscard]] std::uint64_t OldestAllowed(Instant aWhen) const;
  /// @return until when a request may start on a version.
  [[nodiscard]] Instant StartDeadline(std::uint64_t aVersion) const;

private:
  std::map<std::uint64_t, Instant> m_deadlines; ///< By version.
};

/// @brief State of a target in a roll-out.
struct RolloutTarget
{
  TargetId id;
  DataCentreId data_centre;
  std::uint64_t version = 0;
  bool is_loading = false;
  /// Its load command was not answered: it may be executed at any time, or
  /// never.
  bool is_unanswered = false;
  Instant not_before{}; ///< No retry earlier, after a failure.
  /// Until when requests may start on its weights.
  Instant serves_until = Instant::max();
};

/// @return how many targets may load at once, so that the roll-out completes in
/// time and the remaining ones carry the traffic.
std::size_t
RolloutWidth(std::size_t aTargets);

/// @return the interval at which the coordinator polls each loading target. It
/// grows with their number, so that the polls a second stay the same.
Duration
RolloutPollInterval(std::size_t aLoading);

/// @return the targets to load next, within the limit of RolloutWidth(). Those
/// with the oldest weights go first, because their deadline is the earliest;
/// then those in the data centres with the fewest loading targets. A target
/// with an unanswered command still serves and does not count against the
/// limit; otherwise each round would wait for commands that take seconds. Those
/// on which no request may start any more are returned beyond the limit: they
/// carry no traffic.
std::vector<TargetId>
NextToLoad(std::span<const RolloutTarget> aTargets,
           std::uint64_t aWanted,
           Instant aNow);

/// @brief Roll-out progress of a model, published to the other instances by the
/// instance that sends the load commands.
struct RolloutState
{
  std::uint64_t version = 0;
  std::vector<TargetId> loading;
  std::vector<TargetId> done;
};

/// Longest text of a RolloutState, in bytes: what one row of the operators'
/// store holds, less a margin.
inline constexpr std::size_t kMaxRolloutText = 60000;

/// @brief Converts the state to text and back; invalid text gives an empty one.
/// Targets that do not fit are left out, those that are done first: instances
/// learn of these from the registry, and of the others by their refusals.
std::string
ToText(const RolloutState& aState);
RolloutState
RolloutStateOf(const std::string& aText);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_WEIGHTS_ROLLOUT_HPP
