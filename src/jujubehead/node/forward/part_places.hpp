#ifndef JUJUBEHEAD_NODE_FORWARD_PART_PLACES_HPP
#define JUJUBEHEAD_NODE_FORWARD_PART_PLACES_HPP

#include "jujubehead/core/context/cache_scope.hpp" // for CacheScope
#include "jujubehead/core/context/prompt.hpp"      // for Prompt
#include "jujubehead/node/forward/dialect.hpp"     // for TargetCall

#include "forward_state.hpp" // for ForwardState

namespace jujubehead::node {

/// @brief Fills in where each part may be read from and is to be kept: a part
/// has one home among the stores, found by hashing, so that instances agree on
/// it without asking. The last part is the request's own and is not kept.
/// Nothing is read or kept for weights that are being replaced, nor while the
/// operator, who may replace them, was not heard.
void
PlaceParts(const ForwardState& aState,
           const core::Prompt& aPrompt,
           const core::CacheScope& aScope,
           TargetCall& aCall);

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
