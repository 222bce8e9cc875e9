#ifndef JUJUBEHEAD_NODE_CONTROL_BLOCK_RECLAIMER_HPP
#define JUJUBEHEAD_NODE_CONTROL_BLOCK_RECLAIMER_HPP

#include <cstddef>    // for size_t
#include <functional> // for function
#include <map>        // for map
#include <string>     // for string
#include <vector>     // for vector

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/context/part_directory.hpp"      // for PartDirectory
#include "jujubehead/core/routing/configuration.hpp"       // for DeclaredStore
#include "jujubehead/core/weights/rollout.hpp"             // for DesiredWeights
#include "jujubehead/core/weights/superseded_versions.hpp" // for Superseded...
#include "jujubehead/node/control/platform.hpp"            // for StoreCalls

namespace jujubehead::node {

/// @brief Callbacks of a BlockReclaimer.
struct BlockReclaimerHooks
{
  /// @return this instance's rank among all instances for a store, from 0.
  std::function<std::size_t(const core::StoreId& aStore)> rank;
  /// The blocks of these scopes are no longer read.
  std::function<void(core::SupersededScopes aScopes)> on_unused;
};

/// @brief Frees the prefix blocks of superseded weights to make room for those
/// of the new weights.
///
/// No coordination is needed to know that such a block has no readers: an
/// instance reads blocks only if its last response from the operators' store is
/// at most `kHearTime` old, only those of the newest weights that it knows, and
/// each read ends within `core::kPartReadTime`. So a block is freed no earlier
/// than the sum of both and a margin after this instance learned of newer
/// weights. Freeing a block twice is harmless.
///
/// By the same rule every instance drops these blocks from its directory, so
/// that freed blocks need not be announced.
///
/// Instances take turns by rank, in a different order for each store, and each
/// frees all blocks that it knows, so the failure of earlier ones does no harm.
/// Without turns all would free everything at once (thundering herd).
class BlockReclaimer
{
public:
  BlockReclaimer(boost::asio::io_context& aContext,
                 StoreCalls& aCalls,
                 BlockReclaimerHooks aHooks);

  void Start();
  void SetStores(const std::vector<core::DeclaredStore>& aStores);
  void SetWanted(const std::map<core::ModelId, core::DesiredWeights>& aWanted);
  /// @param aAsOf assumed time at which the store sent the page.
  void OnPage(const core::StoreId& aStore,
              const core::PartEventPage& aPage,
              core::Instant aAsOf);
  void OnNoResponse(const core::StoreId& aStore);

private:
  boost::asio::awaitable<void> Run();
  /// @brief Frees all due blocks of a store, in batches.
  /// @return whether superseded blocks remain there.
  boost::asio::awaitable<bool> FreeAt(core::DeclaredStore aStore);
  /// @return blocks superseded for at least aFor, up to one batch.
  [[nodiscard]] std::vector<core::ScopedPart> SupersededAt(
    const core::StoreId& aStore,
    core::Duration aFor) const;
  /// @return whether the store freed them.
  boost::asio::awaitable<bool> Free(core::DeclaredStore aStore,
                                    std::vector<core::ScopedPart> aParts);

  boost::asio::io_context& m_context;
  StoreCalls& m_calls;
  BlockReclaimerHooks m_hooks;
  std::vector<core::DeclaredStore> m_stores;
  core::SupersededVersions m_versions;
  core::PartDirectory m_parts;
  std::size_t m_due_count = 0; ///< Versions whose blocks were dropped.
  bool m_has_pending = false;  ///< Blocks may remain to be freed.
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_BLOCK_RECLAIMER_HPP
