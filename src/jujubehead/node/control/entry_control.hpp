#ifndef JUJUBEHEAD_NODE_CONTROL_ENTRY_CONTROL_HPP
#define JUJUBEHEAD_NODE_CONTROL_ENTRY_CONTROL_HPP

#include <algorithm> // for min
#include <cstdint>   // for uint64_t
#include <memory>    // for unique_ptr
#include <vector>    // for vector

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/membership/instance_book.hpp" // for InstanceBook
#include "jujubehead/core/membership/store_paths.hpp"   // for StorePaths
#include "jujubehead/core/routing/target_book.hpp"      // for TargetBook
#include "jujubehead/node/control/platform.hpp"         // for Platform
#include "jujubehead/node/forward/entry_options.hpp"    // for EntryOptions

#include "../forward/forwarder.hpp" // for Forwarder
#include "hub_exchange.hpp"         // for HubExchange
#include "store_keeper.hpp"         // for StoreKeeper
#include "store_watch.hpp"          // for StoreWatch
#include "weights_deadlines.hpp"    // for WeightsDeadlines
#include "weights_giver.hpp"        // for WeightsGiver

namespace jujubehead::node {

/// @brief What the control thread of an entry instance keeps: it follows the
/// operator, the targets, the stores and the other instances, and hands what it
/// learns to the traffic thread.
class EntryControl
{
public:
  EntryControl(boost::asio::io_context& aContext,
               const EntryOptions& aOptions,
               Platform aPlatform,
               core::StorePaths& aPaths,
               Forwarder& aForwarder);

  /// @brief Begins to follow; on the context from then on.
  void Start();
  /// @brief This instance is about to end.
  void BeginStop() { m_weights.BeginStop(); }
  /// @return whether enough is known to serve callers.
  [[nodiscard]] bool IsReady() const;
  /// @return the version of the declarations in force; 0 before the first.
  [[nodiscard]] std::uint64_t ConfigurationVersion() const;
  /// @return what was read of the operators' store.
  [[nodiscard]] KnownRows& Known() const { return *m_platform.known; }
  /// @return what answers instances that ask for news.
  [[nodiscard]] HubExchange& Hubs() { return m_hubs; }
  [[nodiscard]] std::size_t Targets() const { return m_targets_in_all; }
  /// @return the metrics of the weights that are wanted.
  [[nodiscard]] std::vector<Gauge> WeightsGauges() const
  {
    return m_deadlines.Gauges();
  }
  /// @return the version up to which all rows of the platform were read.
  [[nodiscard]] std::uint64_t ReadUpTo() const
  {
    return std::min(m_operator_cursor, m_registry_cursor);
  }

private:
  void OnOperatorNews(const OperatorNews& aNews, bool aIsAll);
  void OnRegistryNews(const RegistryNews& aNews, bool aIsAll);
  void OnSharedNews(const SharedNews& aNews, bool aIsAll);
  void SetInstances();
  /// @return whether this instance is to follow the operators' store, or a hub
  /// tells what it says.
  [[nodiscard]] bool IsSettled() const;
  boost::asio::awaitable<void> KeepInstanceRows();
  void PublishTargets();
  StoreWatchHooks HooksOfStores();
  StoreKeeperHooks HooksOfKeeper();
  HubHooks HooksOfHubs();
  WeightsDeadlinesHooks HooksOfDeadlines();
  boost::asio::awaitable<void> TickRegistry();

  boost::asio::io_context& m_context;
  const EntryOptions& m_options;
  Platform m_platform;
  core::StorePaths& m_paths;
  Forwarder& m_forwarder;
  core::InstanceBook m_instances;
  core::HubRole m_role;
  std::shared_ptr<const core::Configuration> m_configuration;
  core::TargetBook m_book;
  bool m_registry_read = false;
  std::uint64_t m_operator_cursor = 0;
  std::uint64_t m_registry_cursor = 0;
  std::size_t m_targets_in_all = 0;
  WeightsDeadlines m_deadlines;
  WeightsGiver m_weights;
  StoreKeeper m_keeper;
  StoreWatch m_stores;
  HubExchange m_hubs;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_ENTRY_CONTROL_HPP
