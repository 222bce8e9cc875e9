#include "block_reclaimer.hpp"

#include <string_view> // for string_view
#include <utility>     // for move

#include <boost/asio/co_spawn.hpp> // for co_spawn
#include <boost/asio/detached.hpp> // for detached

#include "jujubehead/net/timer.hpp" // for Sleep

#include "../forward/decision_log.hpp" // for DecisionLog
#include "../reading_times.hpp"        // for kHearTime

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

constexpr core::Duration kCheckInterval = std::chrono::seconds(1);
/// Covers message transit and clock drift.
constexpr core::Duration kMargin = std::chrono::milliseconds(1000);
/// Delay per rank: a call to the store, and the time until all instances have
/// received its events.
constexpr core::Duration kRankDelay = std::chrono::milliseconds(1500);
/// Blocks per call; their names take some 40 bytes each.
constexpr std::size_t kMaxBatch = 400;

/// Blocks superseded for this long have no readers.
constexpr core::Duration kUnreadAfter =
  kHearTime + core::kPartReadTime + kMargin;

} // namespace

BlockReclaimer::BlockReclaimer(asio::io_context& aContext,
                               StoreCalls& aCalls,
                               BlockReclaimerHooks aHooks)
  : m_context(aContext)
  , m_calls(aCalls)
  , m_hooks(std::move(aHooks))
{
}

void
BlockReclaimer::Start()
{
  asio::co_spawn(m_context, Run(), asio::detached);
}

void
BlockReclaimer::SetStores(const std::vector<core::DeclaredStore>& aStores)
{
  m_stores = aStores;
  std::vector<core::StoreId> ids;
  ids.reserve(aStores.size());
  for (const core::DeclaredStore& store : aStores) {
    ids.push_back(store.id);
  }
  m_parts.KeepOnly(ids);
}

void
BlockReclaimer::SetWanted(
  const std::map<core::ModelId, core::DesiredWeights>& aWanted)
{
  const core::Instant now = core::RuntimeClock::now();
  for (const auto& [model, wanted] : aWanted) {
    m_versions.OnWanted(model, wanted.Newest(), now);
  }
}

void
BlockReclaimer::OnPage(const core::StoreId& aStore,
                       const core::PartEventPage& aPage,
                       core::Instant aAsOf)
{
  m_parts.OnPage(aStore, aPage, aAsOf);
}

void
BlockReclaimer::OnNoResponse(const core::StoreId& aStore)
{
  m_parts.OnNoResponse(aStore);
}

asio::awaitable<void>
BlockReclaimer::Run()
{
  for (;;) {
    co_await net::Sleep(kCheckInterval);
    const core::Instant now = core::RuntimeClock::now();
    const std::size_t due = m_versions.CountSupersededFor(kUnreadAfter, now);
    if (due != m_due_count) {
      m_due_count = due;
      m_has_pending = true;
      m_hooks.on_unused(core::SupersededScopes(m_versions, now - kUnreadAfter));
    }
    if (!m_has_pending) {
      continue;
    }
    m_has_pending = false;
    const std::vector<core::DeclaredStore> stores = m_stores;
    for (const core::DeclaredStore& store : stores) {
      const bool has_remaining = co_await FreeAt(store);
      m_has_pending |= has_remaining;
    }
  }
}

std::vector<core::ScopedPart>
BlockReclaimer::SupersededAt(const core::StoreId& aStore,
                             core::Duration aFor) const
{
  core::SupersededScopes scopes(m_versions, core::RuntimeClock::now() - aFor);
  return m_parts.PartsWhere(aStore, kMaxBatch, [&](std::string_view aScope) {
    return scopes.Contains(aScope);
  });
}

asio::awaitable<bool>
BlockReclaimer::FreeAt(core::DeclaredStore aStore)
{
  if (SupersededAt(aStore.id, kUnreadAfter).empty()) {
    co_return false;
  }
  if (!m_parts.IsReachable(aStore.id, core::RuntimeClock::now())) {
    co_return true;
  }
  const auto rank = static_cast<core::Duration::rep>(m_hooks.rank(aStore.id));
  const core::Duration due = kUnreadAfter + rank * kRankDelay;
  for (;;) {
    std::vector<core::ScopedPart> parts = SupersededAt(aStore.id, due);
    if (parts.empty()) {
      break;
    }
    const bool is_freed = co_await Free(aStore, std::move(parts));
    if (!is_freed) {
      co_return true;
    }
  }
  co_return !SupersededAt(aStore.id, kUnreadAfter).empty();
}

asio::awaitable<bool>
BlockReclaimer::Free(core::DeclaredStore aStore,
                     std::vector<core::ScopedPart> aParts)
{
  FreeRequest order;
  order.epoch = m_parts.EpochOf(aStore.id);
  order.parts = std::move(aParts);
  std::string why;
  try {
    co_await m_calls.Free(aStore.address, order);
    m_parts.Drop(aStore.id, order.parts);
  } catch (const std::exception& error) {
    why = error.what();
  }
  LogLine line("superseded_blocks_freed");
  line.Add("store", aStore.id.View())
    .Add("blocks", std::uint64_t(order.parts.size()));
  if (!why.empty()) {
    line.Add("failed", why);
  }
  DecisionLog::WriteUnthrottled(line);
  co_return why.empty();
}

} // namespace jujubehead::node
