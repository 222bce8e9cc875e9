#include "bench/context/fake_store.hpp"

namespace jujubehead::bench::context {

FakeStore::FakeStore(std::uint32_t aMemoryBlocks, std::uint32_t aDiskBlocks)
  : m_memory(aMemoryBlocks)
  , m_capacity(aMemoryBlocks + aDiskBlocks)
{
}

const StoredContext*
FakeStore::Find(std::uint32_t aContext) const
{
  const auto found = m_copies.find(aContext);
  return found == m_copies.end() ? nullptr : &found->second;
}

std::uint32_t
FakeStore::Missing(std::uint32_t aBlocks) const
{
  const std::uint32_t wanted = m_used + aBlocks;
  return wanted > m_capacity ? wanted - m_capacity : 0;
}

std::uint32_t
FakeStore::MemoryExcess() const
{
  return m_in_memory > m_memory ? m_in_memory - m_memory : 0;
}

std::uint64_t
FakeStore::Begin(std::uint32_t aBlocks)
{
  m_used += aBlocks;
  m_reserved[++m_generation] = aBlocks;
  return m_generation;
}

bool
FakeStore::Commit(std::uint32_t aContext,
                  std::uint64_t aGeneration,
                  bool aExtend,
                  Instant aNow)
{
  const auto found = m_reserved.find(aGeneration);
  if (found == m_reserved.end()) {
    return false;
  }
  std::uint32_t blocks = found->second;
  if (aExtend) {
    const StoredContext* old = Find(aContext);
    if (old == nullptr) {
      Abort(aGeneration);
      return false;
    }
    blocks += old->blocks;
    m_used += old->blocks;
  }
  m_reserved.erase(found);
  Free(aContext);
  m_copies[aContext] = { blocks, aGeneration, true, aNow };
  m_in_memory += blocks;
  m_order.insert({ aNow, aContext });
  m_memory_order.insert({ aNow, aContext });
  return true;
}

void
FakeStore::Abort(std::uint64_t aGeneration)
{
  const auto found = m_reserved.find(aGeneration);
  if (found != m_reserved.end()) {
    m_used -= found->second;
    m_reserved.erase(found);
  }
}

void
FakeStore::Use(std::uint32_t aContext, Instant aNow)
{
  const auto found = m_copies.find(aContext);
  if (found == m_copies.end()) {
    return;
  }
  StoredContext& copy = found->second;
  m_order.erase({ copy.last_use, aContext });
  m_memory_order.erase({ copy.last_use, aContext });
  copy.last_use = aNow;
  m_order.insert({ aNow, aContext });
  m_memory_order.insert({ aNow, aContext });
  if (!copy.in_memory) {
    copy.in_memory = true;
    m_in_memory += copy.blocks;
  }
}

void
FakeStore::Demote(std::uint32_t aContext)
{
  const auto found = m_copies.find(aContext);
  if (found != m_copies.end() && found->second.in_memory) {
    found->second.in_memory = false;
    m_in_memory -= found->second.blocks;
    m_memory_order.erase({ found->second.last_use, aContext });
  }
}

void
FakeStore::Free(std::uint32_t aContext)
{
  const auto found = m_copies.find(aContext);
  if (found != m_copies.end()) {
    m_used -= found->second.blocks;
    m_in_memory -= found->second.in_memory ? found->second.blocks : 0;
    m_order.erase({ found->second.last_use, aContext });
    m_memory_order.erase({ found->second.last_use, aContext });
    m_copies.erase(found);
  }
}

void
FakeStore::Lose()
{
  m_lost = true;
  m_copies.clear();
  m_order.clear();
  m_memory_order.clear();
  m_reserved.clear();
  m_used = 0;
  m_in_memory = 0;
}

} // namespace jujubehead::bench::context
