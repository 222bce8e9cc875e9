#ifndef JUJUBEHEAD_BENCH_CONTEXT_FAKE_STORE_HPP
#define JUJUBEHEAD_BENCH_CONTEXT_FAKE_STORE_HPP

#include <cstdint> // for uint32_t, uint64_t
#include <map>     // for map
#include <set>     // for set
#include <utility> // for pair

#include "bench/context/deployment.hpp" // for Instant

namespace jujubehead::bench::context {

/// @brief One context's copy in a store.
struct StoredContext
{
  std::uint32_t blocks = 0;
  std::uint64_t generation = 0;
  bool in_memory = true;
  Instant last_use;
};

/// @brief A store: room in two tiers, and copies that are committed whole.
class FakeStore
{
public:
  FakeStore(std::uint32_t aMemoryBlocks, std::uint32_t aDiskBlocks);

  [[nodiscard]] const StoredContext* Find(std::uint32_t aContext) const;
  [[nodiscard]] const std::map<std::uint32_t, StoredContext>& Copies() const
  {
    return m_copies;
  }
  /// @return the copies of the memory tier, the one unused for longest first.
  [[nodiscard]] const std::set<std::pair<Instant, std::uint32_t>>& InMemory()
    const
  {
    return m_memory_order;
  }
  /// @return the copies of both tiers, the one unused for longest first.
  [[nodiscard]] const std::set<std::pair<Instant, std::uint32_t>>& ByUse() const
  {
    return m_order;
  }
  /// @return blocks that are missing to hold so many more.
  [[nodiscard]] std::uint32_t Missing(std::uint32_t aBlocks) const;
  /// @return blocks by which the memory tier is over its size.
  [[nodiscard]] std::uint32_t MemoryExcess() const;

  /// @brief Reserves room; an older copy of the context stays readable.
  /// @return the generation under which to commit.
  std::uint64_t Begin(std::uint32_t aBlocks);
  /// @param aExtend whether the blocks continue the copy that is there;
  /// otherwise they replace it.
  /// @return whether the copy can be read now.
  bool Commit(std::uint32_t aContext,
              std::uint64_t aGeneration,
              bool aExtend,
              Instant aNow);
  void Abort(std::uint64_t aGeneration);
  void Use(std::uint32_t aContext, Instant aNow);
  void Demote(std::uint32_t aContext);
  void Free(std::uint32_t aContext);
  /// @brief The store dies: everything is gone, and nothing more is taken.
  void Lose();
  [[nodiscard]] bool IsLost() const { return m_lost; }

private:
  std::uint32_t m_memory;
  std::uint32_t m_capacity;
  std::uint32_t m_used = 0;
  std::uint32_t m_in_memory = 0;
  std::uint64_t m_generation = 0;
  bool m_lost = false;
  std::map<std::uint32_t, StoredContext> m_copies;
  std::set<std::pair<Instant, std::uint32_t>> m_order;
  std::set<std::pair<Instant, std::uint32_t>> m_memory_order;
  std::map<std::uint64_t, std::uint32_t> m_reserved; ///< By generation.
};

} // namespace jujubehead::bench::context

#endif // JUJUBEHEAD_BENCH_CONTEXT_FAKE_STORE_HPP
