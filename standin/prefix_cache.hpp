#ifndef JUJUBEHEAD_STANDIN_PREFIX_CACHE_HPP
#define JUJUBEHEAD_STANDIN_PREFIX_CACHE_HPP

#include <cstddef>       // for size_t
#include <cstdint>       // for uint64_t
#include <functional>    // for function
#include <list>          // for list
#include <span>          // for span
#include <string>        // for string
#include <string_view>   // for string_view
#include <unordered_map> // for unordered_map

namespace jujubehead::standin {

/// @brief One cached block of an engine.
struct CachedBlock
{
  std::string key;
  std::string salt;
  std::uint64_t bytes = 0; ///< Of KV cache.
  int pins = 0;            ///< Runs and exports that use it now.
};

/// @brief What happened to a block.
enum class BlockChange
{
  kStored,
  kRemoved,
};

/// @brief Prefix cache of limited size; evicts the least recently used block
/// that nobody has pinned, later blocks of a prefix before earlier ones.
class PrefixCache
{
public:
  using OnChange = std::function<void(BlockChange, const CachedBlock&)>;

  PrefixCache(std::size_t aTotalBlocks, OnChange aOnChange);

  /// @return how many leading keys are cached under that salt.
  [[nodiscard]] std::size_t HitLength(std::span<const std::string> aKeys,
                                      std::string_view aSalt) const;
  /// @brief Pins cached blocks and marks them as just used.
  void Pin(std::span<const std::string> aKeys);
  void Unpin(std::span<const std::string> aKeys);
  /// @brief Stores blocks, as far as unpinned ones make room.
  void Store(std::span<const std::string> aKeys,
             std::string_view aSalt,
             std::uint64_t aBytesOfEach);
  void Clear();
  [[nodiscard]] const CachedBlock* Find(const std::string& aKey) const;
  [[nodiscard]] std::size_t Size() const { return m_index.size(); }
  [[nodiscard]] std::size_t TotalBlocks() const { return m_total; }

private:
  using Order = std::list<CachedBlock>;

  bool EvictOne();
  void Touch(std::span<const std::string> aKeys);

  std::size_t m_total;
  OnChange m_on_change;
  Order m_order; // The most recently used first.
  std::unordered_map<std::string, Order::iterator> m_index;
};

} // namespace jujubehead::standin

#endif // JUJUBEHEAD_STANDIN_PREFIX_CACHE_HPP
