#include "standin/prefix_cache.hpp"

#include <algorithm> // for find_if
#include <iterator>  // for prev
#include <utility>   // for move

namespace jujubehead::standin {

PrefixCache::PrefixCache(std::size_t aTotalBlocks, OnChange aOnChange)
  : m_total(aTotalBlocks)
  , m_on_change(std::move(aOnChange))
{
}

std::size_t
PrefixCache::HitLength(std::span<const std::string> aKeys,
                       std::string_view aSalt) const
{
  std::size_t length = 0;
  for (const std::string& key : aKeys) {
    const CachedBlock* block = Find(key);
    if (block == nullptr || block->salt != aSalt) {
      break;
    }
    ++length;
  }
  return length;
}

void
PrefixCache::Pin(std::span<const std::string> aKeys)
{
  for (const std::string& key : aKeys) {
    ++m_index.at(key)->pins;
  }
  Touch(aKeys);
}

void
PrefixCache::Unpin(std::span<const std::string> aKeys)
{
  for (const std::string& key : aKeys) {
    const auto found = m_index.find(key);
    if (found != m_index.end() && found->second->pins > 0) {
      --found->second->pins;
    }
  }
}

void
PrefixCache::Store(std::span<const std::string> aKeys,
                   std::string_view aSalt,
                   std::uint64_t aBytesOfEach)
{
  for (const std::string& key : aKeys) {
    if (m_index.contains(key)) {
      continue;
    }
    if (m_index.size() >= m_total && !EvictOne()) {
      break;
    }
    m_order.push_front({ key, std::string(aSalt), aBytesOfEach, 0 });
    m_index.emplace(key, m_order.begin());
    m_on_change(BlockChange::kStored, m_order.front());
  }
  Touch(aKeys);
}

void
PrefixCache::Clear()
{
  m_order.clear();
  m_index.clear();
}

const CachedBlock*
PrefixCache::Find(const std::string& aKey) const
{
  const auto found = m_index.find(aKey);
  return found == m_index.end() ? nullptr : &*found->second;
}

bool
PrefixCache::EvictOne()
{
  const auto oldest =
    std::find_if(m_order.rbegin(), m_order.rend(), [](const auto& aBlock) {
      return aBlock.pins == 0;
    });
  if (oldest == m_order.rend()) {
    return false;
  }
  const CachedBlock block = *oldest;
  m_index.erase(block.key);
  m_order.erase(std::prev(oldest.base()));
  m_on_change(BlockChange::kRemoved, block);
  return true;
}

void
PrefixCache::Touch(std::span<const std::string> aKeys)
{
  for (auto key = aKeys.rbegin(); key != aKeys.rend(); ++key) {
    const auto found = m_index.find(*key);
    if (found != m_index.end()) {
      m_order.splice(m_order.begin(), m_order, found->second);
    }
  }
}

} // namespace jujubehead::standin
