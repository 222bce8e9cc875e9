#ifndef JUJUBEHEAD_NODE_CONTROL_HUB_EXCHANGE_HPP
#define JUJUBEHEAD_NODE_CONTROL_HUB_EXCHANGE_HPP

#include <cstdint>     // for uint64_t
#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <string>      // for string
#include <string_view> // for string_view

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/membership/hubs.hpp"        // for HubRole
#include "jujubehead/core/membership/store_paths.hpp" // for StorePaths
#include "jujubehead/net/http_client.hpp"             // for HttpClient
#include "jujubehead/net/http_server.hpp"             // for HttpExchange
#include "jujubehead/node/control/known_rows.hpp"     // for KnownRows

#include "hub_news_codec.hpp" // for HubNews
#include "store_watch.hpp"    // for StoreWatch

namespace jujubehead::node {

/// The call by which an instance asks a hub for its news.
inline constexpr std::string_view kHubNewsPath = "/hub-news";

/// @brief While there are many instances, few of them, the hubs, watch what all
/// need to know, and the others ask one of them a few times a second: which
/// parts the stores hold, and what changed in the operators' store.
///
/// What a hub tells carries its age, so that an instance knows no less well
/// than by itself how far it may go by it.
class HubExchange
{
public:
  /// @param aStores what a hub watches; an instance that asks gives it the
  /// news.
  /// @param aOnHeard all that the operators' store had said at that time, at
  /// the latest, was read.
  HubExchange(boost::asio::io_context& aContext,
              const core::HubRole& aRole,
              StoreWatch& aStores,
              KnownRows& aRows,
              core::StorePaths& aPaths,
              std::function<void(core::Instant aTold)> aOnHeard);

  void Start();
  /// @brief Answers another instance's kHubNewsPath.
  boost::asio::awaitable<void> Handle(net::HttpExchange& aExchange);

private:
  /// Where a hub's news go on.
  struct Cursor
  {
    std::string hub; ///< Its id.
    std::string start;
    std::uint64_t next = 0;
  };

  boost::asio::awaitable<void> FollowHubs();
  boost::asio::awaitable<void> AskHub(core::KnownInstance aHub,
                                      Cursor& aCursor);
  [[nodiscard]] HubNews NewsFor(const net::HttpRequest& aRequest) const;

  boost::asio::io_context& m_context;
  const core::HubRole& m_role;
  StoreWatch& m_stores;
  KnownRows& m_rows;
  core::StorePaths& m_paths;
  std::function<void(core::Instant)> m_on_heard;
  std::string m_start; ///< Names this start of this instance.
  std::unique_ptr<net::HttpClient> m_client;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_HUB_EXCHANGE_HPP
