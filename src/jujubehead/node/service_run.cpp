#include "jujubehead/node/service_run.hpp"

#include <array>    // for array
#include <optional> // for optional
#include <string>   // for string
#include <utility>  // for move
#include <variant>  // for variant

#include <boost/beast/core/string.hpp> // for iequals

#include "jujubehead/net/http_client.hpp"     // for HttpCall, HttpClient
#include "jujubehead/node/attempts.hpp"       // for Attempts
#include "jujubehead/node/request_claim.hpp"  // for RequestClaim
#include "jujubehead/node/send_error.hpp"     // for SendError
#include "jujubehead/node/traffic_thread.hpp" // for TrafficThread

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kServicesPath = "/services/";
constexpr core::Duration kServiceSilence = std::chrono::seconds(60);
constexpr unsigned kFirstServerError = 500;

// Hop-by-hop, set anew, or not the target's business.
constexpr std::array<std::string_view, 11> kNotForwarded = {
  "Connection", "Keep-Alive",    "Transfer-Encoding", "Upgrade",
  "TE",         "Trailer",       "Proxy-Connection",  "Content-Length",
  "Host",       "Authorization", "X-Request-Id"
};

bool
IsForwarded(std::string_view aName)
{
  for (const std::string_view name : kNotForwarded) {
    if (boost::beast::iequals(name, aName)) {
      return false;
    }
  }
  return true;
}

net::HttpHeaders
Forwarded(const net::HttpHeaders& aHeaders)
{
  net::HttpHeaders kept;
  for (const net::HttpHeader& line : aHeaders.Lines()) {
    if (IsForwarded(line.name)) {
      kept.Add(line.name, line.value);
    }
  }
  return kept;
}

bool
IsIdempotent(std::string_view aMethod)
{
  return aMethod == "GET" || aMethod == "HEAD" || aMethod == "PUT" ||
         aMethod == "DELETE" || aMethod == "OPTIONS";
}

struct ServicePath
{
  std::string name;
  std::string rest; ///< Path and query at the target.
};

std::optional<ServicePath>
ParsePath(std::string_view aTarget)
{
  const std::string_view after = aTarget.substr(kServicesPath.size());
  const std::size_t end = after.find_first_of("/?");
  const std::string_view name = after.substr(0, end);
  if (name.empty()) {
    return std::nullopt;
  }
  std::string rest(end == std::string_view::npos ? "" : after.substr(end));
  if (rest.empty() || rest.front() != '/') {
    rest.insert(0, "/");
  }
  return ServicePath{ std::string(name), std::move(rest) };
}

net::ApiError
NoSuchService(std::string_view aTarget)
{
  net::ApiError error;
  error.status = 404;
  error.message = "No such service: " + std::string(aTarget);
  error.type = "invalid_request_error";
  error.code = "service_not_found";
  error.run_state = net::RunState::kNotRun;
  return error;
}

net::ApiError
ServiceFailed(const std::string& aWhat)
{
  net::ApiError error;
  error.status = 502;
  error.message = "The service failed: " + aWhat;
  error.code = "target_failed";
  return error;
}

AdmissionAsk
AskFor(const core::TableRow& aRow, const core::AccountId& aAccount)
{
  AdmissionAsk ask;
  ask.account = aAccount;
  ask.model = aRow.model;
  ask.cost_tokens = 1;
  ask.priority = aRow.priority;
  ask.deadline = aRow.deadline;
  return ask;
}

class ServiceRun
{
public:
  ServiceRun(TrafficThread& aThread,
             net::HttpExchange& aExchange,
             const Caller& aCaller,
             const core::TableRow& aRow,
             std::string aPath)
    : m_thread(aThread)
    , m_exchange(aExchange)
    , m_path(std::move(aPath))
    , m_account(aCaller.account)
    , m_model(aRow.model)
    , m_attempts(aThread,
                 aExchange,
                 AskFor(aRow, aCaller.account),
                 AccountClass(aCaller.table->table, aRow))
    , m_claim(aThread)
  {
    if (!IsIdempotent(aExchange.Request().method)) {
      m_attempts.OnlyOnce();
    }
  }

