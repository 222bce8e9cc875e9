#ifndef JUJUBEHEAD_NODE_CONTROL_STORE_RELAY_HPP
#define JUJUBEHEAD_NODE_CONTROL_STORE_RELAY_HPP

#include <memory> // for unique_ptr

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/membership/store_paths.hpp" // for StorePaths
#include "jujubehead/core/runtime_clock.hpp"          // for Duration
#include "jujubehead/net/http_client.hpp"             // for HttpClient
#include "jujubehead/net/http_server.hpp"             // for HttpExchange
#include "jujubehead/node/control/row_cache.hpp"      // for RowCache

namespace jujubehead::node {

/// Header with the time that the sender waits for the answer, in whole
/// milliseconds.
inline constexpr const char* kRelayTimeoutHeader = "Relay-Time";

/// @brief Forwards requests of other instances unchanged to the operators'
/// store, while this instance reaches the store directly.
///
/// Otherwise reads are answered from this instance's cached rows, and
/// everything else is refused at once: requests never take a second hop.
class StoreRelay
{
public:
  StoreRelay(boost::asio::io_context& aContext,
             const core::StorePaths& aPaths,
             const RowCache& aKnown);

  boost::asio::awaitable<void> Handle(net::HttpExchange& aExchange);

private:
  boost::asio::awaitable<net::HttpResponse> ForwardToStore(
    const net::HttpRequest& aRequest);

  std::unique_ptr<net::HttpClient> m_client;
  const core::StorePaths& m_paths;
  const RowCache& m_known;
  bool m_was_refused = false; ///< The last request was refused; for the log.
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_STORE_RELAY_HPP
