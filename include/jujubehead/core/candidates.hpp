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

/// @brief How many targets of each kind are asked for a quote.
struct CandidateSettings
{
  std::size_t holders = 3; ///< Believed to have the context.
  std::size_t homes = 2;   ///< By rendezvous hash of the context.
  std::size_t others = 1;  ///< Drawn at random.
};

/// @brief Chooses the targets whose owners are asked for a quote.
///
/// Holders come first. A context that has to move goes to one of its few homes
/// rather than anywhere, so that what it leaves behind is found again and the
/// caches of other targets stay as they are. A random one keeps a busy home
/// from being the only choice.
/// @param aHints of the directory, longest prefix first.
/// @param aRoot the key of the context's first block.
/// @param aTargets that serve the model, in any order.
/// @param aDraw random bits.
/// @return each at most once, the most promising first.
std::vector<TargetId>
PickCandidates(std::span<const PrefixHint> aHints,
               const ContextKey& aRoot,
               std::span<const TargetId> aTargets,
               std::uint64_t aDraw,
               const CandidateSettings& aSettings = {});

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_CANDIDATES_HPP
