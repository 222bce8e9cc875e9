#ifndef JUJUBEHEAD_NODE_CONTROL_HUB_EXCHANGE_HPP
#define JUJUBEHEAD_NODE_CONTROL_HUB_EXCHANGE_HPP

#include <cstdint>     // for uint64_t
#include <functional>  // for function
#include <map>         // for map
#include <memory>      // for unique_ptr
#include <optional>    // for optional
#include <random>      // for minstd_rand, uniform_real_distribution
#include <set>         // for set
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/membership/hubs.hpp"        // for HubRole
#include "jujubehead/core/membership/store_paths.hpp" // for StorePaths
#include "jujubehead/core/routing/load_reports.hpp"   // for LoadReports
#include "jujubehead/net/http_client.hpp"             // for HttpClient
#include "jujubehead/net/http_server.hpp"             // for HttpExchange
#include "jujubehead/node/control/row_cache.hpp"      // for RowCache
#include "jujubehead/node/metrics.hpp"                // for Gauge

#include "hub_update_codec.hpp" // for HubUpdate
#include "poison_exchange.hpp"  // for PoisonExchange
#include "store_watch.hpp"      // for StoreWatch

namespace jujubehead::node {

/// Path of the request by which an instance polls a hub.
inline constexpr std::string_view kHubUpdatesPath = "/hub-news";
/// Path of the request by which a hub sends target loads to another hub.
inline constexpr std::string_view kHubLoadsPath = "/hub-loads";

/// @brief Callbacks of a HubExchange.
struct HubHooks
{
  /// All rows of the operators' store as of that time, or later, were read.
  std::function<void(core::Instant aAsOf)> on_synced;
  /// Takes target loads received from others and returns this instance's own
  /// through the callback: on the same thread, possibly later.
  std::function<void(
    std::vector<core::TargetLoadReport> aReported,
    std::function<void(std::vector<core::TargetLoadReport>)> aReply)>
    exchange_loads;
  /// Takes reports about targets received from others.
  std::function<void(std::vector<core::TargetLoadReport>)> apply_reports;
};

/// @brief Bytes that an instance exchanged with other instances since its
/// start, by kind.
struct HubCounters
{
  std::uint64_t polls_answered = 0;
  std::uint64_t sent = 0;       ///< All replies to polls.
  std::uint64_t rows_sent = 0;  ///< Of these, rows of the operators' store.
  std::uint64_t loads_sent = 0; ///< With polls, and to other readers.
  std::uint64_t received = 0;   ///< All replies to this instance's polls.
};

/// @brief Distributes shared state down the tree of core::HubPlan. Readers
/// watch the stores, relays poll a reader and followers a relay, a few times a
/// second, for the parts that the stores hold, changes in the operators' store,
/// and the loads of the busiest targets.
///
/// Data from a hub, a reader or relay, carries its age, so that an instance can
/// judge its freshness as well as if it had read the data itself.
///
/// Loads are reported up the tree, and each reader forwards them to the other
/// readers, because a target's load comes from all instances: those below one
/// hub are only a sample of the fleet, too small to detect a hot spot in time.
class HubExchange
{
public:
  /// @param aStores watched by a hub; a polling instance applies updates to it.
  /// @param aPoison whose reports go down the tree with the polls.
  HubExchange(boost::asio::io_context& aContext,
              core::HubRole& aRole,
              StoreWatch& aStores,
              RowCache& aRows,
              core::StorePaths& aPaths,
              PoisonExchange& aPoison,
              HubHooks aHooks);

  void Start();
  /// @brief Passes a report of a target's limit, or of a brittle service, on to
  /// all other instances.
  void ReportSignal(const core::TargetLoadReport& aReport);
  /// @brief Answers a kHubUpdatesPath request of another instance.
  boost::asio::awaitable<void> Handle(net::HttpExchange& aExchange);
  /// @brief Answers a kHubLoadsPath request of another reader.
  boost::asio::awaitable<void> HandleLoads(net::HttpExchange& aExchange);
  [[nodiscard]] const HubCounters& Counters() const { return m_counters; }
  /// @return metrics of this instance's place in the tree, and its counters.
  [[nodiscard]] std::vector<Gauge> Gauges() const;

private:
  /// Position in a hub's updates.
  struct Cursor
  {
    std::string start;
    core::PartCursor parts;
    std::uint64_t loads = 0;
    std::uint64_t poison_reports = 0;
    bool supports_loads = false; ///< Whether the hub supports kLoadsEncoding.
  };

  enum class PollResult : std::uint8_t
  {
    kComplete,
    kHasMoreRows,  ///< Rows are missing.
    kHasMoreParts, ///< All rows are there, parts are missing.
    kStale,        ///< The hub has no current rows.
  };

  [[nodiscard]] bool IsHub() const;
  boost::asio::awaitable<void> FollowHubs();
  void UpdateLevel();
  boost::asio::awaitable<void> ActAsReader();
  [[nodiscard]] core::Duration PauseAfter(PollResult aResult) const;
  boost::asio::awaitable<PollResult> PollHub(core::KnownInstance aHub,
                                             Cursor& aCursor);
  boost::asio::awaitable<std::vector<core::TargetLoadReport>>
  LoadsForUpstream();
  boost::asio::awaitable<void> SyncOwnLoads();
  /// @brief Starts sending the loads reported here since the last call to the
  /// other readers, except those with a request still outstanding.
  void ForwardLoads();
  /// @brief The same in a while, so that one message has several reports.
  boost::asio::awaitable<void> ForwardLoadsSoon();
  boost::asio::awaitable<void> SendLoads(core::KnownInstance aHub,
                                         std::string aLoads);
  /// @brief A load was reported by this instance or by one that polls it.
  void OnReported(const core::TargetLoadReport& aLoad);
  boost::asio::awaitable<std::vector<core::TargetLoadReport>> ExchangeLoads(
    std::vector<core::TargetLoadReport> aReported);
  [[nodiscard]] HubUpdate UpdateFor(const net::HttpRequest& aRequest);

  boost::asio::io_context& m_context;
  core::HubRole& m_role;
  StoreWatch& m_stores;
  RowCache& m_rows;
  core::StorePaths& m_paths;
  PoisonExchange& m_poison;
  HubHooks m_hooks;
  std::vector<core::TargetLoadReport>
    m_pending_loads; ///< Own, for the next poll.
  /// By hub id, so that polling a hub again resumes where it stopped.
  std::map<std::string, Cursor> m_cursors;
  std::minstd_rand m_random{ std::random_device{}() };
  std::uniform_real_distribution<> m_jitter{ 0, 1 };
  /// This instance's own part of core::kDirectReadSpread.
  core::Duration m_direct_read_delay{};
  core::LoadReports m_loads;         ///< Reported to this instance as a hub.
  std::uint64_t m_own_next_load = 0; ///< Of these, not yet applied here.
  core::LoadReports m_unsent_loads;  ///< Of these, not yet sent upwards.
  bool m_is_forwarding_soon = false;
  std::set<std::string> m_pending_hubs; ///< Ids of hubs with a pending request.
  std::string m_start;                  ///< Identifies this run of the process.
  std::unique_ptr<net::HttpClient> m_client;
  std::optional<core::HubLevel> m_level; ///< As last logged.
  std::string m_upstream;                ///< Id of the hub polled last.
  HubCounters m_counters;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_HUB_EXCHANGE_HPP
