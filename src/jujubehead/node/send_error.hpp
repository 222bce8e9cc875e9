#ifndef JUJUBEHEAD_NODE_SEND_ERROR_HPP
#define JUJUBEHEAD_NODE_SEND_ERROR_HPP

#include <utility> // for move

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/net/api_error.hpp"   // for ApiError, Render
#include "jujubehead/net/http_server.hpp" // for HttpExchange

namespace jujubehead::node {

/// @brief Answers with an error.
inline boost::asio::awaitable<void>
SendError(net::HttpExchange& aExchange, net::ApiError aError)
{
  net::HttpResponse response = net::Render(aError);
  co_await aExchange.Send(std::move(response));
}

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_SEND_ERROR_HPP
