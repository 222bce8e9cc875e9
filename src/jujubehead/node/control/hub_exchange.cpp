#include "hub_exchange.hpp"

#include <optional> // for optional
#include <utility>  // for move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/use_awaitable.hpp> // for use_awaitable

#include "jujubehead/core/membership/hub_selector.hpp" // for HubSelector
#include "jujubehead/core/membership/hub_timing.hpp"   // for kHubTimeout
#include "jujubehead/net/random_text.hpp"              // for RandomText
#include "jujubehead/net/timer.hpp"                    // for Sleep
#include "jujubehead/node/control/platform.hpp"        // for PlatformError

#include "../forward/decision_log.hpp" // for DecisionLog
#include "follow.hpp"                  // for RoleCheckInterval
#include "query_number.hpp"            // for QueryNumber

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
constexpr std::size_t kStartBytes = 6;
/// Version of the loads encoding; an older instance uses another one, and
/// neither accepts the other's.
constexpr const char* kLoadsEncoding = "2";
/// Pause between two pages of parts. When many instances start at once, all
/// their relays' time would go into pages, and polls would time out.
constexpr core::Duration kPartPagePause = std::chrono::milliseconds(60);
/// Rows in one reply to an instance that starts, of some 300 bytes each: a
/// small instance's link transfers them within the time-out of a poll, and a
/// relay sends them to dozens at once.
constexpr std::size_t kMaxRowsInReply = 800;

} // namespace

HubExchange::HubExchange(asio::io_context& aContext,
                         core::HubRole& aRole,
                         StoreWatch& aStores,
                         RowCache& aRows,
                         core::StorePaths& aPaths,
                         PoisonExchange& aPoison,
                         HubHooks aHooks)
  : m_context(aContext)
  , m_role(aRole)
  , m_stores(aStores)
  , m_rows(aRows)
  , m_paths(aPaths)
  , m_poison(aPoison)
  , m_hooks(std::move(aHooks))
  , m_start(net::RandomText(kStartBytes))
  , m_client(net::HttpClient::Create(aContext))
{
  m_direct_read_delay = core::Duration(static_cast<core::Duration::rep>(
    m_jitter(m_random) * static_cast<double>(core::kDirectReadSpread.count())));
}

