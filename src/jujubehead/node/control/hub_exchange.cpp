#include "hub_exchange.hpp"

#include <charconv> // for from_chars
#include <optional> // for optional
#include <utility>  // for move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/use_awaitable.hpp> // for use_awaitable

#include "jujubehead/core/membership/hub_choice.hpp" // for HubChoice
#include "jujubehead/net/random_text.hpp"            // for RandomText
#include "jujubehead/net/timer.hpp"                  // for Sleep
#include "jujubehead/node/control/platform.hpp"      // for PlatformError

#include "../forward/decision_log.hpp" // for DecisionLog
#include "follow.hpp"                  // for RolePause

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
constexpr std::size_t kStartBytes = 6;
/// Version of the loads encoding; an older instance uses another one, and
/// neither accepts the other's.
constexpr const char* kLoadsForm = "2";
/// Poll interval. Together with a hub's own poll of a store it stays below the
/// time after which a store's state counts as stale.
constexpr core::Duration kHubPause = std::chrono::milliseconds(220);
/// A hub answers from memory; one that takes longer is hung or unreachable.
constexpr core::Duration kHubTimeout = std::chrono::milliseconds(300);
/// Older rows are not sent; the polling instance then reads the store itself.
/// Covers a hub's own wait for changes, network transit and a late wake-up.
constexpr core::Duration kOldestRows = std::chrono::milliseconds(1400);
/// How long rows from a hub count as fresh; then the store is read directly.
/// Covers two polls, one of which fails.
constexpr core::Duration kFedTime = std::chrono::milliseconds(900);

std::uint64_t
NumberOf(const std::optional<std::string>& aText)
{
  std::uint64_t number = 0;
  if (aText) {
    std::from_chars(aText->data(), aText->data() + aText->size(), number);
  }
  return number;
}

} // namespace

HubExchange::HubExchange(asio::io_context& aContext,
                         const core::HubRole& aRole,
                         StoreWatch& aStores,
                         KnownRows& aRows,
                         core::StorePaths& aPaths,
                         HubHooks aHooks)
  : m_context(aContext)
  , m_role(aRole)
  , m_stores(aStores)
  , m_rows(aRows)
  , m_paths(aPaths)
  , m_hooks(std::move(aHooks))
  , m_start(net::RandomText(kStartBytes))
  , m_client(net::HttpClient::Create(aContext))
{
}

void
HubExchange::Start()
{
  asio::co_spawn(m_context, FollowHubs(), asio::detached);
}

asio::awaitable<void>
HubExchange::FollowHubs()
{
  core::HubChoice choice;
  for (;;) {
    if (m_role.IsHub()) {
      if (m_role.HasFollowers()) {
        co_await ShareOwnLoads();
        PassOnLoads();
      }
      const core::Duration pause =
        m_role.HasFollowers() ? kHubPause : RolePause(m_role);
      co_await net::Sleep(pause);
      continue;
    }
    const core::KnownInstance hub =
      m_role.Hubs()[choice.Next(m_role.Hubs().size())];
    core::Duration pause{};
    std::optional<core::HubFailure> failure;
    std::string why;
    try {
      const bool has_more = co_await AskHub(hub, m_cursors[hub.id]);
      choice.OnAnswer();
      pause = has_more ? core::Duration(0) : kHubPause;
    } catch (const net::HttpCallError& error) {
      why = error.what();
      failure =
        error.Dispatched() ? core::HubFailure::kLate : core::HubFailure::kGone;
    } catch (const std::exception& error) {
      why = error.what();
      failure = core::HubFailure::kGone;
    }
    if (failure) {
      DecisionLog::WriteAlways(
        LogLine("hub_failed").Add("hub", hub.id).Add("why", why));
      pause = choice.OnFailure(*failure, m_jitter(m_random));
    }
    if (pause > core::Duration(0)) {
      co_await net::Sleep(pause);
    }
  }
}

asio::awaitable<std::vector<core::HeardLoad>>
HubExchange::ExchangeLoads(std::vector<core::HeardLoad> aTold)
{
  std::vector<core::HeardLoad> own;
  net::Timer given(m_context, core::Instant::max());
  m_hooks.exchange_loads(std::move(aTold),
                         [&](std::vector<core::HeardLoad> aGiven) {
                           own = std::move(aGiven);
                           given.cancel();
                         });
  constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
  co_await given.async_wait(kTuple);
  co_return own;
}

asio::awaitable<void>
HubExchange::ShareOwnLoads()
{
  const auto told = m_loads.Busiest(core::RuntimeClock::now());
  const std::vector<core::HeardLoad> own = co_await ExchangeLoads(told);
  for (const core::HeardLoad& one : own) {
    OnReported(one);
  }
}

void
HubExchange::OnReported(const core::HeardLoad& aLoad)
{
  m_loads.Put(aLoad);
  m_unshared.Put(aLoad);
}

