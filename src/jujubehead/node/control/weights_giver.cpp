#include "weights_giver.hpp"

namespace jujubehead::node {

WeightsGiver::WeightsGiver(boost::asio::io_context& aContext,
                           const EntryOptions& aOptions,
                           SharedRows& aShared,
                           TargetOrders& aOrders,
                           Forwarder& aForwarder)
  : m_context(aContext)
  , m_options(aOptions)
  , m_shared(aShared)
  , m_orders(aOrders)
  , m_forwarder(aForwarder)
{
}

} // namespace jujubehead::node
