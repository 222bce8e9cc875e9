#include "jujubehead/core/context/part_log.hpp"

#include <algorithm> // for max, min
#include <iterator>  // for prev
#include <set>       // for set
#include <utility>   // for move

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
    store.started_by = Instant::max();
  }
  store.started_by = std::min(store.started_by, aPage.started_by);
  store.last_answer = aNow;
  std::set<std::string> reported;
  for (const PartEvent& event : aPage.events) {
    PartChange change{
      aStore, event.scope, event.part, event.is_stored ? event.tokens : 0
    };
    if (aPage.is_snapshot) {
      reported.insert(KeyOf(change));
    }
    Put(store, std::move(change));
  }
  if (aPage.is_snapshot) {
    RemoveWhere(store, [&](const std::string& aKey, const Entry&) {
      return !reported.contains(aKey);
    });
  }
  DropOldestRemoved();
}

void
PartLog::EndSnapshot()
{
  for (auto& [id, store] : m_stores) {
    RemoveWhere(store, [&](const std::string&, const Entry& aEntry) {
      return aEntry.generation < m_generation;
    });
  }
  DropOldestRemoved();
}

template<typename Matches>
void
PartLog::RemoveWhere(Store& aStore, Matches aMatches)
{
  std::vector<PartChange> removed;
  for (const auto& [key, entry] : aStore.entries) {
    PartChange change = m_changes.at(entry.position);
    if (change.tokens > 0 && aMatches(key, entry)) {
      change.tokens = 0;
      removed.push_back(std::move(change));
    }
  }
  for (PartChange& change : removed) {
    Put(aStore, std::move(change));
  }
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
    m_stores.at(change->second.store).entries.erase(KeyOf(change->second));
    m_removed.erase(change->first);
    change = m_changes.erase(change);
  }
}

void
PartLog::Put(Store& aStore, PartChange aChange)
{
  const std::string key = KeyOf(aChange);
  const auto known = aStore.entries.find(key);
  if (known == aStore.entries.end() && aChange.tokens == 0) {
    return; // No reader knows the part.
  }
  if (known != aStore.entries.end()) {
    const auto logged = m_changes.find(known->second.position);
    if (logged->second.tokens == aChange.tokens) {
      known->second.generation = m_generation;
      return;
    }
    m_changes.erase(logged);
    m_removed.erase(known->second.position);
  }
  ++m_last;
  aStore.entries[key] = { m_last, m_generation };
  if (aChange.tokens == 0) {
    m_removed.emplace(m_last, key);
  }
  m_changes.emplace(m_last, std::move(aChange));
}

void
PartLog::Clear(Store& aStore)
{
  for (const auto& [key, entry] : aStore.entries) {
    m_changes.erase(entry.position);
    m_removed.erase(entry.position);
  }
  aStore.entries.clear();
}

void
PartLog::DropOldestRemoved()
{
  while (m_removed.size() > m_options.max_removed) {
    const auto oldest = m_removed.begin();
    m_dropped = oldest->first;
    const auto change = m_changes.find(oldest->first);
    m_stores.at(change->second.store).entries.erase(oldest->second);
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
    const Duration uptime = std::max(aNow - store.started_by, Duration(0));
    page.stores.push_back({ id, store.epoch, age, uptime });
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
