#ifndef JUJUBEHEAD_NODE_COMPLETION_RUN_HPP
#define JUJUBEHEAD_NODE_COMPLETION_RUN_HPP

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/net/http_server.hpp" // for HttpExchange
#include "jujubehead/node/caller.hpp"     // for Caller

namespace jujubehead::node {

struct TrafficThread;

/// @brief Serves `POST /v1/completions` or `/v1/chat/completions`: finds a
/// target, passes the answer on as it comes, and goes on at another target
/// when one fails. Every outcome is answered here.
boost::asio::awaitable<void>
ServeCompletion(TrafficThread& aThread,
                net::HttpExchange& aExchange,
                const Caller& aCaller);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_COMPLETION_RUN_HPP
