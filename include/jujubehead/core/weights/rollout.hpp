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

/// @brief The versions of a model's weights that were asked for, and when each
/// has to have replaced the older ones.
class WantedWeights
{
public:
  /// @brief A version was asked for; older ones than known are passed over.
  /// @param aOnlyNewerFrom from then on no request may begin on older ones.
  /// @return whether it is new.
  bool Add(std::uint64_t aVersion, Instant aOnlyNewerFrom);

  /// @return the newest version; 0 before the first.
  [[nodiscard]] std::uint64_t Newest() const;
  /// @return the oldest version on which a request may begin at an instant.
  [[nodiscard]] std::uint64_t OldestAllowed(Instant aWhen) const;
  /// @return until when a request may begin on a version.
  [[nodiscard]] Instant BeginUntil(std::uint64_t aVersion) const;

private:
  std::map<std::uint64_t, Instant> m_deadlines; ///< By version.
};

/// @brief A target of a roll-out.
struct RolloutTarget
{
  TargetId id;
  DataCentreId data_centre;
  std::uint64_t version = 0;
  bool is_loading = false;
  /// Its order stays unanswered: it may be carried out any time, or never.
  bool is_unanswered = false;
  Instant not_before{}; ///< After it could not be reached.
};

/// @return how many targets may load at once so that the roll-out is over in
/// time and the others carry the load.
std::size_t
RolloutWidth(std::size_t aTargets);

/// @return the targets that are to load next, at most as many as RolloutWidth()
/// leaves room for: those with the oldest weights first, as requests may begin
/// there no longer soonest; then those of the data centres in which fewest
/// load. One whose order stays unanswered serves on meanwhile and keeps no
/// other from loading; else orders that take seconds would be waited for one
/// round after the other.
std::vector<TargetId>
NextToLoad(std::span<const RolloutTarget> aTargets,
           std::uint64_t aWanted,
           Instant aNow);

/// @brief What the giver of orders tells the other instances about a model.
struct RolloutState
{
  std::uint64_t version = 0;
  std::vector<TargetId> loading;
  std::vector<TargetId> done;
};

/// @return the state as text, and back; nothing is read from what is no state.
std::string
ToText(const RolloutState& aState);
RolloutState
RolloutStateOf(const std::string& aText);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_WEIGHTS_ROLLOUT_HPP
