#ifndef JUJUBEHEAD_CORE_DIRECTORY_HPP
#define JUJUBEHEAD_CORE_DIRECTORY_HPP

#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t
#include <memory>   // for unique_ptr
#include <optional> // for optional
#include <span>     // for span
#include <string>   // for string
#include <variant>  // for variant
#include <vector>   // for vector

#include "jujubehead/core/context_key.hpp" // for ContextKey
#include "jujubehead/core/ids.hpp"         // for TargetId, StoreId

namespace jujubehead::core {

/// @brief A holder of blocks: a target (prefix cache) or a store (copies).
using Holder = std::variant<TargetId, StoreId>;

/// @brief Identifies a copy in a store; reads address it by this.
struct CopyId
{
  std::string handle;
  std::uint64_t generation = 0;

  friend bool operator==(const CopyId&, const CopyId&) = default;
};

enum class CacheEventKind
{
  kStored,  ///< The keys' blocks are cached.
  kRemoved, ///< The keys' blocks, or a store's copy, were removed.
  kCleared, ///< The holder removed all its blocks.
};

/// @brief A cache change reported by a target or a store.
struct CacheEvent
{
  std::uint64_t sequence = 0; ///< Per holder, from 1.
  CacheEventKind kind = CacheEventKind::kStored;
  std::vector<ContextKey> keys; ///< For a store's copy: all, in order.
  std::optional<CopyId> copy;   ///< Stores only.
};

/// @brief Result of applying an event.
enum class EventOutcome
{
  kApplied,
  kAppliedAfterGap, ///< Events before it were lost.
  kDuplicate,       ///< Already applied; no change.
};

/// @brief A holder and the length of the prompt prefix it probably has.
struct PrefixHint
{
  Holder holder;
  std::uint32_t blocks = 0;   ///< Longest prefix, from the first block.
  std::optional<CopyId> copy; ///< Stores only.
};

/// @brief Maps block keys to the targets and stores that probably hold them.
///
/// Entries are hints: events arrive late and with gaps, so an entry may name
/// removed blocks or miss cached ones. A wrong hint costs time only, as reads
/// verify the blocks. A cached block implies that the blocks before it were
/// cached when it was stored, which fills most gaps.
class Directory
{
public:
  /// @param aMaxKeys limit on keys; the least recently used are evicted.
  explicit Directory(std::size_t aMaxKeys);
  ~Directory();
  Directory(Directory&&) noexcept;
  Directory& operator=(Directory&&) noexcept;

  /// @brief Applies one event; its sequence number shows gaps and duplicates.
  EventOutcome Apply(const Holder& aHolder, const CacheEvent& aEvent);

  /// @brief Compares with the sequence number of the holder's last event. A
  /// number below the last one applied means that the holder has restarted and
  /// lost its blocks.
  void OnLastSequence(const Holder& aHolder, std::uint64_t aLast);

  /// @brief Records that the target has just computed or read the blocks of
  /// all these keys in a run. Makes up for lost events.
  void Learn(const TargetId& aTarget, std::span<const ContextKey> aKeys);

  /// @brief Records that a target no longer has the blocks of these keys,
  /// from a source other than its event sequence.
  void RecordRemoved(const TargetId& aTarget,
                     std::span<const ContextKey> aKeys);
  /// @brief Records a committed copy, from a source other than the store's
  /// event sequence.
  void RecordCopy(const StoreId& aStore,
                  const CopyId& aCopy,
                  std::span<const ContextKey> aKeys);

  /// @brief Removes the entries of a copy that could not be read.
  void RemoveCopy(const StoreId& aStore, const CopyId& aCopy);

  /// @brief Removes all entries of a holder that no longer exists.
  void RemoveHolder(const Holder& aHolder);

  /// @return holders of at least the first block, longest prefix first: one
  /// hint per target and one per copy.
  std::vector<PrefixHint> Lookup(std::span<const ContextKey> aKeys);

  /// @return number of keys, at most the limit.
  [[nodiscard]] std::size_t Size() const;
  /// @return number of events lost, over all holders.
  [[nodiscard]] std::uint64_t LostEvents() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_DIRECTORY_HPP