bool
HubExchange::IsHub() const
{
  return m_role.Level() != core::HubLevel::kFollower;
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
  int stale_polls = 0; // In a row.
  for (;;) {
    UpdateLevel();
    if (m_role.Upstreams().empty()) {
      co_await ActAsReader();
      continue;
    }
    const core::KnownInstance hub =
      m_role.Upstreams()[choice.Next(m_role.Upstreams().size())];
    core::Duration pause{};
    std::optional<core::HubFailure> failure;
    std::string why;
    try {
      const PollResult result = co_await PollHub(hub, m_cursors[hub.id]);
      pause = PauseAfter(result);
      stale_polls = result == PollResult::kStale ? stale_polls + 1 : 0;
      if (stale_polls > core::kMaxStalePolls) {
        stale_polls = 0;
        why = "its rows are stale";
        failure = core::HubFailure::kNotServing;
      } else {
        choice.OnAnswer();
      }
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

void
HubExchange::UpdateLevel()
{
  const core::HubLevel level = m_role.Level();
  if (m_level == level) {
    return;
  }
  // A follower keeps no log of parts; as a relay it needs all of them again.
  if (m_level == core::HubLevel::kFollower) {
    m_cursors.clear();
  }
  m_level = level;
  DecisionLog::WriteUnthrottled(
    LogLine("hub_level")
      .Add("level", core::NameOf(level))
      .Add("upstream",
           m_role.Upstreams().empty() ? "none" : m_role.Upstreams().front().id)
      .Add("instances", std::uint64_t(m_role.Known()))
      .Add("readers", std::uint64_t(m_role.Readers()))
      .Add("relays", std::uint64_t(m_role.Relays())));
}

asio::awaitable<void>
HubExchange::ActAsReader()
{
  if (m_role.HasFollowers()) {
    co_await SyncOwnLoads();
    ForwardLoads();
  }
  const core::Duration pause = m_role.HasFollowers()
                                 ? core::kRelayPollInterval
                                 : RoleCheckInterval(m_role);
  co_await net::Sleep(pause);
}

core::Duration
HubExchange::PauseAfter(PollResult aResult) const
{
  if (aResult == PollResult::kHasMoreRows) {
    return {};
  }
  if (aResult == PollResult::kHasMoreParts) {
    return m_role.HasFollowers() ? core::Duration(0) : kPartPagePause;
  }
  return m_role.HasFollowers() ? core::kRelayPollInterval
                               : core::kFollowerPollInterval;
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
  core::LoadReports::Page page =
    m_loads.BusiestAfter(m_own_next_load, core::RuntimeClock::now());
  m_own_next_load = page.next;
  const std::vector<core::TargetLoadReport> own =
    co_await ExchangeLoads(std::move(page.reports));
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
HubExchange::ReportSignal(const core::TargetLoadReport& aReport)
{
  if (!m_role.Upstreams().empty()) {
    m_pending_loads.push_back(aReport);
    return;
  }
  OnReported(aReport);
  // Without followers, loads are not exchanged.
  if (!m_role.HasFollowers() && !m_is_forwarding_soon) {
    m_is_forwarding_soon = true;
    asio::co_spawn(m_context, ForwardLoadsSoon(), asio::detached);
  }
}

asio::awaitable<void>
HubExchange::ForwardLoadsSoon()
{
  co_await net::Sleep(core::kRelayPollInterval);
  m_is_forwarding_soon = false;
  ForwardLoads();
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
  for (const core::KnownInstance& hub : m_role.OtherReaders()) {
    if (m_pending_hubs.insert(hub.id).second) {
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
  call.connect_timeout = core::kHubTimeout;
  call.idle_timeout = core::kHubTimeout;
  m_counters.loads_sent += call.body.size();
  try {
    co_await m_client->Fetch(std::move(call));
  } catch (const std::exception&) {
    // The next report replaces this one. A hub that fails is also noticed and
    // logged by the instances that poll it.
  }
  m_pending_hubs.erase(aHub.id);
}

asio::awaitable<std::vector<core::TargetLoadReport>>
HubExchange::LoadsForUpstream()
{
  std::vector<core::TargetLoadReport> own = co_await ExchangeLoads({});
  own.insert(own.end(), m_pending_loads.begin(), m_pending_loads.end());
  m_pending_loads.clear();
  if (!m_role.HasFollowers()) {
    co_return own;
  }
  for (const core::TargetLoadReport& load : own) {
    OnReported(load);
  }
  co_return m_unsent_loads.TakeBusiest(core::RuntimeClock::now());
}

asio::awaitable<HubExchange::PollResult>
HubExchange::PollHub(core::KnownInstance aHub, Cursor& aCursor)
{
  if (m_upstream != aHub.id) {
    m_upstream = aHub.id;
    m_rows.AbandonFill();
  }
  const std::vector<core::TargetLoadReport> loads = co_await LoadsForUpstream();
  net::HttpCall call;
  call.authority = aHub.address;
  call.method = "POST";
  if (aCursor.supports_loads) {
    call.body = LoadsToBytes(loads, core::RuntimeClock::now());
    m_counters.loads_sent += call.body.size();
  }
  call.target = std::string(kHubUpdatesPath) + "?form=" + kLoadsEncoding +
                "&start=" + aCursor.start +
                "&after=" + std::to_string(aCursor.parts.next) +
                "&since=" + std::to_string(aCursor.parts.since) +
                "&loads=" + std::to_string(aCursor.loads) +
                "&poison=" + std::to_string(aCursor.poison_reports) +
                "&paged=1&rows=" + m_rows.Cursors();
  call.connect_timeout = core::kHubTimeout;
  call.idle_timeout = core::kHubTimeout;
  // The hub's data is at most as old as the request.
  const core::Instant requested_at = core::RuntimeClock::now();
  const net::HttpResponse response = co_await m_client->Fetch(std::move(call));
  if (response.status != kOk) {
    throw PlatformError(PlatformFault::kBusy,
                        "status " + std::to_string(response.status));
  }
  m_counters.received += response.body.size();
  HubUpdate update = HubUpdateFromBytes(response.body, requested_at);
  aCursor.start = update.start;
  aCursor.parts = update.parts.cursor;
  aCursor.loads = update.next_loads;
  aCursor.supports_loads = update.has_loads;
  aCursor.poison_reports = update.next_poison_report;
  m_poison.OnPage(std::move(update.poison_reports));
  if (m_role.HasFollowers()) {
    for (const core::TargetLoadReport& load : update.loads) {
      m_loads.Put(load);
    }
  }
  const std::vector<core::TargetLoadReport> own =
    co_await ExchangeLoads(std::move(update.loads));
  // Limits and brittle services may have been reported meanwhile.
  m_pending_loads.insert(m_pending_loads.end(), own.begin(), own.end());
  m_stores.ApplyUpdate(update.parts, update.clock_ms, requested_at);
  if (!update.rows) {
    co_return PollResult::kStale;
  }
  const core::Instant as_of = requested_at - update.rows->age;
  const bool has_unread = m_rows.ApplyUpdate(*update.rows, as_of, requested_at);
  if (update.rows->has_more) {
    co_return PollResult::kHasMoreRows;
  }
  if (!has_unread) {
    m_hooks.on_synced(as_of);
  }
  m_role.OnUpstreamAnswer(core::RuntimeClock::now());
  // Counted from the store's confirmation: otherwise rows that hubs pass on
  // would be renewed at each level.
  m_paths.OnHubFeed(as_of + m_role.RowsLifetime() + m_direct_read_delay);
  co_return update.parts.has_more ? PollResult::kHasMoreParts
                                  : PollResult::kComplete;
}

std::vector<Gauge>
HubExchange::Gauges() const
{
  std::vector<Gauge> gauges;
  const auto add = [&](const char* aName, const char* aHelp, auto aValue) {
    gauges.push_back({ aName, aHelp, "", "", static_cast<double>(aValue) });
  };
  add("jujubehead_hub_level",
      "Place in the tree of updates: 0 reader, 1 standby, 2 relay, 3 follower.",
      m_role.Level());
  add("jujubehead_hub_known_instances",
      "Instances that this one knows, itself included.",
      m_role.Known());
  add("jujubehead_hub_polls_answered",
      "Polls of other instances answered since the start.",
      m_counters.polls_answered);
  add("jujubehead_hub_sent_bytes",
      "Bytes of the replies to them.",
      m_counters.sent);
  add("jujubehead_hub_rows_sent_bytes",
      "Of these, rows of the operators' store.",
      m_counters.rows_sent);
  add("jujubehead_hub_loads_sent_bytes",
      "Bytes of targets' loads sent to hubs since the start.",
      m_counters.loads_sent);
  add("jujubehead_hub_received_bytes",
      "Bytes of the replies to this instance's polls since the start.",
      m_counters.received);
  return gauges;
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
    cursor.next = QueryNumber(aRequest.Query("after"));
    cursor.since = QueryNumber(aRequest.Query("since"));
  }
  HubUpdate update;
  update.start = m_start;
  update.has_loads = has_loads;
  const std::uint64_t loads_after =
    knows_start ? QueryNumber(aRequest.Query("loads")) : 0;
  core::LoadReports::Page loads = m_loads.BusiestAfter(loads_after, now);
  update.loads = std::move(loads.reports);
  update.next_loads = loads.next;
  core::PoisonReportLog::Page poison =
    m_poison.PageAfter(knows_start ? QueryNumber(aRequest.Query("poison")) : 0);
  update.poison_reports = std::move(poison.reports);
  update.next_poison_report = poison.next;
  update.parts = m_stores.Log().ReadAfter(cursor, now);
  update.clock_ms = m_stores.ClockMs(now);
  const bool is_paged = aRequest.Query("paged").has_value();
  update.rows = m_rows.UpdateSince(aRequest.Query("rows").value_or(""),
                                   is_paged ? kMaxRowsInReply : kAllRows,
                                   now);
  if (update.rows && update.rows->age > m_role.RowsLifetime()) {
    update.rows.reset(); // The polling instance then asks another hub.
  }
  return update;
}

asio::awaitable<void>
HubExchange::Handle(net::HttpExchange& aExchange)
{
  net::HttpResponse response;
  if (!IsHub()) {
    response.status = kUnavailable;
    response.body = "this instance is not a hub\n";
  } else {
    const core::Instant now = core::RuntimeClock::now();
    const HubUpdate update = UpdateFor(aExchange.Request());
    response.headers.Add("Content-Type", "application/cbor");
    response.body = ToBytes(update, now);
    ++m_counters.polls_answered;
    m_counters.rows_sent += update.rows ? update.rows->bytes.size() : 0;
    m_counters.sent += response.body.size();
  }
  co_await aExchange.Send(std::move(response));
}

asio::awaitable<void>
HubExchange::HandleLoads(net::HttpExchange& aExchange)
{
  const core::Instant now = core::RuntimeClock::now();
  net::HttpResponse response;
  if (!IsHub()) {
    response.status = kUnavailable;
  } else {
    std::vector<core::TargetLoadReport> loads =
      LoadsFromBytes(aExchange.Request().body, now);
    for (const core::TargetLoadReport& load : loads) {
      m_loads.Put(load);
    }
    if (!m_role.HasFollowers()) {
      m_hooks.apply_reports(std::move(loads));
    }
  }
  co_await aExchange.Send(std::move(response));
}

} // namespace jujubehead::node
