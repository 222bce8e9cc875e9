#ifndef JUJUBEHEAD_NODE_FORWARD_PART_PLACES_HPP
#define JUJUBEHEAD_NODE_FORWARD_PART_PLACES_HPP

#include <cstdint>  // for uint64_t
#include <optional> // for optional

#include "jujubehead/core/context/cache_scope.hpp" // for CacheScope
#include "jujubehead/core/context/prompt.hpp"      // for Prompt
#include "jujubehead/node/forward/dialect.hpp"     // for TargetCall

#include "forward_state.hpp" // for ForwardState

namespace jujubehead::node {

/// @brief What was decided for the parts that other requests share, in tokens.
struct PlacedTokens
{
  std::uint64_t transferred = 0; ///< Read from a store.
  std::uint64_t anew = 0;        ///< No store has them, or its link is busy.
  std::uint64_t passed_over = 0; ///< Of `anew`: a store has them.
  std::uint64_t kept = 0;        ///< Of `anew`: ordered to be kept.
  core::Duration link_wait{};    ///< The longest on a link, as expected.
};

/// @brief Fills in where each part may be read from and is to be kept: a part
/// has few homes among the stores, found by hashing, so that instances agree on
/// them without asking. A part that many requests use is kept near its readers
/// as well. The last part is the request's own and is not kept.
/// Nothing is read or kept for weights that are being replaced, nor while the
/// operator, who may replace them, was not heard.
/// What is ordered counts as under way on the store's link from then on.
/// @param aObjective of the request, to its first token.
PlacedTokens
PlaceParts(ForwardState& aState,
           const core::Prompt& aPrompt,
           const core::CacheScope& aScope,
           const FleetTarget& aTarget,
           core::Duration aObjective,
           TargetCall& aCall);

/// @return the data centre of the store that has a prompt's returning part, if
/// bringing it from another one would take notably longer. Prompts whose parts
/// are to be read anyway go everywhere, as reading needs all targets.
std::optional<core::DataCentreId>
StorePlaceOf(const ForwardState& aState,
             const core::Prompt& aPrompt,
             const core::CacheScope& aScope,
             const core::ServiceId& aService);

/// @brief Fills in the prompt's home target for parts that no store has: where
/// a request that leaves its home runs, the home has usually read them. Only a
/// target that spoke of late and has the same weights is named, since a dead
/// one costs a wait.
void
ReadFromHome(const ForwardState& aState,
             const core::Prompt& aPrompt,
             const FleetTarget& aTarget,
             TargetCall& aCall);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_PART_PLACES_HPP
