#include "hub_exchange.hpp"

#include <charconv> // for from_chars
#include <optional> // for optional
#include <utility>  // for move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/use_awaitable.hpp> // for use_awaitable

#include "jujubehead/core/membership/hub_selector.hpp" // for HubSelector
#include "jujubehead/net/random_text.hpp"              // for RandomText
#include "jujubehead/net/timer.hpp"                    // for Sleep
#include "jujubehead/node/control/platform.hpp"        // for PlatformError

#include "../forward/decision_log.hpp" // for DecisionLog
#include "follow.hpp"                  // for RoleCheckInterval

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
constexpr std::size_t kStartBytes = 6;
/// Version of the loads encoding; an older instance uses another one, and
/// neither accepts the other's.
constexpr const char* kLoadsEncoding = "2";
/// Poll interval. Together with a hub's own poll of a store it stays below the
/// time after which a store's state counts as stale.
constexpr core::Duration kHubPollInterval = std::chrono::milliseconds(220);
/// A hub answers from memory; one that takes longer is hung or unreachable.
constexpr core::Duration kHubTimeout = std::chrono::milliseconds(300);
/// Older rows are not sent; the polling instance then reads the store itself.
/// Covers a hub's own wait for changes, network transit and a late wake-up.
constexpr core::Duration kMaxRowAge = std::chrono::milliseconds(1400);
/// How long rows from a hub count as fresh; then the store is read directly.
/// Covers two polls, one of which fails.
constexpr core::Duration kHubRowsLifetime = std::chrono::milliseconds(900);

std::uint64_t
ParseNumber(const std::optional<std::string>& aText)
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
                         RowCache& aRows,
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
  core::HubSelector choice;
  for (;;) {
    if (m_role.IsHub()) {
      if (m_role.HasFollowers()) {
        co_await SyncOwnLoads();
        ForwardLoads();
      }
      const core::Duration pause =
        m_role.HasFollowers() ? kHubPollInterval : RoleCheckInterval(m_role);
      co_await net::Sleep(pause);
      continue;
    }
    const core::KnownInstance hub =
      m_role.Hubs()[choice.Next(m_role.Hubs().size())];
    core::Duration pause{};
    std::optional<core::HubFailure> failure;
    std::string why;
    try {
      const bool has_more = co_await PollHub(hub, m_cursors[hub.id]);
      choice.OnAnswer();
      pause = has_more ? core::Duration(0) : kHubPollInterval;
    } catch (const net::HttpCallError& error) {
      why = error.what();
      failure = error.Dispatched() ? core::HubFailure::kTimeout
                                   : core::HubFailure::kNotServing;
    } catch (const std::exception& error) {
      why = error.what();
      failure = core::HubFailure::kNotServing;
    }
    if (failure) {
      DecisionLog::WriteUnthrottled(
        LogLine("hub_failed").Add("hub", hub.id).Add("why", why));
      pause = choice.OnFailure(*failure, m_jitter(m_random));
    }
    if (pause > core::Duration(0)) {
      co_await net::Sleep(pause);
    }
  }
}

asio::awaitable<std::vector<core::TargetLoadReport>>
HubExchange::ExchangeLoads(std::vector<core::TargetLoadReport> aReported)
{
  std::vector<core::TargetLoadReport> own;
  net::Timer replied(m_context, core::Instant::max());
  m_hooks.exchange_loads(std::move(aReported),
                         [&](std::vector<core::TargetLoadReport> aOwn) {
                           own = std::move(aOwn);
                           replied.cancel();
                         });
  constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
  co_await replied.async_wait(kTuple);
  co_return own;
}

asio::awaitable<void>
HubExchange::SyncOwnLoads()
{
  const auto busiest = m_loads.Busiest(core::RuntimeClock::now());
  const std::vector<core::TargetLoadReport> own =
    co_await ExchangeLoads(busiest);
  for (const core::TargetLoadReport& load : own) {
    OnReported(load);
  }
}

void
HubExchange::OnReported(const core::TargetLoadReport& aLoad)
{
  m_loads.Put(aLoad);
  m_unsent_loads.Put(aLoad);
}

