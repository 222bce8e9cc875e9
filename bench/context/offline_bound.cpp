#include "bench/context/offline_bound.hpp"

#include <algorithm> // for min
#include <set>       // for set
#include <utility>   // for pair

namespace jujubehead::bench::context {
namespace {

/// All tiers as one, knowing every next use.
class Pool
{
public:
  explicit Pool(std::size_t aContexts)
    : m_blocks(aContexts, 0)
    , m_next(aContexts, kNever)
  {
  }

  [[nodiscard]] std::uint32_t Blocks(std::uint32_t aContext) const
  {
    return m_blocks[aContext];
  }

  void Keep(std::uint32_t aContext, std::uint32_t aBlocks, Instant aNext)
  {
    m_by_next.erase({ m_next[aContext], aContext });
    m_used += aBlocks - m_blocks[aContext];
    m_blocks[aContext] = aBlocks;
    m_next[aContext] = aNext;
    m_by_next.insert({ aNext, aContext });
  }

  void ShrinkTo(std::uint64_t aCapacity)
  {
    while (m_used > aCapacity) {
      const auto furthest = std::prev(m_by_next.end());
      std::uint32_t& blocks = m_blocks[furthest->second];
      const auto excess = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(m_used - aCapacity, blocks));
      blocks -= excess;
      m_used -= excess;
      if (blocks == 0) {
        m_by_next.erase(furthest);
      }
    }
  }

private:
  std::vector<std::uint32_t> m_blocks;
  std::vector<Instant> m_next;
  std::set<std::pair<Instant, std::uint32_t>> m_by_next;
  std::uint64_t m_used = 0;
};

} // namespace

Figures
OfflineBound(const Hardware& aHardware,
             const Condition& aCondition,
             const Workload& aWorkload)
{
  const std::uint64_t targets = aHardware.targets * aHardware.target_blocks;
  const std::uint64_t store = aHardware.memory_blocks + aHardware.disk_blocks;
  Figures figures;
  Pool pool(aWorkload.keys.size());
  for (const Request& request : aWorkload.requests) {
    const bool lost =
      aCondition.store_lost && request.at >= aWorkload.Halfway();
    const std::uint32_t reused =
      std::min(pool.Blocks(request.context), request.seen_blocks);
    if (request.measured) {
      figures.returning_tokens +=
        request.seen_blocks * aHardware.tokens_per_block;
      figures.recomputed_tokens +=
        (request.seen_blocks - reused) * aHardware.tokens_per_block;
    }
    pool.Keep(request.context, request.blocks, request.next);
    pool.ShrinkTo(targets + (aHardware.stores - (lost ? 1 : 0)) * store);
  }
  return figures;
}

} // namespace jujubehead::bench::context
