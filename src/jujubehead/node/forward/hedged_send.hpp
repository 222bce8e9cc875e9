#ifndef JUJUBEHEAD_NODE_FORWARD_HEDGED_SEND_HPP
#define JUJUBEHEAD_NODE_FORWARD_HEDGED_SEND_HPP

#include <memory> // for shared_ptr

#include <boost/asio/any_io_executor.hpp> // for any_io_executor

#include "jujubehead/net/timer.hpp" // for Timer

#include "target_exchange.hpp" // for TargetExchange
#include "target_message.hpp"  // for TargetCall
#include "transfer_plan.hpp"   // for PlannedTokens

namespace jujubehead::node {

/// @brief The second send of a request whose first target has not responded.
struct HedgedSend
{
  HedgedSend(const boost::asio::any_io_executor& aExecutor,
             const HeaderCodec& aHeaderCodec,
             TargetConnector& aConnector,
             std::shared_ptr<core::MemoryBudget> aMemory,
             std::shared_ptr<FleetTarget> aTarget,
             core::Homes aHomes,
             ExchangeOptions aOptions)
    : target(aTarget)
    , exchange(aExecutor,
               aHeaderCodec,
               aConnector,
               std::move(aMemory),
               std::move(aTarget),
               std::move(aHomes),
               std::move(aOptions))
    , over(aExecutor, core::Instant::max())
  {
  }

  std::shared_ptr<FleetTarget> target;
  TargetExchange exchange;
  PlannedTokens planned;
  std::optional<std::uint64_t> weight_version; ///< Expected of the target.
  double load_at_send = 0;                     ///< Requests at the target.
  core::Instant sent_at{};
  bool is_sent = false;
  ReadResult head = ReadResult::kBroken; ///< Of the reply's head.
  /// The first target had not responded, and this one's reply is relayed.
  bool has_won = false;
  bool is_settled = false; ///< The first target's response is used.
  bool is_over = false;    ///< Nothing more comes, unless it has won.
  net::Timer over;         ///< Cancelled when it is.
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_HEDGED_SEND_HPP
