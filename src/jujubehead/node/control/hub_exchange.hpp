#ifndef JUJUBEHEAD_NODE_CONTROL_HUB_EXCHANGE_HPP
#define JUJUBEHEAD_NODE_CONTROL_HUB_EXCHANGE_HPP

#include <cstdint>     // for uint64_t
#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/membership/hubs.hpp"        // for HubRole
#include "jujubehead/core/membership/store_paths.hpp" // for StorePaths
#include "jujubehead/core/routing/load_news.hpp"      // for LoadNews
#include "jujubehead/net/http_client.hpp"             // for HttpClient
#include "jujubehead/net/http_server.hpp"             // for HttpExchange
#include "jujubehead/node/control/known_rows.hpp"     // for KnownRows

#include "hub_news_codec.hpp" // for HubNews
#include "store_watch.hpp"    // for StoreWatch

namespace jujubehead::node {

/// The call by which an instance asks a hub for its news.
inline constexpr std::string_view kHubNewsPath = "/hub-news";

/// @brief What an exchange does with what it learns.
struct HubHooks
{
  /// All that the operators' store had said at that time, at the latest, was
  /// read.
  std::function<void(core::Instant aTold)> on_heard;
  /// Takes what others heard of targets' loads, and gives what this instance
  /// heard, on the same thread, if later.
  std::function<void(std::vector<core::HeardLoad> aTold,
                     std::function<void(std::vector<core::HeardLoad>)> aGive)>
    exchange_loads;
};

/// @brief While there are many instances, few of them, the hubs, watch what all
/// need to know, and the others ask one of them a few times a second: which
/// parts the stores hold, what changed in the operators' store, and the loads
/// of the busiest targets.
///
/// What a hub tells carries its age, so that an instance knows no less well
/// than by itself how far it may go by it.
class HubExchange
{
public:
  /// @param aStores what a hub watches; an instance that asks gives it the
  /// news.
  HubExchange(boost::asio::io_context& aContext,
              const core::HubRole& aRole,
              StoreWatch& aStores,
              KnownRows& aRows,
              core::StorePaths& aPaths,
              HubHooks aHooks);

  void Start();
  /// @brief Answers another instance's kHubNewsPath.
  boost::asio::awaitable<void> Handle(net::HttpExchange& aExchange);

private:
  /// Where a hub's news go on.
  struct Cursor
  {
    std::string hub; ///< Its id.
    std::string start;
    core::PartCursor parts;
  };

  boost::asio::awaitable<void> FollowHubs();
  /// @return whether the hub has more to tell at once.
  boost::asio::awaitable<bool> AskHub(core::KnownInstance aHub,
                                      Cursor& aCursor);
  boost::asio::awaitable<void> ShareOwnLoads();
  boost::asio::awaitable<std::vector<core::HeardLoad>> ExchangeLoads(
    std::vector<core::HeardLoad> aTold);
  [[nodiscard]] HubNews NewsFor(const net::HttpRequest& aRequest);

  boost::asio::io_context& m_context;
  const core::HubRole& m_role;
  StoreWatch& m_stores;
  KnownRows& m_rows;
  core::StorePaths& m_paths;
  HubHooks m_hooks;
  std::vector<core::HeardLoad> m_told_loads; ///< By a hub, not yet passed on.
  core::LoadNews m_loads; ///< What this instance, being a hub, was told.
  std::string m_start;    ///< Names this start of this instance.
  std::unique_ptr<net::HttpClient> m_client;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_HUB_EXCHANGE_HPP
