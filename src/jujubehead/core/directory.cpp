#include "jujubehead/core/directory.hpp"

#include <algorithm>     // for find_if, max, sort
#include <list>          // for list
#include <map>           // for map
#include <unordered_map> // for unordered_map

namespace jujubehead::core {
namespace {

using HolderNumber = std::uint32_t;

/// One copy in a store. Its block records share it, so that one flag
/// invalidates them all.
struct Copy
{
  CopyId name;
  bool is_valid = true;
};

/// Last known state of one block at one holder.
struct BlockRecord
{
  HolderNumber holder = 0;
  std::uint32_t epoch = 0;    ///< The holder's epoch when this was recorded.
  std::uint64_t sequence = 0; ///< Of the event that was recorded.
  bool stored = false;        ///< False: removed.
  std::shared_ptr<Copy> copy; ///< Stores only.
};

struct HolderState
{
  Holder holder;
  std::uint64_t last_sequence = 0;
  std::uint32_t epoch = 0; ///< Incremented when all its blocks are removed.
  std::map<std::pair<std::string, std::uint64_t>, std::shared_ptr<Copy>> copies;
};

/// Prefix of a prompt found at one holder or copy during a lookup.
struct PrefixMatch
{
  HolderNumber holder = 0;
  std::shared_ptr<Copy> copy;
  std::uint64_t removed_at = 0; ///< Latest removal among the blocks so far.
  std::uint32_t blocks = 0;
};

PrefixMatch&
MatchFor(std::vector<PrefixMatch>& aMatches, const BlockRecord& aRecord)
{
  const auto found = std::find_if(
    aMatches.begin(), aMatches.end(), [&](const PrefixMatch& aMatch) {
      return aMatch.holder == aRecord.holder && aMatch.copy == aRecord.copy;
    });
  if (found != aMatches.end()) {
    return *found;
  }
  aMatches.push_back({ aRecord.holder, aRecord.copy, 0, 0 });
  return aMatches.back();
}

/// A block stored after the latest removal among its predecessors implies that
/// those are cached again; one stored earlier is no longer reachable.
void
ExtendMatch(PrefixMatch& aMatch,
            const BlockRecord& aRecord,
            std::uint32_t aBlocks)
{
  if (!aRecord.stored) {
    aMatch.removed_at = std::max(aMatch.removed_at, aRecord.sequence);
  } else if (aRecord.copy || aRecord.sequence >= aMatch.removed_at) {
    aMatch.blocks = aBlocks;
  }
}

} // namespace

class Directory::Impl
{
public:
  explicit Impl(std::size_t aMaxKeys)
    : m_max_keys(std::max<std::size_t>(aMaxKeys, 1))
  {
  }

  EventOutcome Apply(const Holder& aHolder, const CacheEvent& aEvent)
  {
    const HolderNumber number = NumberOf(aHolder);
    HolderState& state = m_holders[number];
    if (aEvent.sequence <= state.last_sequence) {
      return EventOutcome::kDuplicate;
    }
    const std::uint64_t lost = aEvent.sequence - state.last_sequence - 1;
    m_lost_events += lost;
    state.last_sequence = aEvent.sequence;
    Record(number, aEvent);
    return lost == 0 ? EventOutcome::kApplied : EventOutcome::kAppliedAfterGap;
  }

  void OnLastSequence(const Holder& aHolder, std::uint64_t aLast)
  {
    HolderState& state = m_holders[NumberOf(aHolder)];
    if (aLast < state.last_sequence) {
      InvalidateAll(state);
      state.last_sequence = aLast;
    }
  }

  void Learn(const TargetId& aTarget, std::span<const ContextKey> aKeys)
  {
    const HolderNumber number = NumberOf(aTarget);
    const HolderState& state = m_holders[number];
    const BlockRecord record{
      number, state.epoch, state.last_sequence, true, nullptr
    };
    for (const ContextKey& key : aKeys) {
      SetRecord(key, record);
    }
  }

