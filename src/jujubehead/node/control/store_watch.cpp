#include "store_watch.hpp"

#include <charconv> // for from_chars
#include <utility>  // for move, exchange

#include <boost/asio/co_spawn.hpp> // for co_spawn
#include <boost/asio/detached.hpp> // for detached

#include "jujubehead/core/membership/hubs.hpp" // for HubsOf
#include "jujubehead/net/random_text.hpp"      // for RandomText
#include "jujubehead/net/timer.hpp"            // for Sleep

#include "../forward/decision_log.hpp" // for DecisionLog
#include "follow.hpp"                  // for SpreadPause
#include "part_news_codec.hpp"         // for PartNewsMessage

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
constexpr std::size_t kStartBytes = 6;
/// A store that has no place for a call is asked again after this many of the
/// usual pauses, since many others ask it.
constexpr int kBusyPauses = 4;
/// Between two questions to a hub. With a hub's own call of a store it stays
/// below the time for which a store is believed.
constexpr core::Duration kHubPause = std::chrono::milliseconds(220);
/// A hub answers from memory; one that takes longer is frozen or cut off.
constexpr core::Duration kHubTimeout = std::chrono::milliseconds(300);
/// Between two looks of an instance that is no hub whether it became one.
constexpr core::Duration kRoleTime = std::chrono::seconds(2);

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

StoreWatch::StoreWatch(asio::io_context& aContext,
                       StoreCalls& aCalls,
                       const core::InstanceBook& aInstances,
                       std::string aSelf,
                       StoreWatchHooks aHooks)
  : m_context(aContext)
  , m_calls(aCalls)
  , m_instances(aInstances)
  , m_self(std::move(aSelf))
  , m_start(net::RandomText(kStartBytes))
  , m_hooks(std::move(aHooks))
  , m_client(net::HttpClient::Create(aContext))
{
  OnInstances();
}

void
StoreWatch::Start()
{
  asio::co_spawn(m_context, FollowHubs(), asio::detached);
}

void
StoreWatch::OnInstances()
{
  m_hubs = core::HubsOf(m_instances.All(), m_self);
  m_is_hub = core::IsAmong(m_hubs, m_self);
}

void
StoreWatch::SetStores(const std::vector<core::DeclaredStore>& aStores)
{
  const auto before = std::exchange(m_followed, {});
  for (const core::DeclaredStore& store : aStores) {
    m_followed[store.id] = store.address;
  }
  for (const core::DeclaredStore& store : aStores) {
    const auto known = before.find(store.id);
    if (known == before.end() || known->second != store.address) {
      asio::co_spawn(m_context, FollowStore(store), asio::detached);
    }
  }
}

std::string_view
StoreWatch::NameOf(StoreWord aWord)
{
  switch (aWord) {
    case StoreWord::kHeard:
      return "heard";
    case StoreWord::kBusy:
      return "busy";
    case StoreWord::kSilent:
      break;
  }
  return "silent";
}

asio::awaitable<StoreWatch::StoreWord>
StoreWatch::AskStore(const core::DeclaredStore& aStore,
                     core::Watchers aWatchers,
                     StoreCursor& aCursor)
{
  std::string why;
  StoreWord word = StoreWord::kSilent;
  try {
    core::PartEventPage page = co_await m_calls.Read(
      aStore.address, aCursor.since, core::WatchWait(aWatchers));
    const core::Instant now = core::RuntimeClock::now();
    // A store that started anew counts its events from the beginning.
    const bool is_new = page.epoch != aCursor.epoch;
    aCursor.since = is_new && aCursor.epoch != 0 ? 0 : page.next;
    aCursor.epoch = page.epoch;
    if (page.clock_ms) {
      m_clock.OnReading(*page.clock_ms, now);
    }
    m_log.OnPage(aStore.id, page, now);
    m_hooks.on_page(aStore.id, std::move(page), now);
    word = StoreWord::kHeard;
  } catch (const PlatformError& error) {
    why = error.what();
    word = error.Fault() == PlatformFault::kBusy ? StoreWord::kBusy
                                                 : StoreWord::kSilent;
  } catch (const std::exception& error) {
    why = error.what();
  }
  if (word != aCursor.last_word) {
    DecisionLog::WriteAlways(LogLine("store_heard")
                               .Add("store", aStore.id.View())
                               .Add("word", NameOf(word))
                               .Add("why", why));
  }
  aCursor.last_word = word;
  co_return word;
}

