#ifndef JUJUBEHEAD_BENCH_CONTEXT_PREFIX_CACHE_HPP
#define JUJUBEHEAD_BENCH_CONTEXT_PREFIX_CACHE_HPP

#include <cstdint>       // for uint32_t
#include <functional>    // for function
#include <list>          // for list
#include <unordered_map> // for unordered_map

namespace jujubehead::bench::context {

/// @brief A target's cache of prompt prefixes: evicts the last blocks of the
/// context unused for longest, never those of a pinned one.
class PrefixCache
{
public:
  /// Told of each block that comes (true) or goes (false), in order.
  using Watcher = std::function<
    void(std::uint32_t aContext, std::uint32_t aBlock, bool aStored)>;

  PrefixCache(std::uint32_t aCapacity, Watcher aWatcher);

  /// @return cached blocks of the context, from its first.
  [[nodiscard]] std::uint32_t Blocks(std::uint32_t aContext) const;
  /// @brief Makes the context the latest used, with at least so many blocks.
  void Put(std::uint32_t aContext, std::uint32_t aBlocks);
  /// @brief Holds the context's blocks; its place in the order stays.
  void Pin(std::uint32_t aContext);
  void Unpin(std::uint32_t aContext);

private:
  struct Entry
  {
    std::uint32_t context = 0;
    std::uint32_t blocks = 0;
    int pins = 0;
  };
  using Order = std::list<Entry>;

  Entry& Touch(std::uint32_t aContext);
  void Shrink();

  std::uint32_t m_capacity;
  std::uint32_t m_used = 0;
  Watcher m_watcher;
  Order m_order; ///< Latest use in front.
  std::unordered_map<std::uint32_t, Order::iterator> m_places;
};

} // namespace jujubehead::bench::context

#endif // JUJUBEHEAD_BENCH_CONTEXT_PREFIX_CACHE_HPP
