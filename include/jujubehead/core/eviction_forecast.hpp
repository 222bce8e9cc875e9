#ifndef JUJUBEHEAD_CORE_EVICTION_FORECAST_HPP
#define JUJUBEHEAD_CORE_EVICTION_FORECAST_HPP

#include <cstdint>       // for uint32_t, uint64_t
#include <list>          // for list
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "jujubehead/core/context_key.hpp" // for ContextKey

namespace jujubehead::core {

/// @brief Tells which contexts a target's prefix cache will evict next.
///
/// The owner of a target sees every run start there, so it knows the order of
/// use; a cache that drops what was unused for longest evicts a context when
/// the blocks used since fill the cache. Late and lost cache events do not
/// matter to it.
class EvictionForecast
{
public:
  /// @param aCapacityBlocks blocks that the target's cache holds.
  explicit EvictionForecast(std::uint32_t aCapacityBlocks);

  /// @brief The target has run a prompt.
  /// @param aRoot the key of its first block, which names the context.
  void Used(const ContextKey& aRoot, std::uint32_t aBlocks);

  /// @brief Drops a context, or all when the target has lost its cache.
  void Forget(const ContextKey& aRoot);
  void Clear();

  /// @brief Takes out the contexts that are near their eviction.
  /// @param aShare share of the capacity that must have been used since.
  /// @return their roots, the one to be evicted first in front; each is
  /// returned once after each use.
  std::vector<ContextKey> TakeDue(double aShare);

private:
  struct Entry
  {
    ContextKey root;
    std::uint32_t blocks = 0;
  };
  using Order = std::list<Entry>;

  std::uint32_t m_capacity;
  std::uint64_t m_blocks = 0; ///< Of all entries.
  Order m_order;              ///< Latest use in front.
  std::unordered_map<ContextKey, Order::iterator> m_places;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_EVICTION_FORECAST_HPP
