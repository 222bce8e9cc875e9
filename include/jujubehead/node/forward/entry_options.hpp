#ifndef JUJUBEHEAD_NODE_FORWARD_ENTRY_OPTIONS_HPP
#define JUJUBEHEAD_NODE_FORWARD_ENTRY_OPTIONS_HPP

#include <cstdint> // for uint16_t
#include <string>  // for string
#include <vector>  // for vector

#include "jujubehead/core/ids.hpp"                   // for InstanceId
#include "jujubehead/core/routing/repeat_budget.hpp" // for RepeatBudgetOptions
#include "jujubehead/core/routing/target_book.hpp"   // for TargetBookOptions
#include "jujubehead/core/runtime_clock.hpp"         // for Duration

namespace jujubehead::node {

/// @brief Settings of an instance that forwards callers' requests to targets.
struct EntryOptions
{
  core::InstanceId instance_id;
  core::DataCentreId data_centre;
  std::string caller_address;  ///< `ip:port` for callers.
  std::string ready_address;   ///< `ip:port` for the balancer's question.
  std::string metrics_address; ///< `ip:port`; empty: none.
  std::string table_service;   ///< `ip:port` of the operators' store of rows.
  /// `ip:port` where other instances reach the store through this one; empty:
  /// nowhere, and this one uses no other.
  std::string relay_address;
  /// Where to ask other instances before their rows were read, `ip:port` each.
  std::vector<std::string> relay_seeds;
  /// What this machine can bear against those of other instances; 0: not told.
  double capacity = 0;
  core::RepeatBudgetOptions repeats;
  core::TargetBookOptions registry;
  /// Longest time between SIGTERM and the end.
  core::Duration stop_grace = std::chrono::seconds(8);
  /// Orders of two instances to targets keep at least this distance.
  core::Duration lease_time = std::chrono::seconds(3);
  /// Time after which no request may begin on replaced weights, since newer
  /// ones were named or since the operators' store came back.
  core::Duration weights_time = std::chrono::seconds(10);
  /// The same over all times in which the store was heard; 0: 1.4 times it.
  core::Duration weights_time_in_all{};
  std::string log_config; ///< log4cxx property file; empty: standard output.
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_ENTRY_OPTIONS_HPP
