#include "store_keeper.hpp"

#include <utility> // for move

#include <boost/asio/co_spawn.hpp> // for co_spawn
#include <boost/asio/detached.hpp> // for detached

#include "jujubehead/core/context/cache_scope.hpp" // for CacheScopeOf
#include "jujubehead/net/timer.hpp"                // for Sleep

#include "../forward/decision_log.hpp" // for DecisionLog
#include "../reading_times.hpp"        // for kHearTime, kReadTime

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

constexpr core::Duration kLookTime = std::chrono::seconds(1);
/// For the ways of what was heard, and clocks that run unevenly.
constexpr core::Duration kMargin = std::chrono::milliseconds(1000);
/// The others wait for the first one's work to show.
constexpr core::Duration kOthersWait = std::chrono::seconds(3);
/// Parts in one call; their names take some 40 bytes each.
constexpr std::size_t kMostAtOnce = 400;

} // namespace

StoreKeeper::StoreKeeper(asio::io_context& aContext,
                         StoreCalls& aCalls,
                         std::function<bool()> aIsFirst)
  : m_context(aContext)
  , m_calls(aCalls)
  , m_is_first(std::move(aIsFirst))
{
}

void
StoreKeeper::Start()
{
  asio::co_spawn(m_context, Run(), asio::detached);
}

void
StoreKeeper::SetStores(const std::vector<core::DeclaredStore>& aStores)
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
StoreKeeper::SetWanted(
  const std::map<core::ModelId, core::WantedWeights>& aWanted)
{
  for (const auto& [model, wanted] : aWanted) {
    Newest& known = m_newest[model];
    if (wanted.Newest() > known.version) {
      known = { wanted.Newest(), core::RuntimeClock::now() };
    }
  }
}

void
StoreKeeper::OnPage(const core::StoreId& aStore,
                    const core::PartEventPage& aPage,
                    core::Instant aHeard)
{
  m_parts.OnPage(aStore, aPage, aHeard);
}

void
StoreKeeper::OnSilence(const core::StoreId& aStore)
{
  m_parts.OnSilence(aStore);
}

bool
StoreKeeper::IsReplaced(std::string_view aScope, core::Instant aNow) const
{
  const auto scope = core::CacheScopeOf(aScope);
  if (!scope) {
    return false;
  }
  const auto newest = m_newest.find(scope->model);
  if (newest == m_newest.end() ||
      scope->weight_version >= newest->second.version) {
    return false;
  }
  const core::Duration wait = kHearTime + kReadTime + kMargin +
                              (m_is_first() ? core::Duration(0) : kOthersWait);
  return aNow - newest->second.heard >= wait;
}

asio::awaitable<void>
StoreKeeper::Run()
{
  for (;;) {
    co_await net::Sleep(kLookTime);
    const std::vector<core::DeclaredStore> stores = m_stores;
    for (const core::DeclaredStore& store : stores) {
      co_await FreeAt(store);
    }
  }
}

asio::awaitable<void>
StoreKeeper::FreeAt(core::DeclaredStore aStore)
{
  const core::Instant now = core::RuntimeClock::now();
  if (!m_parts.IsPresent(aStore.id, now)) {
    co_return;
  }
  FreeOrder order;
  order.epoch = m_parts.EpochOf(aStore.id);
  order.parts =
    m_parts.PartsWhere(aStore.id, kMostAtOnce, [&](std::string_view aScope) {
      return IsReplaced(aScope, now);
    });
  const std::size_t count = order.parts.size();
  if (count == 0) {
    co_return;
  }
  std::string why;
  try {
    co_await m_calls.Free(aStore.address, order);
    m_parts.Drop(aStore.id, order.parts);
  } catch (const std::exception& error) {
    why = error.what();
  }
  LogLine line("replaced_parts_freed");
  line.Add("store", aStore.id.View()).Add("parts", std::uint64_t(count));
  if (!why.empty()) {
    line.Add("failed", why);
  }
  DecisionLog::WriteAlways(line);
}

} // namespace jujubehead::node
