#include "standin/path_view.hpp"

#include <ostream>   // for ostream
#include <stdexcept> // for invalid_argument
#include <utility>   // for move

#include "platform/base64.hpp" // for DecodeBase64, EncodeBase64
#include "standin/face.hpp"    // for NowMs, Reply

namespace jujubehead::standin {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kBadGateway = 502;

PathCut
CutOf(const std::string& aName)
{
  const std::map<std::string, PathCut> cuts = {
    { "none", PathCut::kNone },          { "silent", PathCut::kSilent },
    { "to_target", PathCut::kToTarget }, { "reset", PathCut::kReset },
    { "closed", PathCut::kClosed },
  };
  const auto found = cuts.find(aName);
  if (found == cuts.end()) {
    throw std::invalid_argument("unknown cut '" + aName + "'");
  }
  return found->second;
}

} // namespace

PathView::PathView(asio::io_context& aContext,
                   const ListenOptions& aListen,
                   std::string aRows,
                   std::ostream& aLog)
  : m_context(aContext)
  , m_rows(std::move(aRows))
  , m_log(aLog)
  , m_address(aListen.address)
  , m_client(net::HttpClient::Create(aContext))
{
  net::HttpServerOptions options;
  options.address = aListen.address;
  options.port = aListen.port;
  m_server = net::HttpServer::Create(
    aContext, options, [this](net::HttpExchange& aExchange) {
      return Handle(aExchange);
    });
}

PathView::~PathView() = default;

std::string
PathView::Authority() const
{
  return m_address + ':' + std::to_string(m_server->Port());
}

void
PathView::SetCut(const std::string& aHow)
{
  m_cut = CutOf(aHow);
  for (const auto& [target, proxy] : m_proxies) {
    proxy->SetCut(m_cut);
  }
  m_log << NowMs() << ' ' << aHow << std::endl;
}

asio::awaitable<void>
PathView::Handle(net::HttpExchange& aExchange)
{
  const net::HttpRequest& request = aExchange.Request();
  net::HttpResponse response;
  if (request.Path() == "/admin/cut") {
    try {
      SetCut(json::parse(request.body).at("how").get<std::string>());
      response.status = kOk;
    } catch (const std::exception& error) {
      response.status = kBadRequest;
      response.body = error.what();
    }
  } else {
    try {
      response = co_await Forward(request);
    } catch (const net::HttpCallError& error) {
      response.status = kBadGateway;
      response.body = error.what();
    }
  }
  co_await aExchange.Send(std::move(response));
}

asio::awaitable<net::HttpResponse>
PathView::Forward(const net::HttpRequest& aRequest)
{
  net::HttpCall call;
  call.authority = m_rows;
  call.method = aRequest.method;
  call.target = aRequest.target;
  call.body = aRequest.body;
  const net::HttpResponse reply = co_await m_client->Fetch(std::move(call));
  net::HttpResponse response;
  response.status = reply.status;
  response.headers.Add("Content-Type", "application/json");
  response.body = Rewrite(reply.body);
  co_return response;
}

std::string
PathView::Rewrite(const std::string& aBody)
{
  json body = json::parse(aBody, nullptr, false);
  if (!body.is_object() || !body.contains("rows")) {
    return aBody;
  }
  for (json& row : body["rows"]) {
    row = RewriteRow(std::move(row));
  }
  return body.dump();
}

json
PathView::RewriteRow(json aRow)
{
  if (aRow.value("table", "") != "servers") {
    return aRow;
  }
  const auto text = platform::DecodeBase64(aRow.value("value", ""));
  json target = json::parse(text.value_or(""), nullptr, false);
  if (target.is_object() && target.contains("address")) {
    const auto address = target["address"].get<std::string>();
    target["address"] = ProxyOf(address).Authority();
    aRow["value"] = platform::EncodeBase64(target.dump());
  }
  return aRow;
}

FaultProxy&
PathView::ProxyOf(const std::string& aTarget)
{
  std::unique_ptr<FaultProxy>& proxy = m_proxies[aTarget];
  if (!proxy) {
    FaultProxyOptions options;
    options.upstream = aTarget;
    options.mean_calm = std::chrono::milliseconds(0);
    proxy = std::make_unique<FaultProxy>(m_context, options, m_log);
    proxy->Start();
    proxy->SetCut(m_cut);
  }
  return *proxy;
}

} // namespace jujubehead::standin
