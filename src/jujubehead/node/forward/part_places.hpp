#ifndef JUJUBEHEAD_NODE_FORWARD_PART_PLACES_HPP
#define JUJUBEHEAD_NODE_FORWARD_PART_PLACES_HPP

#include <string> // for string

#include "jujubehead/core/context/prompt.hpp"  // for Prompt
#include "jujubehead/core/ids.hpp"             // for AccountId
#include "jujubehead/node/forward/dialect.hpp" // for TargetCall

#include "forward_state.hpp" // for ForwardState

namespace jujubehead::node {

/// @return the scope under which a target may share cached parts: one version
/// of one model's weights, and one account where that shares with no other. A
/// part that other weights or another's request made cannot be named by it.
std::string
CacheScope(const core::Prompt& aPrompt,
           std::uint64_t aWeightVersion,
           const core::DeclaredAccount* aAccount);

/// @brief Fills in where each part may be read from and is to be kept: a part
/// has one home among the stores, found by hashing, so that instances agree on
/// it without asking. The last part is the request's own and is not kept.
void
PlaceParts(const ForwardState& aState,
           const core::Prompt& aPrompt,
           TargetCall& aCall);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_PART_PLACES_HPP