  asio::awaitable<void> Serve()
  {
    auto barred =
      co_await m_claim.Take(m_exchange.Request(), m_account, m_model);
    if (barred) {
      co_await SendError(m_exchange, std::move(*barred));
      co_return;
    }
    if (m_claim.IsHeld()) {
      m_attempts.OnlyOnce();
    }
    for (;;) {
      Attempts::Next next = co_await m_attempts.Start();
      if (auto* error = std::get_if<net::ApiError>(&next)) {
        co_await m_claim.Refused(error->run_state);
        co_await SendError(m_exchange, *error);
        co_return;
      }
      HeldRun& run = *std::get<std::unique_ptr<HeldRun>>(next);
      if (auto response = co_await Attempt(run)) {
        co_await m_exchange.Send(std::move(*response));
        co_return;
      }
    }
  }

private:
  /// @return the reply to pass on; nothing when the attempt failed.
  asio::awaitable<std::optional<net::HttpResponse>> Attempt(HeldRun& aRun)
  {
    const core::TargetId& target = aRun.Place().target;
    if (m_attempts.CallerGone() || !aRun.MayStart()) {
      m_attempts.Failed(target, false, ServiceFailed("the permit is too late"));
      co_return std::nullopt;
    }
    try {
      aRun.Dispatched();
      net::HttpResponse reply = co_await m_thread.client->Fetch(CallFor(aRun));
      aRun.SetEnd(RunEnd::kComplete);
      if (reply.status >= kFirstServerError) {
        m_attempts.Failed(
          target,
          true,
          ServiceFailed("status " + std::to_string(reply.status)));
        co_return std::nullopt;
      }
      m_thread.metrics.Add(Counter::kAnswers);
      reply.headers = Forwarded(reply.headers);
      co_return reply;
    } catch (const net::HttpCallError& error) {
      // A plain service has no order to abort; its connection is closed.
      aRun.SetEnd(error.Dispatched() ? RunEnd::kComplete : RunEnd::kNotStarted);
      m_attempts.Failed(
        target, error.Dispatched(), ServiceFailed(error.what()));
      co_return std::nullopt;
    }
  }

  [[nodiscard]] net::HttpCall CallFor(const HeldRun& aRun) const
  {
    const net::HttpRequest& request = m_exchange.Request();
    net::HttpCall call;
    call.authority = aRun.Place().authority;
    call.method = request.method;
    call.target = m_path;
    call.headers = Forwarded(request.headers);
    call.headers.Add("X-Request-Id", m_attempts.CurrentId().View());
    call.body = request.body;
    call.idle_timeout = kServiceSilence;
    call.cancel = m_attempts.Cancel();
    call.memory = m_thread.memory;
    return call;
  }

  TrafficThread& m_thread;
  net::HttpExchange& m_exchange;
  std::string m_path;
  core::AccountId m_account;
  core::ModelId m_model;
  Attempts m_attempts;
  RequestClaim m_claim;
};

} // namespace

asio::awaitable<void>
ServeService(TrafficThread& aThread,
             net::HttpExchange& aExchange,
             const Caller& aCaller)
{
  const std::string& target = aExchange.Request().target;
  const auto path = ParsePath(target);
  const core::TableRow* row =
    path ? aCaller.table->table.Find(aCaller.account,
                                     core::ModelId("service:" + path->name))
         : nullptr;
  if (row == nullptr) {
    net::ApiError unknown = NoSuchService(target);
    co_await SendError(aExchange, std::move(unknown));
    co_return;
  }
  // One copy is sent while the other is kept for another attempt.
  if (!aExchange.Reserve(2 * aExchange.Request().body.capacity())) {
    net::ApiError overload = net::OverloadError();
    co_await SendError(aExchange, std::move(overload));
    co_return;
  }
  ServiceRun run(aThread, aExchange, aCaller, *row, path->rest);
  co_await run.Serve();
}

} // namespace jujubehead::node
