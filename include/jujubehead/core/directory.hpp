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

/// @brief Who has blocks: a target in its prefix cache, or a store in a copy.
using Holder = std::variant<TargetId, StoreId>;

/// @brief A copy in a store, by the name under which it is read.
struct CopyName
{
  std::string handle;
  std::uint64_t generation = 0;

  friend bool operator==(const CopyName&, const CopyName&) = default;
};

enum class CacheEventKind
{
  kStored,  ///< The keys' blocks are there.
  kRemoved, ///< The keys' blocks are gone; of a store: the copy is gone.
  kCleared, ///< Everything that the holder had is gone.
};

/// @brief What a target or a store says of its cache.
struct CacheEvent
{
  std::uint64_t sequence = 0; ///< The holder's own count, from 1.
  CacheEventKind kind = CacheEventKind::kStored;
  std::vector<ContextKey> keys; ///< Of a store's copy: all, in order.
  std::optional<CopyName> copy; ///< Stores only.
};

/// @brief What became of an event.
enum class EventOutcome
{
  kApplied,
  kAppliedAfterGap, ///< Events before it were lost.
  kDuplicate,       ///< Known already; nothing changed.
};

/// @brief A holder and how much of a prompt it is believed to have.
struct PrefixHint
{
  Holder holder;
  std::uint32_t blocks = 0;     ///< Longest prefix, from the first block.
  std::optional<CopyName> copy; ///< Stores only.
};

/// @brief Where kept context is believed to lie.
///
/// Hints only: they come from late events with gaps, so they may name blocks
/// that are gone or miss some that are there. Using a wrong hint costs time;
/// what is true is checked where blocks are read. A cached block implies the
/// blocks before it at the time it was stored, which fills most gaps.
class Directory
{
public:
  /// @param aMaxKeys keys to remember; the ones unused for longest go first.
  explicit Directory(std::size_t aMaxKeys);
  ~Directory();
  Directory(Directory&&) noexcept;
  Directory& operator=(Directory&&) noexcept;

  /// @brief Takes one event in; the holder's sequence tells gaps and repeats.
  EventOutcome Apply(const Holder& aHolder, const CacheEvent& aEvent);

  /// @brief Takes in the count of the holder's last event. A count below what
  /// was seen means that the holder started anew, so that its blocks are gone.
  void NoteLast(const Holder& aHolder, std::uint64_t aLast);

  /// @brief Notes what a finished run showed: the target has just computed or
  /// read the blocks of all these keys. Mends what lost events left out.
  void Learn(const TargetId& aTarget, std::span<const ContextKey> aKeys);

  /// @brief Notes that a target was heard to have lost the blocks of these
  /// keys, outside its own sequence of events.
  void Unlearn(const TargetId& aTarget, std::span<const ContextKey> aKeys);
  /// @brief Notes a committed copy, outside the store's sequence of events.
  void LearnCopy(const StoreId& aStore,
                 const CopyName& aCopy,
                 std::span<const ContextKey> aKeys);

  /// @brief Takes back the hint of a copy that could not be read.
  void ForgetCopy(const StoreId& aStore, const CopyName& aCopy);

  /// @brief Drops all hints of a holder that has gone.
  void Forget(const Holder& aHolder);

  /// @return each holder of at least the first block, longest prefix first,
  /// one entry a target and one a copy.
  std::vector<PrefixHint> Lookup(std::span<const ContextKey> aKeys);

  /// @return keys remembered, at most the limit.
  [[nodiscard]] std::size_t Size() const;
  /// @return events known to be lost, over all holders.
  [[nodiscard]] std::uint64_t LostEvents() const;

private:
  class Slice;
  std::unique_ptr<Slice> m_slice;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_DIRECTORY_HPP
