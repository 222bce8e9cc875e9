#include "jujubehead/node/control/store_relay.hpp"

#include <algorithm> // for clamp
#include <charconv>  // for from_chars
#include <optional>  // for optional
#include <utility>   // for move

#include "../forward/decision_log.hpp" // for DecisionLog

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

constexpr unsigned kUnavailable = 503;
constexpr core::Duration kConnectTimeout = std::chrono::milliseconds(300);
/// Subtracted from the time that the sender waits, for the reply's transit.
constexpr core::Duration kReplyTransit = std::chrono::milliseconds(60);
/// Bounds of the time that a sender may ask for, and its default: the upper one
/// is the longest wait for a change with its timeout, the default the usual
/// timeout of a call.
constexpr std::int64_t kMinMs = 100;
constexpr std::int64_t kMaxMs = 6000;
constexpr std::int64_t kDefaultMs = 700;

core::Duration
TimeoutFor(const net::HttpRequest& aRequest)
{
  std::int64_t ms = kDefaultMs;
  if (const auto header = aRequest.headers.Find(kRelayTimeoutHeader)) {
    std::from_chars(header->data(), header->data() + header->size(), ms);
  }
  return std::chrono::milliseconds(std::clamp(ms, kMinMs, kMaxMs)) -
         kReplyTransit;
}

} // namespace

StoreRelay::StoreRelay(asio::io_context& aContext,
                       const core::StorePaths& aPaths,
                       const RowCache& aKnown)
  : m_client(net::HttpClient::Create(aContext))
  , m_paths(aPaths)
  , m_known(aKnown)
{
}

asio::awaitable<void>
StoreRelay::Handle(net::HttpExchange& aExchange)
{
  std::optional<net::HttpResponse> answer;
  std::string why =
    "the operators' store is not directly reachable from this instance";
  if (m_paths.IsDirect()) {
    try {
      answer = co_await ForwardToStore(aExchange.Request());
    } catch (const net::HttpCallError& error) {
      why = error.what();
    }
  } else {
    answer = m_known.Answer(aExchange.Request());
  }
  if (!answer) {
    if (!m_was_refused) {
      DecisionLog::WriteUnthrottled(LogLine("relay_refuses").Add("why", why));
    }
    m_was_refused = true;
    answer.emplace();
    answer->status = kUnavailable;
    answer->body = why + '\n';
  }
  m_was_refused = m_was_refused && answer->status == kUnavailable;
  co_await aExchange.Send(std::move(*answer));
}

asio::awaitable<net::HttpResponse>
StoreRelay::ForwardToStore(const net::HttpRequest& aRequest)
{
  net::HttpCall call;
  call.authority = m_paths.DirectAddress();
  call.method = aRequest.method;
  call.target = aRequest.target;
  if (const auto type = aRequest.headers.Find("Content-Type")) {
    call.headers.Add("Content-Type", *type);
  }
  call.body = aRequest.body;
  call.connect_timeout = kConnectTimeout;
  call.idle_timeout = TimeoutFor(aRequest);
  const net::HttpResponse reply = co_await m_client->Fetch(std::move(call));
  net::HttpResponse answer;
  answer.status = reply.status;
  answer.headers.Add("Content-Type", "application/json");
  answer.body = reply.body;
  co_return answer;
}

} // namespace jujubehead::node
