#ifndef JUJUBEHEAD_NODE_CONTROL_STORE_KEEPER_HPP
#define JUJUBEHEAD_NODE_CONTROL_STORE_KEEPER_HPP

#include <cstddef>    // for size_t
#include <functional> // for function
#include <map>        // for map
#include <string>     // for string
#include <vector>     // for vector

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/context/part_directory.hpp"      // for PartDirectory
#include "jujubehead/core/routing/configuration.hpp"       // for DeclaredStore
#include "jujubehead/core/weights/rollout.hpp"             // for WantedWeights
#include "jujubehead/core/weights/superseded_versions.hpp" // for Superseded...
#include "jujubehead/node/control/platform.hpp"            // for StoreCalls

namespace jujubehead::node {

/// @brief What a StoreKeeper asks of its instance.
struct StoreKeeperHooks
{
  /// @return this instance's place among all for a store; 0 is the first.
  std::function<std::size_t(const core::StoreId& aStore)> rank;
  /// Nobody reads the blocks of these scopes any more.
  std::function<void(core::SupersededScopes aScopes)> on_unread;
};

/// @brief Frees the prefix blocks of superseded weights, so that those of the
/// new weights find room.
///
/// Nobody can be reading such a block by then, without any agreement: an
/// instance reads blocks only while it has heard the operator within
/// `kHearTime`, only those of the newest weights that it knows, and each read
/// ends within `kReadTime`. So a block is freed no earlier than both of these
/// and a margin after this instance heard of newer weights, and it does not
/// matter whether two instances free the same.
///
/// By the same rule every instance forgets these blocks, so that nobody has to
/// tell the others which ones were freed.
///
/// Instances take turns by rank, another order for each store, and each frees
/// what it knew: so it does not matter if the first ones are gone. Else all of
/// them would free everything everywhere at one moment (thundering herd).
class StoreKeeper
{
public:
  StoreKeeper(boost::asio::io_context& aContext,
              StoreCalls& aCalls,
              StoreKeeperHooks aHooks);

  void Start();
  void SetStores(const std::vector<core::DeclaredStore>& aStores);
  void SetWanted(const std::map<core::ModelId, core::WantedWeights>& aWanted);
  /// @param aHeard when the store said so, at the latest.
  void OnPage(const core::StoreId& aStore,
              const core::PartEventPage& aPage,
              core::Instant aHeard);
  void OnSilence(const core::StoreId& aStore);

private:
  boost::asio::awaitable<void> Run();
  /// @brief Frees all that is due at a store, in pieces.
  /// @return whether superseded blocks are left there.
  boost::asio::awaitable<bool> FreeAt(core::DeclaredStore aStore);
  /// @return blocks superseded for that long, at most one call's worth.
  [[nodiscard]] std::vector<core::ScopedPart> SupersededAt(
    const core::StoreId& aStore,
    core::Duration aFor) const;
  /// @return whether the store freed them.
  boost::asio::awaitable<bool> Free(core::DeclaredStore aStore,
                                    std::vector<core::ScopedPart> aParts);

  boost::asio::io_context& m_context;
  StoreCalls& m_calls;
  StoreKeeperHooks m_hooks;
  std::vector<core::DeclaredStore> m_stores;
  core::SupersededVersions m_versions;
  core::PartDirectory m_parts;
  std::size_t m_due = 0;    ///< Versions whose blocks were forgotten.
  bool m_has_turns = false; ///< Blocks may be left to free, now or later.
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_STORE_KEEPER_HPP
