#ifndef JUJUBEHEAD_NODE_CONTROL_WEIGHTS_GIVER_HPP
#define JUJUBEHEAD_NODE_CONTROL_WEIGHTS_GIVER_HPP

#include <map>    // for map
#include <vector> // for vector

#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/routing/target_book.hpp"   // for RegisteredTarget
#include "jujubehead/node/control/platform.hpp"      // for SharedRows
#include "jujubehead/node/forward/entry_options.hpp" // for EntryOptions

#include "../forward/forwarder.hpp" // for Forwarder, WantedWeights

namespace jujubehead::node {

/// @brief Brings new weights to the targets, while this instance holds the
/// lease for giving orders, and tells the traffic thread which targets are
/// loading, by whichever instance.
class WeightsGiver
{
public:
  WeightsGiver(boost::asio::io_context& aContext,
               const EntryOptions& aOptions,
               SharedRows& aShared,
               TargetOrders& aOrders,
               Forwarder& aForwarder);

  void Start() {}
  void SetWanted(const std::map<core::ModelId, WantedWeights>& aWanted)
  {
    m_wanted = aWanted;
  }
  void SetTargets(const std::vector<core::RegisteredTarget>& aTargets)
  {
    m_targets = aTargets;
  }
  void OnSharedNews(const SharedNews& /*aNews*/) {}

private:
  boost::asio::io_context& m_context;
  const EntryOptions& m_options;
  SharedRows& m_shared;
  TargetOrders& m_orders;
  Forwarder& m_forwarder;
  std::map<core::ModelId, WantedWeights> m_wanted;
  std::vector<core::RegisteredTarget> m_targets;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_WEIGHTS_GIVER_HPP
