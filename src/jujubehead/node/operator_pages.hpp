#ifndef JUJUBEHEAD_NODE_OPERATOR_PAGES_HPP
#define JUJUBEHEAD_NODE_OPERATOR_PAGES_HPP

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/net/http_server.hpp" // for HttpExchange

namespace jujubehead::node {

struct TrafficThread;

/// @brief `GET /healthz`, `/readyz`, `/status` and `/metrics`. The last two
/// ask for the operator key as a bearer key, when one is set.
/// @return whether the path is one of these; it has then been answered.
boost::asio::awaitable<bool>
ServeOperatorPage(TrafficThread& aThread, net::HttpExchange& aExchange);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_OPERATOR_PAGES_HPP
