#include "standin/face.hpp"

#include <utility> // for move

#include <boost/asio/steady_timer.hpp>  // for steady_timer
#include <boost/asio/this_coro.hpp>     // for executor
#include <boost/asio/use_awaitable.hpp> // for use_awaitable

namespace jujubehead::standin {

namespace asio = boost::asio;
using nlohmann::json;

EpochMs
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

asio::awaitable<void>
Wait(std::chrono::microseconds aTime)
{
  if (aTime.count() > 0) {
    asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::ip::tcp::endpoint
EndpointOf(const std::string& aAuthority)
{
  const std::size_t colon = aAuthority.rfind(':');
  const auto port = std::stoul(aAuthority.substr(colon + 1));
  return { asio::ip::make_address(aAuthority.substr(0, colon)),
           static_cast<std::uint16_t>(port) };
}

asio::awaitable<void>
Reply(net::HttpExchange& aExchange, unsigned aStatus, const json& aBody)
{
  net::HttpResponse response;
  response.status = aStatus;
  response.headers.Add("Content-Type", "application/json");
  response.body = aBody.dump();
  co_await aExchange.Send(std::move(response));
}

json
ErrorJson(const std::string& aCode)
{
  return {
    { "error",
      { { "code", aCode }, { "message", aCode }, { "type", "stand_in" } } }
  };
}

asio::awaitable<void>
ReplyError(net::HttpExchange& aExchange,
           unsigned aStatus,
           const std::string& aCode)
{
  co_await Reply(aExchange, aStatus, ErrorJson(aCode));
}

std::vector<std::string>
PathParts(const net::HttpRequest& aRequest)
{
  std::vector<std::string> parts;
  std::string_view path = aRequest.Path();
  while (!path.empty()) {
    const std::size_t end = path.find('/');
    if (end != 0) {
      parts.emplace_back(path.substr(0, end));
    }
    path.remove_prefix(end == std::string_view::npos ? path.size() : end + 1);
  }
  return parts;
}

void
Face::Listen(asio::io_context& aContext, net::HttpServerOptions aOptions)
{
  auto self = shared_from_this();
  m_server = net::HttpServer::Create(
    aContext, std::move(aOptions), [self](net::HttpExchange& aExchange) {
      return self->Serve(aExchange);
    });
  OnListening(aContext);
}

void
Face::Stop()
{
  m_server.reset();
}

void
Face::SetOnCrash(std::function<void()> aOnCrash)
{
  m_on_crash = std::move(aOnCrash);
}

void
Face::SetFault(const std::string& aName, const json& aBody)
{
  if (aName == "crash_now") {
    Crash();
    return;
  }
  m_faults[aName] = aBody;
  OnFaultsChanged();
}

void
Face::ClearFaults()
{
  m_faults.clear();
  OnFaultsChanged();
}

const json*
Face::Fault(const std::string& aName) const
{
  const auto found = m_faults.find(aName);
  return found == m_faults.end() ? nullptr : &found->second;
}

std::chrono::milliseconds
Face::FaultMs(const std::string& aName) const
{
  const json* fault = Fault(aName);
  return std::chrono::milliseconds(
    fault == nullptr ? 0 : fault->value("ms", std::int64_t{ 0 }));
}

bool
Face::TakeFault(const std::string& aName)
{
  const auto found = m_faults.find(aName);
  if (found == m_faults.end()) {
    return false;
  }
  const auto left = found->second.value("count", std::int64_t{ 1 });
  if (left <= 1) {
    m_faults.erase(found);
  } else {
    found->second["count"] = left - 1;
  }
  return left > 0;
}

void
Face::Crash()
{
  m_faults["down"] = json::object();
  LoseState();
  if (m_on_crash) {
    m_on_crash();
  }
}

asio::awaitable<void>
Face::Serve(net::HttpExchange& aExchange)
{
  if (aExchange.Request().Path().starts_with("/admin/")) {
    co_await ServeAdmin(aExchange);
    co_return;
  }
  if (SlowDelaysRequests()) {
    co_await Wait(FaultMs("slow"));
  }
  if (Fault("down") != nullptr) {
    aExchange.Close();
    co_return;
  }
  std::string wrong;
  try {
    co_await Handle(aExchange);
  } catch (const json::exception& error) {
    wrong = error.what();
  }
  if (!wrong.empty() && !aExchange.HasStarted()) {
    co_await ReplyError(aExchange, 400, wrong);
  }
}

asio::awaitable<void>
Face::ServeAdmin(net::HttpExchange& aExchange)
{
  const net::HttpRequest& request = aExchange.Request();
  const std::string_view path = request.Path();
  if (path == "/admin/stats") {
    co_await Reply(aExchange, 200, Stats());
  } else if (path == "/admin/fault") {
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("fault")) {
      co_await ReplyError(aExchange, 400, "bad_fault");
      co_return;
    }
    SetFault(body.at("fault").get<std::string>(), body);
    co_await Reply(aExchange, 200, json::object());
  } else if (path == "/admin/clear") {
    ClearFaults();
    co_await Reply(aExchange, 200, json::object());
  } else {
    co_await Handle(aExchange);
  }
}

} // namespace jujubehead::standin