  /// Applies an event from outside the holder's sequence, as the next in it.
  void ApplyOutOfSequence(const Holder& aHolder, CacheEvent aEvent)
  {
    aEvent.sequence = m_holders[NumberOf(aHolder)].last_sequence + 1;
    Apply(aHolder, aEvent);
  }

  void RemoveCopy(const StoreId& aStore, const CopyId& aCopy)
  {
    InvalidateCopy(m_holders[NumberOf(aStore)], aCopy);
  }

  void RemoveHolder(const Holder& aHolder)
  {
    HolderState& state = m_holders[NumberOf(aHolder)];
    InvalidateAll(state);
    state.last_sequence = 0;
  }

  std::vector<PrefixHint> Lookup(std::span<const ContextKey> aKeys)
  {
    std::vector<PrefixMatch> matches;
    for (std::uint32_t i = 0; i < aKeys.size(); ++i) {
      const auto found = m_entries.find(aKeys[i]);
      if (found != m_entries.end()) {
        Touch(found->second);
        ExtendMatches(found->second, i + 1, matches);
      }
    }
    return MakeHints(matches);
  }

  [[nodiscard]] std::size_t Size() const { return m_entries.size(); }
  [[nodiscard]] std::uint64_t LostEvents() const { return m_lost_events; }

private:
  using Recency = std::list<ContextKey>;

  struct Entry
  {
    std::vector<BlockRecord> records;
    Recency::iterator position;
  };

  HolderNumber NumberOf(const Holder& aHolder)
  {
    const auto next = static_cast<HolderNumber>(m_holders.size());
    const auto [position, isNew] = m_numbers.try_emplace(aHolder, next);
    if (isNew) {
      m_holders.push_back({ aHolder, 0, 0, {} });
    }
    return position->second;
  }

  void Record(HolderNumber aNumber, const CacheEvent& aEvent)
  {
    HolderState& state = m_holders[aNumber];
    switch (aEvent.kind) {
      case CacheEventKind::kCleared:
        InvalidateAll(state);
        return;
      case CacheEventKind::kRemoved:
        if (aEvent.copy) {
          InvalidateCopy(state, *aEvent.copy);
          return;
        }
        break;
      case CacheEventKind::kStored:
        break;
    }
    const bool stored = aEvent.kind == CacheEventKind::kStored;
    const BlockRecord record{ aNumber,
                              state.epoch,
                              aEvent.sequence,
                              stored,
                              aEvent.copy ? CopyOf(state, *aEvent.copy)
                                          : nullptr };
    for (const ContextKey& key : aEvent.keys) {
      SetRecord(key, record);
    }
  }

  static std::shared_ptr<Copy> CopyOf(HolderState& aState, const CopyId& aName)
  {
    auto& copy = aState.copies[{ aName.handle, aName.generation }];
    if (!copy) {
      copy = std::make_shared<Copy>(Copy{ aName, true });
    }
    return copy;
  }

  static void InvalidateCopy(HolderState& aState, const CopyId& aName)
  {
    const auto found = aState.copies.find({ aName.handle, aName.generation });
    if (found != aState.copies.end()) {
      found->second->is_valid = false;
      aState.copies.erase(found);
    }
  }

  static void InvalidateAll(HolderState& aState)
  {
    ++aState.epoch;
    for (auto& [name, copy] : aState.copies) {
      copy->is_valid = false;
    }
    aState.copies.clear();
  }

  [[nodiscard]] bool IsValid(const BlockRecord& aRecord) const
  {
    return aRecord.epoch == m_holders[aRecord.holder].epoch &&
           (!aRecord.copy || aRecord.copy->is_valid);
  }

  void SetRecord(const ContextKey& aKey, const BlockRecord& aRecord)
  {
    Entry& entry = EntryOf(aKey);
    std::erase_if(entry.records, [&](const BlockRecord& aOld) {
      return !IsValid(aOld) ||
             (aOld.holder == aRecord.holder && aOld.copy == aRecord.copy);
    });
    entry.records.push_back(aRecord);
  }

