#include "jujubehead/core/context/part_directory.hpp"

#include <algorithm> // for find, min

namespace jujubehead::core {
namespace {

constexpr char kKeySeparator = '\n';

std::string
KeyOf(std::string_view aScope, std::string_view aPart)
{
  return std::string(aScope).append(1, kKeySeparator).append(aPart);
}

std::string_view
ScopeOf(std::string_view aKey)
{
  return aKey.substr(0, aKey.find(kKeySeparator));
}

} // namespace

PartDirectory::PartDirectory(PartDirectoryOptions aOptions)
  : m_options(aOptions)
{
}

void
PartDirectory::OnPage(const StoreId& aStore,
                      const PartEventPage& aPage,
                      Instant aAnswered)
{
  Store& store = m_stores[aStore];
  if (store.epoch != aPage.epoch) {
    store = Store{};
    store.epoch = aPage.epoch;
  }
  if (aPage.is_snapshot) {
    store.tokens.clear();
    store.total_tokens = 0;
  }
  store.started_by = std::min(store.started_by, aPage.started_by);
  store.last_answer = aAnswered;
  for (const PartEvent& event : aPage.events) {
    const std::string key = KeyOf(event.scope, event.part);
    std::uint64_t& tokens = store.tokens[key];
    store.total_tokens -= tokens;
    tokens = event.tokens;
    store.total_tokens += tokens;
    if (!event.is_stored || tokens == 0) {
      store.total_tokens -= tokens;
      store.tokens.erase(key);
    }
  }
}

void
PartDirectory::OnNoResponse(const StoreId& aStore)
{
  const auto found = m_stores.find(aStore);
  if (found != m_stores.end()) {
    found->second.last_answer.reset();
  }
}

void
PartDirectory::Drop(const StoreId& aStore,
                    const std::vector<ScopedPart>& aParts)
{
  const auto found = m_stores.find(aStore);
  if (found == m_stores.end()) {
    return;
  }
  Store& store = found->second;
  for (const ScopedPart& part : aParts) {
    const auto entry = store.tokens.find(KeyOf(part.scope, part.part));
    if (entry != store.tokens.end()) {
      store.total_tokens -= entry->second;
      store.tokens.erase(entry);
    }
  }
}

void
PartDirectory::DropWhere(
  const std::function<bool(std::string_view aScope)>& aMatches)
{
  for (auto& [id, store] : m_stores) {
    std::erase_if(store.tokens,
                  [&, &total_tokens = store.total_tokens](const auto& aEntry) {
                    const bool matches = aMatches(ScopeOf(aEntry.first));
                    total_tokens -= matches ? aEntry.second : 0;
                    return matches;
                  });
  }
}

void
PartDirectory::KeepOnly(const std::vector<StoreId>& aStores)
{
  std::erase_if(m_stores, [&](const auto& aEntry) {
    return std::find(aStores.begin(), aStores.end(), aEntry.first) ==
           aStores.end();
  });
}

std::uint64_t
PartDirectory::TokensAt(const StoreId& aStore,
                        std::string_view aScope,
                        std::string_view aPart,
                        Instant aNow) const
{
  if (!IsReachable(aStore, aNow)) {
    return 0;
  }
  const Store& store = m_stores.at(aStore);
  const auto found = store.tokens.find(KeyOf(aScope, aPart));
  return found == store.tokens.end() ? 0 : found->second;
}

bool
PartDirectory::IsReachable(const StoreId& aStore, Instant aNow) const
{
  const auto found = m_stores.find(aStore);
  return found != m_stores.end() && found->second.last_answer &&
         aNow - *found->second.last_answer <= m_options.trust_time;
}

bool
PartDirectory::AcceptsWrites(const StoreId& aStore, Instant aNow) const
{
  const Duration drain =
    m_options.trust_time + m_options.read_time + m_options.margin;
  return IsReachable(aStore, aNow) &&
         aNow - m_stores.at(aStore).started_by >= drain;
}

std::uint64_t
PartDirectory::EpochOf(const StoreId& aStore) const
{
  const auto found = m_stores.find(aStore);
  return found == m_stores.end() ? 0 : found->second.epoch;
}

std::vector<ScopedPart>
PartDirectory::PartsWhere(
  const StoreId& aStore,
  std::size_t aMost,
  const std::function<bool(std::string_view aScope)>& aMatches) const
{
  std::vector<ScopedPart> parts;
  const auto found = m_stores.find(aStore);
  if (found == m_stores.end()) {
    return parts;
  }
  for (const auto& [key, tokens] : found->second.tokens) {
    if (parts.size() == aMost) {
      break;
    }
    const std::string_view scope = ScopeOf(key);
    if (aMatches(scope)) {
      parts.push_back({ std::string(scope), key.substr(scope.size() + 1) });
    }
  }
  return parts;
}

std::uint64_t
PartDirectory::TokensStored(const StoreId& aStore) const
{
  const auto found = m_stores.find(aStore);
  return found == m_stores.end() ? 0 : found->second.total_tokens;
}

} // namespace jujubehead::core
