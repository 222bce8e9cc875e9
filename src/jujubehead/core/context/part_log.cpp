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
    // Readers clear their own entries of the store when they see the epoch.
    Clear(store);
    store.epoch = aPage.epoch;
  }
  store.last_answer = aNow;
  for (const PartEvent& event : aPage.events) {
    Put(
      store,
      { aStore, event.scope, event.part, event.is_stored ? event.tokens : 0 });
  }
  DropOldestRemoved();
}

void
PartLog::OnNoResponse(const StoreId& aStore)
{
  const auto found = m_stores.find(aStore);
  if (found != m_stores.end()) {
    found->second.last_answer.reset();
  }
}

void
PartLog::DropWhere(const std::function<bool(std::string_view aScope)>& aMatches)
{
  for (auto change = m_changes.begin(); change != m_changes.end();) {
    if (!aMatches(change->second.scope)) {
      ++change;
      continue;
    }
    m_stores.at(change->second.store).positions.erase(KeyOf(change->second));
    m_removed.erase(change->first);
    change = m_changes.erase(change);
  }
}

void
PartLog::Put(Store& aStore, PartChange aChange)
{
  const std::string key = KeyOf(aChange);
  const auto known = aStore.positions.find(key);
  if (known == aStore.positions.end() && aChange.tokens == 0) {
    return; // No reader knows the part.
  }
  if (known != aStore.positions.end()) {
    m_changes.erase(known->second);
    m_removed.erase(known->second);
  }
  ++m_last;
  aStore.positions[key] = m_last;
  if (aChange.tokens == 0) {
    m_removed.emplace(m_last, key);
  }
  m_changes.emplace(m_last, std::move(aChange));
}

void
PartLog::Clear(Store& aStore)
{
  for (const auto& [key, position] : aStore.positions) {
    m_changes.erase(position);
    m_removed.erase(position);
  }
  aStore.positions.clear();
}

void
PartLog::DropOldestRemoved()
{
  while (m_removed.size() > m_options.max_removed) {
    const auto oldest = m_removed.begin();
    m_dropped = oldest->first;
    const auto change = m_changes.find(oldest->first);
    m_stores.at(change->second.store).positions.erase(oldest->second);
    m_changes.erase(change);
    m_removed.erase(oldest);
  }
}

PartLogPage
PartLog::ReadAfter(const PartCursor& aCursor, Instant aNow) const
{
  PartLogPage page;
  page.is_snapshot =
    aCursor.next == 0 || aCursor.since < m_dropped || aCursor.next > m_last;
  for (const auto& [id, store] : m_stores) {
    const Duration age =
      store.last_answer ? aNow - *store.last_answer : kUnreachableAge;
    page.stores.push_back({ id, store.epoch, age });
  }
  page.cursor.next = m_last;
  auto change =
    page.is_snapshot ? m_changes.begin() : m_changes.upper_bound(aCursor.next);
  for (; change != m_changes.end(); ++change) {
    if (page.changes.size() == m_options.max_page_size) {
      page.cursor.next = std::prev(change)->first;
      page.has_more = true;
      break;
    }
    if (!page.is_snapshot || change->second.tokens > 0) {
      page.changes.push_back(change->second);
    }
  }
  const bool is_partial = page.has_more && !page.is_snapshot;
  page.cursor.since = is_partial ? aCursor.since : m_last;
  return page;
}

} // namespace jujubehead::core
