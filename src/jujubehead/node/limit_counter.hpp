#ifndef JUJUBEHEAD_NODE_LIMIT_COUNTER_HPP
#define JUJUBEHEAD_NODE_LIMIT_COUNTER_HPP

#include "jujubehead/net/http_server.hpp" // for ServerLimit
#include "jujubehead/node/metrics.hpp"    // for Counter

namespace jujubehead::node {

/// @return what counts the requests or connections that a limit concerns.
constexpr Counter
CounterOf(net::ServerLimit aLimit)
{
  switch (aLimit) {
    case net::ServerLimit::kMemory:
      return Counter::kMemoryRefusals;
    case net::ServerLimit::kIdleConnection:
      return Counter::kConnectionsClosed;
    case net::ServerLimit::kConnectionCount:
      break;
  }
  return Counter::kConnectionsRefused;
}

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_LIMIT_COUNTER_HPP
