#include "jujubehead/node/front.hpp"

#include <optional> // for optional
#include <string>   // for string

#include "jujubehead/net/api_error.hpp"       // for ApiError
#include "jujubehead/node/completion_run.hpp" // for ServeCompletion
#include "jujubehead/node/control.hpp"        // for Control
#include "jujubehead/node/models_page.hpp"    // for ModelsPage
#include "jujubehead/node/operator_pages.hpp" // for ServeOperatorPage
#include "jujubehead/node/send_error.hpp"     // for SendError
#include "jujubehead/node/service_run.hpp"    // for ServeService
#include "jujubehead/node/traffic_thread.hpp" // for TrafficThread

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kServicesPath = "/services/";
constexpr std::string_view kApiPath = "/v1/";

/// Counts a request as open for as long as it is served.
class OpenRequest
{
public:
  explicit OpenRequest(std::atomic<std::size_t>& aCount)
    : m_count(aCount)
  {
    ++m_count;
  }
  ~OpenRequest() { --m_count; }
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;

private:
  std::atomic<std::size_t>& m_count;
};

net::ApiError
NoSuchPath(const net::HttpRequest& aRequest)
{
  net::ApiError error;
  error.status = 404;
  error.message = "Unknown request URL: " + aRequest.method + " " +
                  std::string(aRequest.Path());
  error.type = "invalid_request_error";
  error.code = "unknown_url";
  error.run_state = net::RunState::kNotRun;
  return error;
}

net::ApiError
WrongMethod(const net::HttpRequest& aRequest)
{
  net::ApiError error = NoSuchPath(aRequest);
  error.status = 405;
  error.message = "Method " + aRequest.method + " is not allowed here";
  error.code = "method_not_allowed";
  return error;
}

net::ApiError
WrongKey()
{
  net::ApiError error;
  error.status = 401;
  error.message = "Incorrect API key provided";
  error.type = "invalid_request_error";
  error.code = "invalid_api_key";
  error.run_state = net::RunState::kNotRun;
  return error;
}

} // namespace

asio::awaitable<void>
Front::Handle(net::HttpExchange& aExchange)
{
  const std::string_view path = aExchange.Request().Path();
  if (path.starts_with(kApiPath) || path.starts_with(kServicesPath)) {
    return ServeApi(aExchange);
  }
  return ServeOthers(aExchange);
}

asio::awaitable<void>
Front::ServeApi(net::HttpExchange& aExchange)
{
  const OpenRequest open(m_thread.control.OpenRequests());
  const net::HttpRequest& request = aExchange.Request();
  const auto table = m_thread.control.Table();
  const auto account = m_thread.authenticator.Authenticate(
    table->table, request.headers.Find("Authorization").value_or(""));
  if (!account) {
    m_thread.metrics.Add(Counter::kUnauthenticated);
    net::ApiError error = WrongKey();
    co_await SendError(aExchange, std::move(error));
    co_return;
  }
  const Caller caller{ *account, table };
  co_await ServeCaller(aExchange, caller);
}

asio::awaitable<void>
Front::ServeCaller(net::HttpExchange& aExchange, const Caller& aCaller)
{
  const net::HttpRequest& request = aExchange.Request();
  const std::string_view path = request.Path();
  if (path.starts_with(kServicesPath)) {
    return ServeService(m_thread, aExchange, aCaller);
  }
  if (path == "/v1/chat/completions" || path == "/v1/completions") {
    if (request.method != "POST") {
      return SendError(aExchange, WrongMethod(request));
    }
    return ServeCompletion(m_thread, aExchange, aCaller);
  }
  if (path == "/v1/models" || path.starts_with("/v1/models/")) {
    return aExchange.Send(ModelsPage(aCaller, path));
  }
  return SendError(aExchange, NoSuchPath(request));
}

asio::awaitable<void>
Front::ServeOthers(net::HttpExchange& aExchange)
{
  const bool known = co_await ServeOperatorPage(m_thread, aExchange);
  if (!known) {
    net::ApiError error = NoSuchPath(aExchange.Request());
    co_await SendError(aExchange, std::move(error));
  }
}

} // namespace jujubehead::node
