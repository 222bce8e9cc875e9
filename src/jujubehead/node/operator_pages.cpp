#include "jujubehead/node/operator_pages.hpp"

#include <string> // for string

#include <openssl/crypto.h> // for CRYPTO_memcmp

#include "jujubehead/node/control.hpp"        // for Control, OnControl
#include "jujubehead/node/traffic_thread.hpp" // for TrafficThread

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

net::HttpResponse
Text(unsigned aStatus, std::string aBody, std::string_view aType = "text/plain")
{
  net::HttpResponse response;
  response.status = aStatus;
  response.headers.Add("Content-Type", aType);
  response.body = std::move(aBody);
  return response;
}

bool
IsOperator(const TrafficThread& aThread, const net::HttpRequest& aRequest)
{
  if (aThread.options.operator_key.empty()) {
    return true;
  }
  const std::string wanted = "Bearer " + aThread.options.operator_key;
  const auto got = aRequest.headers.Find("Authorization").value_or("");
  return got.size() == wanted.size() &&
         CRYPTO_memcmp(got.data(), wanted.data(), wanted.size()) == 0;
}

asio::awaitable<std::string>
NotReady(Control& aControl)
{
  co_return aControl.NotReadyBecause();
}

asio::awaitable<std::string>
Status(Control& aControl)
{
  co_return ToJson(aControl.Status());
}

} // namespace

asio::awaitable<bool>
ServeOperatorPage(TrafficThread& aThread, net::HttpExchange& aExchange)
{
  const net::HttpRequest& request = aExchange.Request();
  const std::string_view path = request.Path();
  Control& control = aThread.control;
  net::HttpResponse page;
  if (path == "/healthz") {
    page = Text(200, "ok\n");
  } else if (path == "/readyz") {
    const std::string why = co_await OnControl(control, NotReady(control));
    page = why.empty() ? Text(200, "ready\n")
                       : Text(503, "not ready: " + why + "\n");
  } else if (path != "/status" && path != "/metrics") {
    co_return false;
  } else if (!IsOperator(aThread, request)) {
    page = Text(401, "the operator key is needed\n");
  } else if (path == "/status") {
    std::string status = co_await OnControl(control, Status(control));
    page = Text(200, std::move(status), "application/json");
  } else {
    page =
      Text(200, control.GetMetrics().Render(), "text/plain; version=0.0.4");
  }
  co_await aExchange.Send(std::move(page));
  co_return true;
}

} // namespace jujubehead::node
