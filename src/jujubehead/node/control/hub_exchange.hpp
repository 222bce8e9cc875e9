#ifndef JUJUBEHEAD_NODE_CONTROL_HUB_EXCHANGE_HPP
#define JUJUBEHEAD_NODE_CONTROL_HUB_EXCHANGE_HPP

#include <cstdint>     // for uint64_t
#include <functional>  // for function
#include <map>         // for map
#include <memory>      // for unique_ptr
#include <random>      // for minstd_rand, uniform_real_distribution
#include <set>         // for set
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
/// The call by which a hub passes on the loads of targets to another hub.
inline constexpr std::string_view kHubLoadsPath = "/hub-loads";

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
///
/// Each hub passes on the loads that were reported to it to all other hubs:
/// a target is busy by the requests of all instances, and those that ask one
/// hub are too few to notice in time (hot spots of a fleet whose instances each
/// see a sample of it).
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
  /// @brief Answers another hub's kHubLoadsPath.
  boost::asio::awaitable<void> HandleLoads(net::HttpExchange& aExchange);

private:
  /// Where a hub's news go on.
  struct Cursor
  {
    std::string start;
    core::PartCursor parts;
    bool takes_loads = false; ///< Whether the hub knows the form of loads.
  };

  boost::asio::awaitable<void> FollowHubs();
  /// @return whether the hub has more to tell at once.
  boost::asio::awaitable<bool> AskHub(core::KnownInstance aHub,
                                      Cursor& aCursor);
  boost::asio::awaitable<void> ShareOwnLoads();
  /// @brief Begins to pass on what was reported here since the last time to
  /// the other hubs, but those that have not answered the last time yet.
  void PassOnLoads();
  boost::asio::awaitable<void> SendLoads(core::KnownInstance aHub,
                                         std::string aLoads);
  /// @brief A load was reported by this instance or one that asks it.
  void OnReported(const core::HeardLoad& aLoad);
  boost::asio::awaitable<std::vector<core::HeardLoad>> ExchangeLoads(
    std::vector<core::HeardLoad> aTold);
  [[nodiscard]] HubNews NewsFor(const net::HttpRequest& aRequest);

  boost::asio::io_context& m_context;
  const core::HubRole& m_role;
  StoreWatch& m_stores;
  KnownRows& m_rows;
  core::StorePaths& m_paths;
  HubHooks m_hooks;
  std::vector<core::HeardLoad> m_untold_loads; ///< Own, for the next question.
  /// By hub, so that one that is asked again goes on where it was left.
  std::map<std::string, Cursor> m_cursors;
  std::minstd_rand m_random{ std::random_device{}() };
  std::uniform_real_distribution<> m_jitter{ 0, 1 };
  core::LoadNews m_loads;    ///< What this instance, being a hub, was told.
  core::LoadNews m_unshared; ///< Of these, what other hubs were not told.
  std::set<std::string> m_sending; ///< Hubs that have yet to answer, by id.
  std::string m_start;             ///< Names this start of this instance.
  std::unique_ptr<net::HttpClient> m_client;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_HUB_EXCHANGE_HPP