void
HubExchange::PassOnLoads()
{
  const core::Instant now = core::RuntimeClock::now();
  const std::vector<core::HeardLoad> loads = m_unshared.TakeBusiest(now);
  if (loads.empty()) {
    return;
  }
  const std::string bytes = LoadsToBytes(loads, now);
  for (const core::KnownInstance& hub : m_role.Hubs()) {
    if (!m_role.IsSelf(hub) && m_sending.insert(hub.id).second) {
      asio::co_spawn(m_context, SendLoads(hub, bytes), asio::detached);
    }
  }
}

asio::awaitable<void>
HubExchange::SendLoads(core::KnownInstance aHub, std::string aLoads)
{
  net::HttpCall call;
  call.authority = aHub.address;
  call.method = "POST";
  call.target = std::string(kHubLoadsPath);
  call.body = std::move(aLoads);
  call.connect_timeout = kHubTimeout;
  call.idle_timeout = kHubTimeout;
  try {
    co_await m_client->Fetch(std::move(call));
  } catch (const std::exception&) {
    // The next report replaces this one. A hub that fails is also noticed and
    // logged by the instances that poll it.
  }
  m_sending.erase(aHub.id);
}

asio::awaitable<bool>
HubExchange::AskHub(core::KnownInstance aHub, Cursor& aCursor)
{
  std::vector<core::HeardLoad> own = co_await ExchangeLoads({});
  own.insert(own.end(), m_untold_loads.begin(), m_untold_loads.end());
  m_untold_loads.clear();
  net::HttpCall call;
  call.authority = aHub.address;
  call.method = "POST";
  if (aCursor.takes_loads) {
    call.body = LoadsToBytes(own, core::RuntimeClock::now());
  }
  call.target = std::string(kHubNewsPath) + "?form=" + kLoadsForm +
                "&start=" + aCursor.start +
                "&after=" + std::to_string(aCursor.parts.next) +
                "&since=" + std::to_string(aCursor.parts.since) +
                "&rows=" + m_rows.Cursors();
  call.connect_timeout = kHubTimeout;
  call.idle_timeout = kHubTimeout;
  // The hub's data is at most as old as the request.
  const core::Instant asked = core::RuntimeClock::now();
  const net::HttpResponse response = co_await m_client->Fetch(std::move(call));
  if (response.status != kOk) {
    throw PlatformError(PlatformFault::kBusy,
                        "status " + std::to_string(response.status));
  }
  HubNews news = HubNewsOf(response.body, asked);
  aCursor.start = news.start;
  aCursor.parts = news.parts.cursor;
  aCursor.takes_loads = news.has_loads;
  m_untold_loads = co_await ExchangeLoads(std::move(news.loads));
  m_stores.TakeNews(news.parts, news.clock_ms, asked);
  if (news.rows) {
    const core::Instant told = asked - news.rows->age;
    const bool has_unread = m_rows.TakeNews(news.rows->bytes, told, asked);
    if (!has_unread) {
      m_hooks.on_heard(told);
    }
    m_paths.OnFed(core::RuntimeClock::now() + kFedTime);
  }
  co_return news.parts.has_more;
}

HubNews
HubExchange::NewsFor(const net::HttpRequest& aRequest)
{
  const core::Instant now = core::RuntimeClock::now();
  const bool has_loads = aRequest.Query("form") == kLoadsForm;
  if (has_loads) {
    for (const core::HeardLoad& one : LoadsOf(aRequest.body, now)) {
      OnReported(one);
    }
  }
  const bool knows_start = aRequest.Query("start") == m_start;
  core::PartCursor cursor;
  if (knows_start) {
    cursor.next = NumberOf(aRequest.Query("after"));
    cursor.since = NumberOf(aRequest.Query("since"));
  }
  HubNews news;
  news.start = m_start;
  news.has_loads = has_loads;
  news.loads = m_loads.Busiest(now);
  news.parts = m_stores.Log().ReadAfter(cursor, now);
  news.clock_ms = m_stores.ClockMs(now);
  news.rows = m_rows.NewsAfter(aRequest.Query("rows").value_or(""), now);
  if (news.rows && news.rows->age > kOldestRows) {
    news.rows.reset();
  }
  return news;
}

asio::awaitable<void>
HubExchange::Handle(net::HttpExchange& aExchange)
{
  net::HttpResponse response;
  if (!m_role.IsHub()) {
    response.status = kUnavailable;
    response.body = "this instance is not a hub\n";
  } else {
    response.headers.Add("Content-Type", "application/cbor");
    response.body =
      ToBytes(NewsFor(aExchange.Request()), core::RuntimeClock::now());
  }
  co_await aExchange.Send(std::move(response));
}

asio::awaitable<void>
HubExchange::HandleLoads(net::HttpExchange& aExchange)
{
  const core::Instant now = core::RuntimeClock::now();
  net::HttpResponse response;
  if (!m_role.IsHub()) {
    response.status = kUnavailable;
  } else {
    for (const core::HeardLoad& one : LoadsOf(aExchange.Request().body, now)) {
      m_loads.Put(one);
    }
  }
  co_await aExchange.Send(std::move(response));
}

} // namespace jujubehead::node
