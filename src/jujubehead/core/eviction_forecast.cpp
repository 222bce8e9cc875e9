#include "jujubehead/core/eviction_forecast.hpp"

namespace jujubehead::core {

EvictionForecast::EvictionForecast(std::uint32_t aCapacityBlocks)
  : m_capacity(aCapacityBlocks)
{
}

void
EvictionForecast::OnUse(const ContextKey& aRoot, std::uint32_t aBlocks)
{
  Forget(aRoot);
  m_order.push_front({ aRoot, aBlocks });
  m_places[aRoot] = m_order.begin();
  m_blocks += aBlocks;
}

void
EvictionForecast::Forget(const ContextKey& aRoot)
{
  const auto found = m_places.find(aRoot);
  if (found != m_places.end()) {
    m_blocks -= found->second->blocks;
    m_order.erase(found->second);
    m_places.erase(found);
  }
}

void
EvictionForecast::Clear()
{
  m_order.clear();
  m_places.clear();
  m_blocks = 0;
}

std::vector<ContextKey>
EvictionForecast::TakeNearEviction(double aShare)
{
  const double limit = aShare * m_capacity;
  std::vector<ContextKey> due;
  while (!m_order.empty() && static_cast<double>(m_blocks) > limit) {
    due.push_back(m_order.back().root);
    Forget(due.back());
  }
  return due;
}

} // namespace jujubehead::core