asio::awaitable<void>
StoreWatch::FollowStore(core::DeclaredStore aStore)
{
  StoreCursor cursor;
  for (;;) {
    const auto known = m_followed.find(aStore.id);
    if (known == m_followed.end() || known->second != aStore.address) {
      co_return;
    }
    if (!m_is_hub) {
      co_await net::Sleep(kRoleTime);
      continue;
    }
    const core::Watchers watchers{ m_hubs.size(), aStore.most_watchers };
    const core::Instant begun = core::RuntimeClock::now();
    const StoreWord word = co_await AskStore(aStore, watchers, cursor);
    core::Duration pause =
      core::WatchPause(core::RuntimeClock::now() - begun, watchers);
    if (word == StoreWord::kBusy) {
      // It is there, so what it told is believed for its usual time.
      pause = kBusyPauses * SpreadPause();
    } else if (word == StoreWord::kSilent) {
      m_log.OnSilence(aStore.id);
      m_hooks.on_silence(aStore.id);
      pause = SpreadPause();
    }
    co_await net::Sleep(pause);
  }
}

asio::awaitable<void>
StoreWatch::FollowHubs()
{
  HubCursor cursor;
  std::size_t next = 0;
  for (;;) {
    if (m_is_hub) {
      co_await net::Sleep(kRoleTime);
      continue;
    }
    const std::size_t count = m_hubs.size();
    const core::KnownInstance hub = m_hubs[next % count];
    std::string why;
    try {
      co_await AskHub(hub, cursor);
    } catch (const std::exception& error) {
      why = error.what();
    }
    if (!why.empty()) {
      DecisionLog::WriteAlways(
        LogLine("hub_left").Add("hub", hub.id).Add("why", why));
      ++next;
      if (next % count == 0) {
        TakeSilence();
        const core::Duration pause = SpreadPause();
        co_await net::Sleep(pause);
      }
      continue;
    }
    co_await net::Sleep(kHubPause);
  }
}

asio::awaitable<void>
StoreWatch::AskHub(core::KnownInstance aHub, HubCursor& aCursor)
{
  if (aCursor.hub != aHub.id) {
    aCursor = { aHub.id, {}, 0 };
  }
  net::HttpCall call;
  call.authority = aHub.address;
  call.target = std::string(kPartNewsPath) + "?start=" + aCursor.start +
                "&after=" + std::to_string(aCursor.next);
  call.connect_timeout = kHubTimeout;
  call.idle_timeout = kHubTimeout;
  const core::Instant asked = core::RuntimeClock::now();
  const net::HttpResponse response = co_await m_client->Fetch(std::move(call));
  if (response.status != kOk) {
    throw PlatformError(PlatformFault::kBusy,
                        "status " + std::to_string(response.status));
  }
  const PartNewsMessage message = PartNewsOf(response.body);
  aCursor.start = message.start;
  aCursor.next = message.news.next;
  Take(message.news, message.clock_ms, asked);
}

void
StoreWatch::Take(const core::PartNews& aNews,
                 std::optional<std::int64_t> aClockMs,
                 core::Instant aTold)
{
  std::map<core::StoreId, core::PartEventPage> pages;
  for (const core::HeardStore& store : aNews.stores) {
    core::PartEventPage& page = pages[store.store];
    page.epoch = store.epoch;
    page.is_all = aNews.is_all;
    page.clock_ms = aClockMs;
  }
  for (const core::PartChange& change : aNews.changes) {
    pages[change.store].events.push_back(
      { change.scope, change.part, change.tokens, change.tokens > 0 });
  }
  for (const core::HeardStore& store : aNews.stores) {
    // The hub's answer is as old as the question at most.
    m_hooks.on_page(
      store.store, std::move(pages[store.store]), aTold - store.age);
  }
}

void
StoreWatch::TakeSilence()
{
  for (const auto& [store, address] : m_followed) {
    m_hooks.on_silence(store);
  }
}

asio::awaitable<void>
StoreWatch::Handle(net::HttpExchange& aExchange)
{
  const net::HttpRequest& request = aExchange.Request();
  net::HttpResponse response;
  if (!m_is_hub) {
    response.status = kUnavailable;
    response.body = "this instance watches no stores\n";
  } else {
    const core::Instant now = core::RuntimeClock::now();
    const bool knows_start = request.Query("start") == m_start;
    const std::uint64_t after =
      knows_start ? NumberOf(request.Query("after")) : 0;
    PartNewsMessage message;
    message.start = m_start;
    message.news = m_log.ReadAfter(after, now);
    message.clock_ms = m_clock.At(now);
    response.headers.Add("Content-Type", "application/cbor");
    response.body = ToBytes(message);
  }
  co_await aExchange.Send(std::move(response));
}

} // namespace jujubehead::node
