#include "jujubehead/core/context/part_log.hpp"

#include <iterator> // for prev
#include <utility>  // for move

namespace jujubehead::core {
namespace {

std::string
KeyOf(const PartChange& aChange)
{
  return aChange.scope + '\n' + aChange.part;
}

} // namespace

PartLog::PartLog(PartLogOptions aOptions)
  : m_options(aOptions)
{
}

void
PartLog::OnPage(const StoreId& aStore, const PartEventPage& aPage, Instant aNow)
{
  Store& store = m_stores[aStore];
  if (store.epoch != aPage.epoch) {
    // The asker empties its own picture of the store when it sees the epoch.
    Forget(store);
    store.epoch = aPage.epoch;
  }
  store.heard = aNow;
  for (const PartEvent& event : aPage.events) {
    Put(store,
        { aStore, event.scope, event.part, event.is_kept ? event.tokens : 0 });
  }
  DropOldestGone();
}

void
PartLog::OnSilence(const StoreId& aStore)
{
  const auto found = m_stores.find(aStore);
  if (found != m_stores.end()) {
    found->second.heard.reset();
  }
}

void
PartLog::DropWhere(const std::function<bool(std::string_view aScope)>& aIsAsked)
{
  for (auto change = m_changes.begin(); change != m_changes.end();) {
    if (!aIsAsked(change->second.scope)) {
      ++change;
      continue;
    }
    m_stores.at(change->second.store).places.erase(KeyOf(change->second));
    m_gone.erase(change->first);
    change = m_changes.erase(change);
  }
}

void
PartLog::Put(Store& aStore, PartChange aChange)
{
  const std::string key = KeyOf(aChange);
  const auto known = aStore.places.find(key);
  if (known == aStore.places.end() && aChange.tokens == 0) {
    return; // Nobody was told of it.
  }
  if (known != aStore.places.end()) {
    m_changes.erase(known->second);
    m_gone.erase(known->second);
  }
  ++m_last;
  aStore.places[key] = m_last;
  if (aChange.tokens == 0) {
    m_gone.emplace(m_last, key);
  }
  m_changes.emplace(m_last, std::move(aChange));
}

void
PartLog::Forget(Store& aStore)
{
  for (const auto& [key, place] : aStore.places) {
    m_changes.erase(place);
    m_gone.erase(place);
  }
  aStore.places.clear();
}

void
PartLog::DropOldestGone()
{
  while (m_gone.size() > m_options.most_gone) {
    const auto oldest = m_gone.begin();
    m_dropped = oldest->first;
    const auto change = m_changes.find(oldest->first);
    m_stores.at(change->second.store).places.erase(oldest->second);
    m_changes.erase(change);
    m_gone.erase(oldest);
  }
}

PartNews
PartLog::ReadAfter(const PartCursor& aCursor, Instant aNow) const
{
  PartNews news;
  news.is_all =
    aCursor.next == 0 || aCursor.since < m_dropped || aCursor.next > m_last;
  for (const auto& [id, store] : m_stores) {
    const Duration age = store.heard ? aNow - *store.heard : kSilentAge;
    news.stores.push_back({ id, store.epoch, age });
  }
  news.cursor.next = m_last;
  auto change =
    news.is_all ? m_changes.begin() : m_changes.upper_bound(aCursor.next);
  for (; change != m_changes.end(); ++change) {
    if (news.changes.size() == m_options.most_at_once) {
      news.cursor.next = std::prev(change)->first;
      news.has_more = true;
      break;
    }
    if (!news.is_all || change->second.tokens > 0) {
      news.changes.push_back(change->second);
    }
  }
  const bool is_under_way = news.has_more && !news.is_all;
  news.cursor.since = is_under_way ? aCursor.since : m_last;
  return news;
}

} // namespace jujubehead::core