void
HubExchange::ForwardLoads()
{
  const core::Instant now = core::RuntimeClock::now();
  const std::vector<core::TargetLoadReport> loads =
    m_unsent_loads.TakeBusiest(now);
  if (loads.empty()) {
    return;
  }
  const std::string bytes = LoadsToBytes(loads, now);
  for (const core::KnownInstance& hub : m_role.Hubs()) {
    if (!m_role.IsSelf(hub) && m_pending_hubs.insert(hub.id).second) {
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
  m_pending_hubs.erase(aHub.id);
}

asio::awaitable<bool>
HubExchange::PollHub(core::KnownInstance aHub, Cursor& aCursor)
{
  std::vector<core::TargetLoadReport> own = co_await ExchangeLoads({});
  own.insert(own.end(), m_pending_loads.begin(), m_pending_loads.end());
  m_pending_loads.clear();
  net::HttpCall call;
  call.authority = aHub.address;
  call.method = "POST";
  if (aCursor.supports_loads) {
    call.body = LoadsToBytes(own, core::RuntimeClock::now());
  }
  call.target = std::string(kHubUpdatesPath) + "?form=" + kLoadsEncoding +
                "&start=" + aCursor.start +
                "&after=" + std::to_string(aCursor.parts.next) +
                "&since=" + std::to_string(aCursor.parts.since) +
                "&rows=" + m_rows.Cursors();
  call.connect_timeout = kHubTimeout;
  call.idle_timeout = kHubTimeout;
  // The hub's data is at most as old as the request.
  const core::Instant requested_at = core::RuntimeClock::now();
  const net::HttpResponse response = co_await m_client->Fetch(std::move(call));
  if (response.status != kOk) {
    throw PlatformError(PlatformFault::kBusy,
                        "status " + std::to_string(response.status));
  }
  HubUpdate update = HubUpdateFromBytes(response.body, requested_at);
  aCursor.start = update.start;
  aCursor.parts = update.parts.cursor;
  aCursor.supports_loads = update.has_loads;
  m_pending_loads = co_await ExchangeLoads(std::move(update.loads));
  m_stores.ApplyUpdate(update.parts, update.clock_ms, requested_at);
  if (update.rows) {
    const core::Instant as_of = requested_at - update.rows->age;
    const bool has_unread =
      m_rows.ApplyUpdate(update.rows->bytes, as_of, requested_at);
    if (!has_unread) {
      m_hooks.on_synced(as_of);
    }
    m_paths.OnHubFeed(core::RuntimeClock::now() + kHubRowsLifetime);
  }
  co_return update.parts.has_more;
}

HubUpdate
HubExchange::UpdateFor(const net::HttpRequest& aRequest)
{
  const core::Instant now = core::RuntimeClock::now();
  const bool has_loads = aRequest.Query("form") == kLoadsEncoding;
  if (has_loads) {
    for (const core::TargetLoadReport& load :
         LoadsFromBytes(aRequest.body, now)) {
      OnReported(load);
    }
  }
  const bool knows_start = aRequest.Query("start") == m_start;
  core::PartCursor cursor;
  if (knows_start) {
    cursor.next = ParseNumber(aRequest.Query("after"));
    cursor.since = ParseNumber(aRequest.Query("since"));
  }
  HubUpdate update;
  update.start = m_start;
  update.has_loads = has_loads;
  update.loads = m_loads.Busiest(now);
  update.parts = m_stores.Log().ReadAfter(cursor, now);
  update.clock_ms = m_stores.ClockMs(now);
  update.rows = m_rows.UpdateSince(aRequest.Query("rows").value_or(""), now);
  if (update.rows && update.rows->age > kMaxRowAge) {
    update.rows.reset();
  }
  return update;
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
      ToBytes(UpdateFor(aExchange.Request()), core::RuntimeClock::now());
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
    for (const core::TargetLoadReport& load :
         LoadsFromBytes(aExchange.Request().body, now)) {
      m_loads.Put(load);
    }
  }
  co_await aExchange.Send(std::move(response));
}

} // namespace jujubehead::node
