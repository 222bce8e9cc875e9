#include "store_watch.hpp"

#include <utility> // for move, exchange

#include <boost/asio/co_spawn.hpp> // for co_spawn
#include <boost/asio/detached.hpp> // for detached

#include "jujubehead/net/timer.hpp" // for Sleep

#include "../forward/decision_log.hpp" // for DecisionLog
#include "follow.hpp" // for JitteredRetryDelay, RoleCheckInterval

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

/// Multiple of the usual retry delay for a store that is busy, since many other
/// instances poll it.
constexpr int kBusyRetryFactor = 4;

/// Wait of a reader with followers. A store's state counts as stale after
/// 900 ms, of which the polls of two relays and a follower take half.
constexpr core::Duration kHubWait = std::chrono::milliseconds(250);

} // namespace

StoreWatch::StoreWatch(asio::io_context& aContext,
                       StoreCalls& aCalls,
                       const core::HubRole& aRole,
                       StoreWatchHooks aHooks)
  : m_context(aContext)
  , m_calls(aCalls)
  , m_role(aRole)
  , m_hooks(std::move(aHooks))
{
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
StoreWatch::NameOf(PollOutcome aOutcome)
{
  switch (aOutcome) {
    case PollOutcome::kAnswered:
      return "heard";
    case PollOutcome::kBusy:
      return "busy";
    case PollOutcome::kSilent:
      break;
  }
  return "silent";
}

asio::awaitable<StoreWatch::PollOutcome>
StoreWatch::PollStore(const core::DeclaredStore& aStore,
                      core::Watchers aWatchers,
                      StoreCursor& aCursor)
{
  std::string why;
  PollOutcome outcome = PollOutcome::kSilent;
  try {
    core::WatchPacingOptions pacing;
    if (m_role.HasFollowers()) {
      pacing.default_wait = kHubWait;
    }
    // A store that was silent may have restarted. It answers soonest if it need
    // not wait for events.
    const core::Duration wait = aCursor.last_outcome == PollOutcome::kSilent
                                  ? pacing.contended_wait
                                  : core::WatchTimeout(aWatchers, pacing);
    core::PartEventPage page =
      co_await m_calls.Read(aStore.address, aCursor.since, wait);
    const core::Instant now = core::RuntimeClock::now();
    page.started_by = now;
    // A restarted store numbers its events from the start again.
    const bool is_new = page.epoch != aCursor.epoch;
    const bool is_restart = is_new && aCursor.epoch != 0;
    if (is_restart) {
      DecisionLog::WriteUnthrottled(LogLine("store_restarted")
                                      .Add("store", aStore.id.View())
                                      .Add("epoch", page.epoch));
    }
    aCursor.since = is_restart ? 0 : page.next;
    aCursor.epoch = page.epoch;
    if (page.clock_ms) {
      m_clock.OnReading(*page.clock_ms, now);
    }
    m_log.OnPage(aStore.id, page, now);
    std::vector<core::StorePage> pages;
    pages.push_back({ aStore.id, std::move(page), now });
    m_hooks.on_pages(std::move(pages));
    outcome = PollOutcome::kAnswered;
  } catch (const PlatformError& error) {
    why = error.what();
    outcome = error.Fault() == PlatformFault::kBusy ? PollOutcome::kBusy
                                                    : PollOutcome::kSilent;
  } catch (const std::exception& error) {
    why = error.what();
  }
  if (outcome != aCursor.last_outcome) {
    DecisionLog::WriteUnthrottled(LogLine("store_heard")
                                    .Add("store", aStore.id.View())
                                    .Add("word", NameOf(outcome))
                                    .Add("why", why));
  }
  aCursor.last_outcome = outcome;
  co_return outcome;
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
    if (!m_role.Watches(core::RuntimeClock::now())) {
      const core::Duration pause = RoleCheckInterval(m_role);
      co_await net::Sleep(pause);
      continue;
    }
    const core::Watchers watchers{ m_role.Readers(), aStore.max_watchers };
    const core::Instant started = core::RuntimeClock::now();
    const PollOutcome outcome = co_await PollStore(aStore, watchers, cursor);
    core::Duration pause =
      core::WatchPause(core::RuntimeClock::now() - started, watchers);
    if (outcome == PollOutcome::kBusy) {
      // The store is up, so its last page stays valid for the usual time.
      pause = kBusyRetryFactor * JitteredRetryDelay();
    } else if (outcome == PollOutcome::kSilent) {
      m_log.OnNoResponse(aStore.id);
      m_hooks.on_failure(aStore.id);
      pause = JitteredRetryDelay();
    }
    co_await net::Sleep(pause);
  }
}

void
StoreWatch::ApplyUpdate(const core::PartLogPage& aUpdate,
                        std::optional<std::int64_t> aClockMs,
                        core::Instant aSentAt)
{
  const core::Instant received_at = core::RuntimeClock::now();
  std::map<core::StoreId, core::PartEventPage> pages;
  for (const core::StoreStatus& store : aUpdate.stores) {
    core::PartEventPage& page = pages[store.store];
    page.epoch = store.epoch;
    page.started_by = received_at - store.uptime;
    page.clock_ms = aClockMs;
  }
  for (const core::PartChange& change : aUpdate.changes) {
    pages[change.store].events.push_back(
      { change.scope, change.part, change.tokens, change.tokens > 0 });
  }
  const bool is_logged = m_role.HasFollowers();
  if (is_logged && aUpdate.is_snapshot) {
    m_log.BeginSnapshot();
    m_is_snapshot_open = true;
  }
  std::vector<core::StorePage> all;
  all.reserve(aUpdate.stores.size());
  for (const core::StoreStatus& store : aUpdate.stores) {
    core::PartEventPage& page = pages[store.store];
    const core::Instant as_of = aSentAt - store.age;
    if (is_logged) {
      m_log.OnPage(store.store, page, as_of);
    }
    // Not for the log: it compares a snapshot as a whole, which spans pages.
    page.is_snapshot = aUpdate.is_snapshot;
    all.push_back({ store.store, std::move(page), as_of });
  }
  m_hooks.on_pages(std::move(all));
  if (m_is_snapshot_open && !aUpdate.has_more) {
    m_log.EndSnapshot();
    m_is_snapshot_open = false;
  }
  if (aClockMs) {
    m_clock.OnReading(*aClockMs, received_at);
  }
}

void
StoreWatch::Forget(core::SupersededScopes aScopes)
{
  m_log.DropWhere(
    [&](std::string_view aScope) { return aScopes.Contains(aScope); });
}

} // namespace jujubehead::node
