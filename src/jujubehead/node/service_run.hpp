#ifndef JUJUBEHEAD_NODE_SERVICE_RUN_HPP
#define JUJUBEHEAD_NODE_SERVICE_RUN_HPP

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/net/http_server.hpp" // for HttpExchange
#include "jujubehead/node/caller.hpp"     // for Caller

namespace jujubehead::node {

struct TrafficThread;

/// @brief Serves `/services/{name}/...`: passes the call to one target of the
/// plain service `name`, under the limits of its rows in the table.
///
/// Only calls whose method is idempotent by HTTP are tried again once they may
/// have reached a target.
boost::asio::awaitable<void>
ServeService(TrafficThread& aThread,
             net::HttpExchange& aExchange,
             const Caller& aCaller);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_SERVICE_RUN_HPP
