#ifndef JUJUBEHEAD_NODE_CONTROL_STORE_KEEPER_HPP
#define JUJUBEHEAD_NODE_CONTROL_STORE_KEEPER_HPP

#include <functional> // for function
#include <map>        // for map
#include <string>     // for string
#include <vector>     // for vector

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/context/part_directory.hpp" // for PartDirectory
#include "jujubehead/core/routing/configuration.hpp"  // for DeclaredStore
#include "jujubehead/core/weights/rollout.hpp"        // for WantedWeights
#include "jujubehead/node/control/platform.hpp"       // for StoreCalls

namespace jujubehead::node {

/// @brief Frees the parts that replaced weights made, so that those of the new
/// weights find room.
///
/// Nobody can be reading such a part by then, without any agreement: an
/// instance reads parts only while it has heard the operator within
/// `kHearTime`, only those of the newest weights that it knows, and each read
/// ends within `kReadTime`. So a part is freed no earlier than both of these
/// and a margin after this instance heard of newer weights, and it does not
/// matter whether two instances free the same.
class StoreKeeper
{
public:
  StoreKeeper(boost::asio::io_context& aContext,
              StoreCalls& aCalls,
              std::function<bool()> aIsFirst);

  void Start();
  void SetStores(const std::vector<core::DeclaredStore>& aStores);
  void SetWanted(const std::map<core::ModelId, core::WantedWeights>& aWanted);
  /// @param aHeard when the store said so, at the latest.
  void OnPage(const core::StoreId& aStore,
              const core::PartEventPage& aPage,
              core::Instant aHeard);
  void OnSilence(const core::StoreId& aStore);

private:
  struct Newest
  {
    std::uint64_t version = 0;
    core::Instant heard{};
  };

  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> FreeAt(core::DeclaredStore aStore);
  [[nodiscard]] bool IsReplaced(std::string_view aScope,
                                core::Instant aNow) const;

  boost::asio::io_context& m_context;
  StoreCalls& m_calls;
  std::function<bool()> m_is_first; ///< Whether this one goes before others.
  std::vector<core::DeclaredStore> m_stores;
  std::map<core::ModelId, Newest> m_newest;
  core::PartDirectory m_parts;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_STORE_KEEPER_HPP
