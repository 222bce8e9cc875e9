#include "jujubehead/core/directory.hpp"

#include <algorithm>     // for find_if, max, sort
#include <list>          // for list
#include <map>           // for map
#include <unordered_map> // for unordered_map

namespace jujubehead::core {
namespace {

using HolderNumber = std::uint32_t;

/// One copy in a store; its marks point here, so that one flag ends them all.
struct Copy
{
  CopyName name;
  bool live = true;
};

/// What is known of one block at one holder.
struct Mark
{
  HolderNumber holder = 0;
  std::uint32_t life = 0;     ///< Of the holder, when the mark was made.
  std::uint64_t sequence = 0; ///< Of the event that made it.
  bool stored = false;        ///< Otherwise known to be removed.
  std::shared_ptr<Copy> copy; ///< Stores only.
};

struct HolderState
{
  Holder holder;
  std::uint64_t last_sequence = 0;
  std::uint32_t life = 0; ///< Goes up when all its blocks are gone.
  std::map<std::pair<std::string, std::uint64_t>, std::shared_ptr<Copy>> copies;
};

/// Of one holder or copy, while the keys of a prompt are walked.
struct Trail
{
  HolderNumber holder = 0;
  std::shared_ptr<Copy> copy;
  std::uint64_t removed_at = 0; ///< Latest removal among the blocks so far.
  std::uint32_t blocks = 0;
};

Trail&
TrailOf(std::vector<Trail>& aTrails, const Mark& aMark)
{
  const auto found =
    std::find_if(aTrails.begin(), aTrails.end(), [&](const Trail& aTrail) {
      return aTrail.holder == aMark.holder && aTrail.copy == aMark.copy;
    });
  if (found != aTrails.end()) {
    return *found;
  }
  aTrails.push_back({ aMark.holder, aMark.copy, 0, 0 });
  return aTrails.back();
}

/// A block stored after every known removal before it must have all of them
/// again; one stored earlier can no longer be reached.
void
Advance(Trail& aTrail, const Mark& aMark, std::uint32_t aBlocks)
{
  if (!aMark.stored) {
    aTrail.removed_at = std::max(aTrail.removed_at, aMark.sequence);
  } else if (aMark.copy || aMark.sequence >= aTrail.removed_at) {
    aTrail.blocks = aBlocks;
  }
}

} // namespace

class Directory::Slice
{
public:
  explicit Slice(std::size_t aMaxKeys)
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
    Take(number, aEvent);
    return lost == 0 ? EventOutcome::kApplied : EventOutcome::kAppliedAfterGap;
  }

  void NoteLast(const Holder& aHolder, std::uint64_t aLast)
  {
    HolderState& state = m_holders[NumberOf(aHolder)];
    if (aLast < state.last_sequence) {
      EndLife(state);
      state.last_sequence = aLast;
    }
  }

  void Learn(const TargetId& aTarget, std::span<const ContextKey> aKeys)
  {
    const HolderNumber number = NumberOf(aTarget);
    const HolderState& state = m_holders[number];
    const Mark mark{ number, state.life, state.last_sequence, true, nullptr };
    for (const ContextKey& key : aKeys) {
      SetMark(key, mark);
    }
  }

  /// Takes what was heard of a holder other than by its own sequence.
  void Hear(const Holder& aHolder, CacheEvent aEvent)
  {
    aEvent.sequence = m_holders[NumberOf(aHolder)].last_sequence + 1;
    Apply(aHolder, aEvent);
  }

  void ForgetCopy(const StoreId& aStore, const CopyName& aCopy)
  {
    EndCopy(m_holders[NumberOf(aStore)], aCopy);
  }

  void Forget(const Holder& aHolder)
  {
    HolderState& state = m_holders[NumberOf(aHolder)];
    EndLife(state);
    state.last_sequence = 0;
  }

  std::vector<PrefixHint> Lookup(std::span<const ContextKey> aKeys)
  {
    std::vector<Trail> trails;
    for (std::uint32_t i = 0; i < aKeys.size(); ++i) {
      const auto found = m_entries.find(aKeys[i]);
      if (found != m_entries.end()) {
        Touch(found->second);
        Follow(found->second, i + 1, trails);
      }
    }
    return HintsOf(trails);
  }

  [[nodiscard]] std::size_t Size() const { return m_entries.size(); }
  [[nodiscard]] std::uint64_t LostEvents() const { return m_lost_events; }

private:
  using Recency = std::list<ContextKey>;

  struct Entry
  {
    std::vector<Mark> marks;
    Recency::iterator place;
  };

  HolderNumber NumberOf(const Holder& aHolder)
  {
    const auto next = static_cast<HolderNumber>(m_holders.size());
    const auto [place, isNew] = m_numbers.try_emplace(aHolder, next);
    if (isNew) {
      m_holders.push_back({ aHolder, 0, 0, {} });
    }
    return place->second;
  }

