#include "hub_exchange.hpp"

#include <charconv> // for from_chars
#include <optional> // for optional
#include <utility>  // for exchange, move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/use_awaitable.hpp> // for use_awaitable

#include "jujubehead/net/random_text.hpp"       // for RandomText
#include "jujubehead/net/timer.hpp"             // for Sleep
#include "jujubehead/node/control/platform.hpp" // for PlatformError

#include "../forward/decision_log.hpp" // for DecisionLog
#include "follow.hpp"                  // for SpreadPause

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
constexpr std::size_t kStartBytes = 6;
/// Between two questions to a hub. With a hub's own call of a store it stays
/// below the time for which a store is believed.
constexpr core::Duration kHubPause = std::chrono::milliseconds(220);
/// A hub answers from memory; one that takes longer is frozen or cut off.
constexpr core::Duration kHubTimeout = std::chrono::milliseconds(300);
/// Between two looks of a hub whether it still is one.
constexpr core::Duration kRoleTime = std::chrono::seconds(2);
/// Rows that are older are not told: the one who asks reads the store itself. A
/// hub's own wait for changes, its answer's way, and a late wake-up.
constexpr core::Duration kOldestRows = std::chrono::milliseconds(1400);
/// After a hub's answer its next one is awaited for so long; then the store is
/// read. Two questions, one of them in vain.
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
  Cursor cursor;
  std::size_t next = 0;
  for (;;) {
    if (m_role.IsHub()) {
      if (m_role.HasFollowers()) {
        co_await ShareOwnLoads();
      }
      co_await net::Sleep(m_role.HasFollowers() ? kHubPause : kRoleTime);
      continue;
    }
    const std::size_t count = m_role.Hubs().size();
    const core::KnownInstance hub = m_role.Hubs()[next % count];
    std::string why;
    bool has_more = false;
    try {
      has_more = co_await AskHub(hub, cursor);
    } catch (const std::exception& error) {
      why = error.what();
    }
    if (why.empty()) {
      if (!has_more) {
        co_await net::Sleep(kHubPause);
      }
      continue;
    }
    DecisionLog::WriteAlways(
      LogLine("hub_left").Add("hub", hub.id).Add("why", why));
    ++next;
    if (next % count == 0) {
      m_stores.TakeSilence();
      const core::Duration pause = SpreadPause();
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
    m_loads.Put(one);
  }
}

asio::awaitable<bool>
HubExchange::AskHub(core::KnownInstance aHub, Cursor& aCursor)
{
  if (aCursor.hub != aHub.id) {
    aCursor = { aHub.id, {}, {} };
  }
  const std::vector<core::HeardLoad> own =
    co_await ExchangeLoads(std::exchange(m_told_loads, {}));
  net::HttpCall call;
  call.authority = aHub.address;
  call.method = "POST";
  call.body = LoadsToBytes(own, core::RuntimeClock::now());
  call.target = std::string(kHubNewsPath) + "?start=" + aCursor.start +
                "&after=" + std::to_string(aCursor.parts.next) +
                "&since=" + std::to_string(aCursor.parts.since) +
                "&rows=" + m_rows.Cursors();
  call.connect_timeout = kHubTimeout;
  call.idle_timeout = kHubTimeout;
  // The hub's answer is as old as the question at most.
  const core::Instant asked = core::RuntimeClock::now();
  const net::HttpResponse response = co_await m_client->Fetch(std::move(call));
  if (response.status != kOk) {
    throw PlatformError(PlatformFault::kBusy,
                        "status " + std::to_string(response.status));
  }
  HubNews news = HubNewsOf(response.body, asked);
  aCursor.start = news.start;
  aCursor.parts = news.parts.cursor;
  m_told_loads = std::move(news.loads);
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
  for (const core::HeardLoad& one : LoadsOf(aRequest.body, now)) {
    m_loads.Put(one);
  }
  const bool knows_start = aRequest.Query("start") == m_start;
  core::PartCursor cursor;
  if (knows_start) {
    cursor.next = NumberOf(aRequest.Query("after"));
    cursor.since = NumberOf(aRequest.Query("since"));
  }
  HubNews news;
  news.start = m_start;
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
    response.body = "this instance watches nothing for others\n";
  } else {
    response.headers.Add("Content-Type", "application/cbor");
    response.body =
      ToBytes(NewsFor(aExchange.Request()), core::RuntimeClock::now());
  }
  co_await aExchange.Send(std::move(response));
}

} // namespace jujubehead::node