  Entry& EntryOf(const ContextKey& aKey)
  {
    const auto [position, isNew] = m_entries.try_emplace(aKey);
    if (!isNew) {
      Touch(position->second);
      return position->second;
    }
    m_recency.push_front(aKey);
    position->second.position = m_recency.begin();
    if (m_entries.size() > m_max_keys) {
      m_entries.erase(m_recency.back());
      m_recency.pop_back();
    }
    return position->second;
  }

  void Touch(Entry& aEntry)
  {
    m_recency.splice(m_recency.begin(), m_recency, aEntry.position);
  }

  void ExtendMatches(const Entry& aEntry,
                     std::uint32_t aBlocks,
                     std::vector<PrefixMatch>& aMatches) const
  {
    for (const BlockRecord& record : aEntry.records) {
      if (IsValid(record)) {
        ExtendMatch(MatchFor(aMatches, record), record, aBlocks);
      }
    }
  }

  [[nodiscard]] std::vector<PrefixHint> MakeHints(
    std::span<const PrefixMatch> aMatches) const
  {
    std::vector<PrefixHint> hints;
    for (const PrefixMatch& match : aMatches) {
      if (match.blocks > 0) {
        std::optional<CopyId> name;
        if (match.copy) {
          name = match.copy->name;
        }
        hints.push_back({ m_holders[match.holder].holder, match.blocks, name });
      }
    }
    std::stable_sort(hints.begin(),
                     hints.end(),
                     [](const PrefixHint& aLeft, const PrefixHint& aRight) {
                       return aLeft.blocks > aRight.blocks;
                     });
    return hints;
  }

  std::size_t m_max_keys;
  std::uint64_t m_lost_events = 0;
  std::map<Holder, HolderNumber> m_numbers;
  std::vector<HolderState> m_holders;
  std::unordered_map<ContextKey, Entry> m_entries;
  Recency m_recency;
};

Directory::Directory(std::size_t aMaxKeys)
  : m_impl(std::make_unique<Impl>(aMaxKeys))
{
}

Directory::~Directory() = default;
Directory::Directory(Directory&&) noexcept = default;
Directory&
Directory::operator=(Directory&&) noexcept = default;

EventOutcome
Directory::Apply(const Holder& aHolder, const CacheEvent& aEvent)
{
  return m_impl->Apply(aHolder, aEvent);
}

void
Directory::OnLastSequence(const Holder& aHolder, std::uint64_t aLast)
{
  m_impl->OnLastSequence(aHolder, aLast);
}

void
Directory::Learn(const TargetId& aTarget, std::span<const ContextKey> aKeys)
{
  m_impl->Learn(aTarget, aKeys);
}

void
Directory::RecordRemoved(const TargetId& aTarget,
                         std::span<const ContextKey> aKeys)
{
  m_impl->ApplyOutOfSequence(
    aTarget,
    { 0, CacheEventKind::kRemoved, { aKeys.begin(), aKeys.end() }, {} });
}

void
Directory::RecordCopy(const StoreId& aStore,
                      const CopyId& aCopy,
                      std::span<const ContextKey> aKeys)
{
  m_impl->ApplyOutOfSequence(
    aStore,
    { 0, CacheEventKind::kStored, { aKeys.begin(), aKeys.end() }, aCopy });
}

void
Directory::RemoveCopy(const StoreId& aStore, const CopyId& aCopy)
{
  m_impl->RemoveCopy(aStore, aCopy);
}

void
Directory::RemoveHolder(const Holder& aHolder)
{
  m_impl->RemoveHolder(aHolder);
}

std::vector<PrefixHint>
Directory::Lookup(std::span<const ContextKey> aKeys)
{
  return m_impl->Lookup(aKeys);
}

std::size_t
Directory::Size() const
{
  return m_impl->Size();
}

std::uint64_t
Directory::LostEvents() const
{
  return m_impl->LostEvents();
}

} // namespace jujubehead::core
