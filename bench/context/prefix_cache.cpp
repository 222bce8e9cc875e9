#include "bench/context/prefix_cache.hpp"

#include <utility> // for move

namespace jujubehead::bench::context {

PrefixCache::PrefixCache(std::uint32_t aCapacity, Watcher aWatcher)
  : m_capacity(aCapacity)
  , m_watcher(std::move(aWatcher))
{
}

std::uint32_t
PrefixCache::Blocks(std::uint32_t aContext) const
{
  const auto found = m_places.find(aContext);
  return found == m_places.end() ? 0 : found->second->blocks;
}

void
PrefixCache::Put(std::uint32_t aContext, std::uint32_t aBlocks)
{
  Entry& entry = Touch(aContext);
  for (; entry.blocks < aBlocks; ++entry.blocks) {
    ++m_used;
    m_watcher(aContext, entry.blocks, true);
  }
  Shrink();
}

void
PrefixCache::Pin(std::uint32_t aContext)
{
  const auto found = m_places.find(aContext);
  ++(found == m_places.end() ? Touch(aContext) : *found->second).pins;
}

void
PrefixCache::Unpin(std::uint32_t aContext)
{
  const auto found = m_places.find(aContext);
  if (found != m_places.end()) {
    --found->second->pins;
    Shrink();
  }
}

PrefixCache::Entry&
PrefixCache::Touch(std::uint32_t aContext)
{
  const auto [place, isNew] = m_places.try_emplace(aContext);
  if (isNew) {
    m_order.push_front({ aContext, 0, 0 });
    place->second = m_order.begin();
  } else {
    m_order.splice(m_order.begin(), m_order, place->second);
  }
  return m_order.front();
}

void
PrefixCache::Shrink()
{
  auto place = m_order.end();
  while (m_used > m_capacity && place != m_order.begin()) {
    --place;
    if (place->pins > 0) {
      continue;
    }
    while (m_used > m_capacity && place->blocks > 0) {
      --place->blocks;
      --m_used;
      m_watcher(place->context, place->blocks, false);
    }
    if (place->blocks == 0) {
      m_places.erase(place->context);
      place = m_order.erase(place);
    }
  }
}

} // namespace jujubehead::bench::context
