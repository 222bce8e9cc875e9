#ifndef JUJUBEHEAD_CORE_ROUTING_PLACEMENT_HPP
#define JUJUBEHEAD_CORE_ROUTING_PLACEMENT_HPP

#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <optional>    // for optional
#include <span>        // for span
#include <string_view> // for string_view

namespace jujubehead::core {

/// @brief A target as placement sees it.
struct PlacementCandidate
{
  std::uint64_t name_hash = 0; ///< Of the target's id; see PlacementHash().
  double load = 0;             ///< Requests in progress, of all instances.
  double capacity = 1;         ///< Relative to the other candidates.
  bool is_near = false;        ///< In this instance's data centre.
  /// In the data centre of the store that holds the prompt's KV cache.
  bool is_near_store = false;
};

/// @brief Load bounds and locality weights of placement.
struct PlacementOptions
{
  /// A target accepts prompts up to this many times the mean load plus
  /// `bound_extra` requests. Beyond that a prompt goes to another target, which
  /// has to recompute the cached prefix; that costs more than a short wait.
  double bound = 1.5;
  double bound_extra = 2;
  /// Load added to a target in another data centre. The network delay is small
  /// compared to a request's duration, so this only decides near ties.
  double far_penalty = 0.5;
};

/// @return the hash of a name; all instances compute the same value.
std::uint64_t
PlacementHash(std::string_view aName);

/// @brief Places a prompt by rendezvous hashing with bounded loads: it picks
/// the highest-scoring target whose load is within the bound, so that a
/// repeated prompt reaches the target that has its prefix cached, and load
/// still spreads. Targets near the store that holds the prompt come first.
/// Needs no messages between instances and gives the same result after a
/// restart.
/// @param aPrompt the hash of the prompt's reusable prefix.
/// @return the index of the target; nothing when there is no candidate.
std::optional<std::size_t>
PlacePrompt(std::uint64_t aPrompt,
            std::span<const PlacementCandidate> aCandidates,
            const PlacementOptions& aOptions = {});

/// @brief Places a request without cache affinity at the target with the least
/// load relative to its capacity, preferring this data centre among equals.
/// @param aSalt breaks ties, so that instances do not all pick the same target.
std::optional<std::size_t>
PlaceByLoad(std::uint64_t aSalt,
            std::span<const PlacementCandidate> aCandidates,
            const PlacementOptions& aOptions = {});

/// @brief Places a request without cache affinity at the less loaded of two
/// random targets (power of two choices). Reports of loads are old when there
/// are many instances, and all would send to the target that was the least
/// loaded (herding).
/// @param aSalt selects the two targets.
std::optional<std::size_t>
PlaceByTwoChoices(std::uint64_t aSalt,
                  std::span<const PlacementCandidate> aCandidates,
                  const PlacementOptions& aOptions = {});

/// @return the index of the member that a key is assigned to, in proportion to
/// the capacities; nothing when there is none. A member that joins or leaves
/// moves only its own keys.
std::optional<std::size_t>
WeightedOwner(std::uint64_t aKey,
              std::span<const PlacementCandidate> aCandidates);

/// @return the score of a member for a key in weighted rendezvous hashing; the
/// key is assigned to the member with the highest score.
double
WeightedScore(std::uint64_t aKey, std::uint64_t aNameHash, double aCapacity);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_PLACEMENT_HPP
