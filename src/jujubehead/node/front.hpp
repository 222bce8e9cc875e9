#ifndef JUJUBEHEAD_NODE_FRONT_HPP
#define JUJUBEHEAD_NODE_FRONT_HPP

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/net/http_server.hpp" // for HttpExchange
#include "jujubehead/node/caller.hpp"     // for Caller

namespace jujubehead::node {

struct TrafficThread;

/// @brief Takes each request of one traffic thread to what serves its path.
class Front
{
public:
  /// @param aThread outlives this.
  explicit Front(TrafficThread& aThread)
    : m_thread(aThread)
  {
  }

  boost::asio::awaitable<void> Handle(net::HttpExchange& aExchange);

private:
  boost::asio::awaitable<void> ServeApi(net::HttpExchange& aExchange);
  boost::asio::awaitable<void> ServeCaller(net::HttpExchange& aExchange,
                                           const Caller& aCaller);
  boost::asio::awaitable<void> ServeOthers(net::HttpExchange& aExchange);

  TrafficThread& m_thread;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FRONT_HPP
