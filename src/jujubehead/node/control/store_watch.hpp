#ifndef JUJUBEHEAD_NODE_CONTROL_STORE_WATCH_HPP
#define JUJUBEHEAD_NODE_CONTROL_STORE_WATCH_HPP

#include <cstdint>    // for uint8_t, uint64_t
#include <functional> // for function
#include <map>        // for map
#include <memory>     // for unique_ptr
#include <string>     // for string
#include <vector>     // for vector

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/context/part_log.hpp"         // for PartLog
#include "jujubehead/core/context/watch_pace.hpp"       // for Watchers
#include "jujubehead/core/membership/instance_book.hpp" // for InstanceBook
#include "jujubehead/core/routing/configuration.hpp"    // for DeclaredStore
#include "jujubehead/net/http_client.hpp"               // for HttpClient
#include "jujubehead/net/http_server.hpp"               // for HttpExchange
#include "jujubehead/node/control/platform.hpp"         // for StoreCalls

#include "../forward/target_clock.hpp" // for TargetClock

namespace jujubehead::node {

/// The call by which an instance asks a hub for what it knows of the stores.
inline constexpr std::string_view kPartNewsPath = "/part-news";

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
/// a hub a few times a second.
class StoreWatch
{
public:
  /// @param aInstances says who the hubs are.
  StoreWatch(boost::asio::io_context& aContext,
             StoreCalls& aCalls,
             const core::InstanceBook& aInstances,
             std::string aSelf,
             StoreWatchHooks aHooks);

  void Start();
  /// @brief The instances that are known changed.
  void OnInstances();
  void SetStores(const std::vector<core::DeclaredStore>& aStores);
  /// @brief Answers another instance's kPartNewsPath.
  boost::asio::awaitable<void> Handle(net::HttpExchange& aExchange);

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

  /// Where a hub's news go on.
  struct HubCursor
  {
    std::string hub; ///< Its id.
    std::string start;
    std::uint64_t next = 0;
  };

  static std::string_view NameOf(StoreWord aWord);
  boost::asio::awaitable<StoreWord> AskStore(const core::DeclaredStore& aStore,
                                             core::Watchers aWatchers,
                                             StoreCursor& aCursor);
  boost::asio::awaitable<void> FollowStore(core::DeclaredStore aStore);
  boost::asio::awaitable<void> FollowHubs();
  boost::asio::awaitable<void> AskHub(core::KnownInstance aHub,
                                      HubCursor& aCursor);
  void Take(const core::PartNews& aNews,
            std::optional<std::int64_t> aClockMs,
            core::Instant aTold);
  void TakeSilence();

  boost::asio::io_context& m_context;
  StoreCalls& m_calls;
  const core::InstanceBook& m_instances;
  std::string m_self;
  std::vector<core::KnownInstance> m_hubs;
  bool m_is_hub = true;
  std::string m_start; ///< Of this instance's log.
  StoreWatchHooks m_hooks;
  std::unique_ptr<net::HttpClient> m_client;
  std::map<core::StoreId, std::string> m_followed; ///< With their addresses.
  core::PartLog m_log;
  TargetClock m_clock;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_STORE_WATCH_HPP
