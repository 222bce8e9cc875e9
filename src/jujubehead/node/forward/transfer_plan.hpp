#ifndef JUJUBEHEAD_NODE_FORWARD_TRANSFER_PLAN_HPP
#define JUJUBEHEAD_NODE_FORWARD_TRANSFER_PLAN_HPP

#include <cstdint>  // for uint64_t
#include <optional> // for optional

#include "jujubehead/core/context/cache_scope.hpp"  // for CacheScope
#include "jujubehead/core/context/prompt.hpp"       // for Prompt
#include "jujubehead/core/routing/homes.hpp"        // for Homes
#include "jujubehead/node/forward/header_codec.hpp" // for TargetCall

#include "forward_state.hpp" // for ForwardState

namespace jujubehead::node {

/// @brief Planned handling of the shareable parts of a prompt, in tokens.
struct PlannedTokens
{
  std::uint64_t transferred = 0; ///< Read from a store.
  std::uint64_t recomputed = 0;  ///< Not read from a store.
  std::uint64_t skipped = 0; ///< Of `recomputed`: stored, but the link is busy.
  std::uint64_t to_store = 0; ///< To be written to a store.
  core::Duration link_wait{}; ///< Longest expected wait for a link.
};

/// @brief Fills in where the target may read each part and where it is to
/// write it. Each part has a few home stores, found by hashing, so that
/// instances agree on them without communication. A frequently used part is
/// also stored in the data centre of its readers. The last part is unique to
/// the request and is not stored.
/// Stores are not used for weights that are being replaced, nor while the
/// operator, which may replace them, is out of contact.
/// Planned transfers count as load on the store's link from then on.
/// @param aHomes regions in which the prompt's parts may lie.
/// @param aObjective of the request, to its first token.
PlannedTokens
PlanTransfers(ForwardState& aState,
              const core::Prompt& aPrompt,
              const core::CacheScope& aScope,
              const FleetTarget& aTarget,
              const core::Homes& aHomes,
              core::Duration aObjective,
              TargetCall& aCall);

/// @return the data centre of the store that has a prompt's returning part, if
/// reading it from another data centre would take notably longer; nothing
/// otherwise, as reads should spread over all targets.
std::optional<core::DataCentreId>
StoreDataCentreOf(const ForwardState& aState,
                  const core::Prompt& aPrompt,
                  const core::CacheScope& aScope,
                  const core::ServiceId& aService,
                  const core::Homes& aHomes);

/// @brief Fills in the prompt's home target as the source of parts that are not
/// read from a store: when a request runs elsewhere, its home target has
/// usually computed them. Only a target that is probably alive and has the same
/// weights is used, since a dead one costs a time-out.
void
ReadFromHomeTarget(const ForwardState& aState,
                   const core::Prompt& aPrompt,
                   const FleetTarget& aTarget,
                   const core::Homes& aHomes,
                   TargetCall& aCall);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_TRANSFER_PLAN_HPP
