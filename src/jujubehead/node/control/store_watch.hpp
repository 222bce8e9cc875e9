#ifndef JUJUBEHEAD_NODE_CONTROL_STORE_WATCH_HPP
#define JUJUBEHEAD_NODE_CONTROL_STORE_WATCH_HPP

#include <cstdint>    // for uint8_t, uint64_t
#include <functional> // for function
#include <map>        // for map
#include <optional>   // for optional
#include <string>     // for string
#include <vector>     // for vector

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/context/part_log.hpp"            // for PartLog
#include "jujubehead/core/context/watch_pace.hpp"          // for Watchers
#include "jujubehead/core/membership/hubs.hpp"             // for HubRole
#include "jujubehead/core/routing/configuration.hpp"       // for DeclaredStore
#include "jujubehead/core/weights/superseded_versions.hpp" // for Superseded...
#include "jujubehead/node/control/platform.hpp"            // for StoreCalls

#include "../forward/target_clock.hpp" // for TargetClock

namespace jujubehead::node {

/// @brief What is done with what stores tell.
struct StoreWatchHooks
{
  /// @param aHeard when the store said so, at the latest.
  std::function<void(const core::StoreId& aStore,
                     core::PartEventPage aPage,
                     core::Instant aHeard)>
    on_page;
  std::function<void(const core::StoreId& aStore)> on_silence;
};

/// @brief Learns which parts of prompts the stores hold.
///
/// A store holds few calls for its events at once. While there are few
/// instances, each asks the stores itself; else the hubs do, and the others ask
/// a hub; see HubExchange.
class StoreWatch
{
public:
  /// @param aRole says whether this instance watches.
  StoreWatch(boost::asio::io_context& aContext,
             StoreCalls& aCalls,
             const core::HubRole& aRole,
             StoreWatchHooks aHooks);

  void SetStores(const std::vector<core::DeclaredStore>& aStores);
  /// @return what this instance, being a hub, knows of the stores.
  [[nodiscard]] const core::PartLog& Log() const { return m_log; }
  [[nodiscard]] std::optional<std::int64_t> ClockMs(core::Instant aNow) const
  {
    return m_clock.At(aNow);
  }
  /// @brief Takes what a hub told.
  /// @param aTold when it did, at the latest.
  void TakeNews(const core::PartNews& aNews,
                std::optional<std::int64_t> aClockMs,
                core::Instant aTold);
  /// @brief Forgets the blocks of scopes that nobody reads any more.
  void Forget(core::SupersededScopes aScopes);

private:
  /// What came of asking a store for its events.
  enum class StoreWord : std::uint8_t
  {
    kHeard,
    kBusy, ///< It had no place for the call.
    kSilent,
  };

  /// Where one store's events go on.
  struct StoreCursor
  {
    std::uint64_t since = 0;
    std::uint64_t epoch = 0;
    StoreWord last_word = StoreWord::kHeard;
  };

  static std::string_view NameOf(StoreWord aWord);
  boost::asio::awaitable<StoreWord> AskStore(const core::DeclaredStore& aStore,
                                             core::Watchers aWatchers,
                                             StoreCursor& aCursor);
  boost::asio::awaitable<void> FollowStore(core::DeclaredStore aStore);

  boost::asio::io_context& m_context;
  StoreCalls& m_calls;
  const core::HubRole& m_role;
  StoreWatchHooks m_hooks;
  std::map<core::StoreId, std::string> m_followed; ///< With their addresses.
  core::PartLog m_log;
  TargetClock m_clock;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_STORE_WATCH_HPP
