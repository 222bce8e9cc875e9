#ifndef JUJUBEHEAD_NODE_CONTROL_STORE_RELAY_HPP
#define JUJUBEHEAD_NODE_CONTROL_STORE_RELAY_HPP

#include <memory> // for unique_ptr

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/membership/store_paths.hpp" // for StorePaths
#include "jujubehead/core/runtime_clock.hpp"          // for Duration
#include "jujubehead/net/http_client.hpp"             // for HttpClient
#include "jujubehead/net/http_server.hpp"             // for HttpExchange
#include "jujubehead/node/control/known_rows.hpp"     // for KnownRows

namespace jujubehead::node {

/// The line in which an instance tells another how long it waits for an answer,
/// in whole milliseconds.
inline constexpr const char* kRelayTimeLine = "Relay-Time";

/// @brief Passes calls of other instances on to the operators' store as they
/// are, while this instance reaches the store itself.
///
/// While it does not, reads are answered by what this instance knows, and
/// everything else is refused at once: calls never take a second hop.
class StoreRelay
{
public:
  StoreRelay(boost::asio::io_context& aContext,
             const core::StorePaths& aPaths,
             const KnownRows& aKnown);

  boost::asio::awaitable<void> Handle(net::HttpExchange& aExchange);

private:
  boost::asio::awaitable<net::HttpResponse> PassOn(
    const net::HttpRequest& aRequest);

  std::unique_ptr<net::HttpClient> m_client;
  const core::StorePaths& m_paths;
  const KnownRows& m_known;
  bool m_refuses = false; ///< The last call was refused; for the log.
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_STORE_RELAY_HPP