  void Take(HolderNumber aNumber, const CacheEvent& aEvent)
  {
    HolderState& state = m_holders[aNumber];
    switch (aEvent.kind) {
      case CacheEventKind::kCleared:
        EndLife(state);
        return;
      case CacheEventKind::kRemoved:
        if (aEvent.copy) {
          EndCopy(state, *aEvent.copy);
          return;
        }
        break;
      case CacheEventKind::kStored:
        break;
    }
    const bool stored = aEvent.kind == CacheEventKind::kStored;
    const Mark mark{ aNumber,
                     state.life,
                     aEvent.sequence,
                     stored,
                     aEvent.copy ? CopyOf(state, *aEvent.copy) : nullptr };
    for (const ContextKey& key : aEvent.keys) {
      SetMark(key, mark);
    }
  }

  static std::shared_ptr<Copy> CopyOf(HolderState& aState,
                                      const CopyName& aName)
  {
    auto& copy = aState.copies[{ aName.handle, aName.generation }];
    if (!copy) {
      copy = std::make_shared<Copy>(Copy{ aName, true });
    }
    return copy;
  }

  static void EndCopy(HolderState& aState, const CopyName& aName)
  {
    const auto found = aState.copies.find({ aName.handle, aName.generation });
    if (found != aState.copies.end()) {
      found->second->live = false;
      aState.copies.erase(found);
    }
  }

  static void EndLife(HolderState& aState)
  {
    ++aState.life;
    for (auto& [name, copy] : aState.copies) {
      copy->live = false;
    }
    aState.copies.clear();
  }

  [[nodiscard]] bool IsValid(const Mark& aMark) const
  {
    return aMark.life == m_holders[aMark.holder].life &&
           (!aMark.copy || aMark.copy->live);
  }

  void SetMark(const ContextKey& aKey, const Mark& aMark)
  {
    Entry& entry = EntryOf(aKey);
    std::erase_if(entry.marks, [&](const Mark& aOld) {
      return !IsValid(aOld) ||
             (aOld.holder == aMark.holder && aOld.copy == aMark.copy);
    });
    entry.marks.push_back(aMark);
  }

  Entry& EntryOf(const ContextKey& aKey)
  {
    const auto [place, isNew] = m_entries.try_emplace(aKey);
    if (!isNew) {
      Touch(place->second);
      return place->second;
    }
    m_recency.push_front(aKey);
    place->second.place = m_recency.begin();
    if (m_entries.size() > m_max_keys) {
      m_entries.erase(m_recency.back());
      m_recency.pop_back();
    }
    return place->second;
  }

  void Touch(Entry& aEntry)
  {
    m_recency.splice(m_recency.begin(), m_recency, aEntry.place);
  }

  void Follow(const Entry& aEntry,
              std::uint32_t aBlocks,
              std::vector<Trail>& aTrails) const
  {
    for (const Mark& mark : aEntry.marks) {
      if (IsValid(mark)) {
        Advance(TrailOf(aTrails, mark), mark, aBlocks);
      }
    }
  }

  [[nodiscard]] std::vector<PrefixHint> HintsOf(
    std::span<const Trail> aTrails) const
  {
    std::vector<PrefixHint> hints;
    for (const Trail& trail : aTrails) {
      if (trail.blocks > 0) {
        std::optional<CopyName> name;
        if (trail.copy) {
          name = trail.copy->name;
        }
        hints.push_back({ m_holders[trail.holder].holder, trail.blocks, name });
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
  : m_slice(std::make_unique<Slice>(aMaxKeys))
{
}

Directory::~Directory() = default;
Directory::Directory(Directory&&) noexcept = default;
Directory&
Directory::operator=(Directory&&) noexcept = default;

EventOutcome
Directory::Apply(const Holder& aHolder, const CacheEvent& aEvent)
{
  return m_slice->Apply(aHolder, aEvent);
}

void
Directory::NoteLast(const Holder& aHolder, std::uint64_t aLast)
{
  m_slice->NoteLast(aHolder, aLast);
}

void
Directory::Learn(const TargetId& aTarget, std::span<const ContextKey> aKeys)
{
  m_slice->Learn(aTarget, aKeys);
}

void
Directory::Unlearn(const TargetId& aTarget, std::span<const ContextKey> aKeys)
{
  m_slice->Hear(
    aTarget,
    { 0, CacheEventKind::kRemoved, { aKeys.begin(), aKeys.end() }, {} });
}

void
Directory::LearnCopy(const StoreId& aStore,
                     const CopyName& aCopy,
                     std::span<const ContextKey> aKeys)
{
  m_slice->Hear(
    aStore,
    { 0, CacheEventKind::kStored, { aKeys.begin(), aKeys.end() }, aCopy });
}

void
Directory::ForgetCopy(const StoreId& aStore, const CopyName& aCopy)
{
  m_slice->ForgetCopy(aStore, aCopy);
}

void
Directory::Forget(const Holder& aHolder)
{
  m_slice->Forget(aHolder);
}

std::vector<PrefixHint>
Directory::Lookup(std::span<const ContextKey> aKeys)
{
  return m_slice->Lookup(aKeys);
}

std::size_t
Directory::Size() const
{
  return m_slice->Size();
}

std::uint64_t
Directory::LostEvents() const
{
  return m_slice->LostEvents();
}

} // namespace jujubehead::core
