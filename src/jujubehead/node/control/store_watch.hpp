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
#include "jujubehead/core/context/watch_pacing.hpp"        // for Watchers
#include "jujubehead/core/membership/hubs.hpp"             // for HubRole
#include "jujubehead/core/routing/configuration.hpp"       // for DeclaredStore
#include "jujubehead/core/weights/superseded_versions.hpp" // for Superseded...
#include "jujubehead/node/control/platform.hpp"            // for StoreCalls

#include "../forward/target_clock.hpp" // for TargetClock

namespace jujubehead::node {

/// @brief Callbacks of a StoreWatch.
struct StoreWatchHooks
{
  /// Takes the pages that came together, so that a hub's update, which has one
  /// of each store, wakes up the traffic thread once.
  std::function<void(std::vector<core::StorePage> aPages)> on_pages;
  std::function<void(const core::StoreId& aStore)> on_failure;
};

/// @brief Tracks which parts of prompts the stores hold.
///
/// A store accepts few concurrent long polls for its events. In a small fleet
/// each instance polls the stores itself; in a larger one the hubs do, and the
/// others poll a hub; see HubExchange.
class StoreWatch
{
public:
  /// @param aRole decides whether this instance polls the stores.
  StoreWatch(boost::asio::io_context& aContext,
             StoreCalls& aCalls,
             const core::HubRole& aRole,
             StoreWatchHooks aHooks);

  void SetStores(const std::vector<core::DeclaredStore>& aStores);
  /// @return the changes at the stores, as a hub sends them to others.
  [[nodiscard]] const core::PartLog& Log() const { return m_log; }
  [[nodiscard]] std::optional<std::int64_t> ClockMs(core::Instant aNow) const
  {
    return m_clock.At(aNow);
  }
  /// @brief Applies an update from a hub; relays log it for their followers.
  /// @param aSentAt assumed time at which the hub sent it.
  void ApplyUpdate(const core::PartLogPage& aUpdate,
                   std::optional<std::int64_t> aClockMs,
                   core::Instant aSentAt);
  /// @brief Drops the blocks of scopes that are no longer read.
  void Forget(core::SupersededScopes aScopes);

private:
  /// Result of polling a store for events.
  enum class PollOutcome : std::uint8_t
  {
    kAnswered,
    kBusy, ///< It accepts no more polls now.
    kSilent,
  };

  /// Position in one store's events.
  struct StoreCursor
  {
    std::uint64_t since = 0;
    std::uint64_t epoch = 0;
    PollOutcome last_outcome = PollOutcome::kAnswered;
  };

  static std::string_view NameOf(PollOutcome aOutcome);
  boost::asio::awaitable<PollOutcome> PollStore(
    const core::DeclaredStore& aStore,
    core::Watchers aWatchers,
    StoreCursor& aCursor);
  boost::asio::awaitable<void> FollowStore(core::DeclaredStore aStore);

  boost::asio::io_context& m_context;
  StoreCalls& m_calls;
  const core::HubRole& m_role;
  StoreWatchHooks m_hooks;
  std::map<core::StoreId, std::string> m_followed; ///< Store to address.
  core::PartLog m_log;
  bool m_is_snapshot_open = false; ///< More pages of a hub's snapshot follow.
  TargetClock m_clock;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_STORE_WATCH_HPP
