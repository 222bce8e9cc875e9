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
constexpr core::Duration kWayBack = std::chrono::milliseconds(60);
/// Bounds of the time that a sender may ask for, and its default: the upper one
/// is the longest wait for a change with its timeout, the default the usual
/// timeout of a call.
constexpr std::int64_t kLeastMs = 100;
constexpr std::int64_t kMostMs = 6000;
constexpr std::int64_t kUsualMs = 700;

core::Duration
TimeFor(const net::HttpRequest& aRequest)
{
  std::int64_t ms = kUsualMs;
  if (const auto told = aRequest.headers.Find(kRelayTimeLine)) {
    std::from_chars(told->data(), told->data() + told->size(), ms);
  }
  return std::chrono::milliseconds(std::clamp(ms, kLeastMs, kMostMs)) -
         kWayBack;
}

} // namespace

StoreRelay::StoreRelay(asio::io_context& aContext,
                       const core::StorePaths& aPaths,
                       const KnownRows& aKnown)
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
  if (m_paths.IsStraight()) {
    try {
      answer = co_await PassOn(aExchange.Request());
    } catch (const net::HttpCallError& error) {
      why = error.what();
    }
  } else {
    answer = m_known.Answer(aExchange.Request());
  }
  if (!answer) {
    if (!m_refuses) {
      DecisionLog::WriteAlways(LogLine("relay_refuses").Add("why", why));
    }
    m_refuses = true;
    answer.emplace();
    answer->status = kUnavailable;
    answer->body = why + '\n';
  }
  m_refuses = m_refuses && answer->status == kUnavailable;
  co_await aExchange.Send(std::move(*answer));
}

asio::awaitable<net::HttpResponse>
StoreRelay::PassOn(const net::HttpRequest& aRequest)
{
  net::HttpCall call;
  call.authority = m_paths.Straight();
  call.method = aRequest.method;
  call.target = aRequest.target;
  if (const auto type = aRequest.headers.Find("Content-Type")) {
    call.headers.Add("Content-Type", *type);
  }
  call.body = aRequest.body;
  call.connect_timeout = kConnectTimeout;
  call.idle_timeout = TimeFor(aRequest);
  const net::HttpResponse reply = co_await m_client->Fetch(std::move(call));
  net::HttpResponse answer;
  answer.status = reply.status;
  answer.headers.Add("Content-Type", "application/json");
  answer.body = reply.body;
  co_return answer;
}

} // namespace jujubehead::node
