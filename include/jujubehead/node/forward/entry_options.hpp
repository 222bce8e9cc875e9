#ifndef JUJUBEHEAD_NODE_FORWARD_ENTRY_OPTIONS_HPP
#define JUJUBEHEAD_NODE_FORWARD_ENTRY_OPTIONS_HPP

#include <cstdint> // for uint16_t
#include <string>  // for string
#include <vector>  // for vector

#include "jujubehead/core/ids.hpp"                     // for InstanceId
#include "jujubehead/core/overload/capacity.hpp"       // for MachineLimits
#include "jujubehead/core/routing/homes.hpp"           // for DataCentreRegions
#include "jujubehead/core/routing/poison_requests.hpp" // for PoisonRequestsOptions
#include "jujubehead/core/routing/target_directory.hpp" // for TargetDirectoryOptions
#include "jujubehead/core/routing/windowed_retry_budget.hpp" // for WindowedRetryBudgetOptions
#include "jujubehead/core/runtime_clock.hpp"                 // for Duration

namespace jujubehead::node {

/// Upper bound of the machine's memory, in bytes, where no setting gives it.
inline constexpr std::size_t kDefaultEntryMemory = 256UL * 1024 * 1024;
/// The usual limit of a process.
inline constexpr std::size_t kDefaultDescriptors = 1024;

/// @brief Settings of an instance that forwards callers' requests to targets.
struct EntryOptions
{
  core::InstanceId instance_id;
  core::DataCentreId data_centre;
  core::DataCentreRegions regions; ///< Of all data centres; empty: unknown.
  std::string caller_address;      ///< `ip:port` for callers.
  std::string ready_address;       ///< `ip:port` for health checks.
  std::string metrics_address;     ///< `ip:port`; empty: none.
  std::string table_service;       ///< `ip:port` of the operators' table store.
  /// `ip:port` where other instances reach the store through this one; empty:
  /// no relay, and this instance uses no other's.
  std::string relay_address;
  /// `ip:port` of other instances' relays, used until their rows have been
  /// read.
  std::vector<std::string> relay_seeds;
  /// `ip:port` where this instance opens connections to targets for other
  /// instances that have no path to them; empty: it does not.
  std::string tunnel_address;
  /// Capacity of this machine relative to other instances'; 0: not specified.
  double capacity = 0;
  core::WindowedRetryBudgetOptions repeats;
  /// Requests sent to a second target when the first is slow, as a share of
  /// those of a service; 0: none.
  double hedge_share = 0;
  /// What the machine grants to this instance.
  core::MachineLimits machine{ kDefaultEntryMemory, kDefaultDescriptors };
  core::TargetDirectoryOptions registry;
  core::PoisonRequestsOptions poison;
  /// Longest time between SIGTERM and exit.
  core::Duration stop_grace = std::chrono::seconds(8);
  /// Least time between orders of different instances to targets.
  core::Duration lease_time = std::chrono::seconds(3);
  /// Time after which no request may start on replaced weights, counted from
  /// the announcement of newer ones or the return of the operators' store.
  core::Duration weights_time = std::chrono::seconds(10);
  /// The same, over all periods with contact to the store; 0: 1.4 times that.
  core::Duration weights_time_in_all{};
  std::string log_config; ///< log4cxx property file; empty: standard output.
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_ENTRY_OPTIONS_HPP
