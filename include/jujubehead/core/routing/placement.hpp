#ifndef JUJUBEHEAD_CORE_ROUTING_PLACEMENT_HPP
#define JUJUBEHEAD_CORE_ROUTING_PLACEMENT_HPP

#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <optional>    // for optional
#include <span>        // for span
#include <string_view> // for string_view

namespace jujubehead::core {

/// @brief What placement weighs of one target.
struct PlacementCandidate
{
  std::uint64_t name_hash = 0; ///< Of the target's id; see PlacementHash().
  double load = 0;             ///< Requests there, of all instances.
  double capacity = 1;         ///< Against the other candidates.
  bool is_near = false;        ///< In this instance's data centre.
  /// In the data centre of the store that has the prompt.
  bool is_at_store = false;
};

/// @brief How far placement goes for a prompt's home.
struct PlacementOptions
{
  /// A prompt leaves its home when the home has more than this many times the
  /// mean load, and `bound_extra` requests: what the home has cached is then
  /// recomputed elsewhere, which costs more than a short wait.
  double bound = 1.5;
  double bound_extra = 2;
  /// Load that a target in another data centre counts more: the way there
  /// costs little beside a request's time, so it only settles near ties.
  double far_penalty = 0.5;
};

/// @return the hash of a name, the same in every instance.
std::uint64_t
PlacementHash(std::string_view aName);

/// @brief Places a prompt: the first in the order of rendezvous hashing whose
/// load is within the bound, so that a prompt returns to where it was read
/// before, and load still spreads. Targets near the store that has it go before
/// all others. Needs no message between instances and survives restarts.
/// @param aPrompt the hash of the prompt's part that returns.
/// @return the index of the target; nothing when there is no candidate.
std::optional<std::size_t>
PlacePrompt(std::uint64_t aPrompt,
            std::span<const PlacementCandidate> aCandidates,
            const PlacementOptions& aOptions = {});

/// @brief Places a request that no target serves better than others: the least
/// load for its capacity, the near one among equals.
/// @param aSalt settles ties, so that instances do not all pick the same.
std::optional<std::size_t>
PlaceCall(std::uint64_t aSalt,
          std::span<const PlacementCandidate> aCandidates,
          const PlacementOptions& aOptions = {});

/// @return the index of a key's home among members with capacities; nothing
/// when there is none. Members that come or go move only their own keys.
std::optional<std::size_t>
WeightedHome(std::uint64_t aKey,
             std::span<const PlacementCandidate> aCandidates);

/// @return the score of a member for a key in weighted rendezvous hashing; the
/// member with the highest one is the key's home.
double
WeightedScore(std::uint64_t aKey, std::uint64_t aNameHash, double aCapacity);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_PLACEMENT_HPP
