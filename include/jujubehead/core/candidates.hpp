#ifndef JUJUBEHEAD_CORE_CANDIDATES_HPP
#define JUJUBEHEAD_CORE_CANDIDATES_HPP

#include <cstddef> // for size_t
#include <cstdint> // for uint64_t
#include <span>    // for span
#include <vector>  // for vector

#include "jujubehead/core/context_key.hpp" // for ContextKey
#include "jujubehead/core/directory.hpp"   // for PrefixHint
#include "jujubehead/core/ids.hpp"         // for TargetId

namespace jujubehead::core {

/// @brief How many targets of each kind are queried for a quote.
struct CandidateSettings
{
  std::size_t holders = 3; ///< That have the context, by directory hints.
  std::size_t hashed = 2;  ///< By rendezvous hash of the context.
  std::size_t random = 1;  ///< Drawn at random.
};

/// @brief Selects the targets whose owners are queried for a quote.
///
/// Holders come first. A context that has to move goes to one of a few targets
/// chosen by hash, so that later requests find its blocks there and the caches
/// of other targets are not displaced. A random target adds an alternative when
/// the hashed ones are busy.
/// @param aHints from the directory, longest prefix first.
/// @param aRoot the key of the context's first block.
/// @param aTargets the targets that serve the model, in any order.
/// @param aDraw random bits.
/// @return each target at most once: holders, then hashed, then random.
std::vector<TargetId>
PickCandidates(std::span<const PrefixHint> aHints,
               const ContextKey& aRoot,
               std::span<const TargetId> aTargets,
               std::uint64_t aDraw,
               const CandidateSettings& aSettings = {});

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_CANDIDATES_HPP
