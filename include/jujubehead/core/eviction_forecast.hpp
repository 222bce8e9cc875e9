#ifndef JUJUBEHEAD_CORE_EVICTION_FORECAST_HPP
#define JUJUBEHEAD_CORE_EVICTION_FORECAST_HPP

#include <cstdint>       // for uint32_t, uint64_t
#include <list>          // for list
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "jujubehead/core/context_key.hpp" // for ContextKey

namespace jujubehead::core {

/// @brief Predicts which contexts a target's prefix cache will evict next.
///
/// The owner of a target sees every run start there, so it knows the order of
/// use. An LRU cache evicts a context when the blocks used since then fill the
/// cache. Unaffected by late and lost cache events.
class EvictionForecast
{
public:
  /// @param aCapacityBlocks capacity of the target's cache.
  explicit EvictionForecast(std::uint32_t aCapacityBlocks);

  /// @brief Records that the target has run a prompt.
  /// @param aRoot key of its first block, which identifies the context.
  void OnUse(const ContextKey& aRoot, std::uint32_t aBlocks);

  /// @brief Removes a context.
  void Forget(const ContextKey& aRoot);
  /// @brief Removes all contexts, when the target has lost its cache.
  void Clear();

  /// @brief Removes the contexts that are near their eviction.
  /// @param aShare share of the capacity that must have been used since.
  /// @return their roots, the next to be evicted first; each is returned once
  /// per use.
  std::vector<ContextKey> TakeNearEviction(double aShare);

private:
  struct Entry
  {
    ContextKey root;
    std::uint32_t blocks = 0;
  };
  using Order = std::list<Entry>;

  std::uint32_t m_capacity;
  std::uint64_t m_blocks = 0; ///< Of all entries.
  Order m_order;              ///< Most recently used first.
  std::unordered_map<ContextKey, Order::iterator> m_places;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_EVICTION_FORECAST_HPP
