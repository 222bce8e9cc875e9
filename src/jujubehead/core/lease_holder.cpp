#include "lease_holder.hpp"

#include <algorithm> // for any_of, all_of, find_if, max
#include <utility>   // for move

namespace jujubehead::core {

namespace {

std::uint64_t
MarkOf(Instant aTime)
{
  return static_cast<std::uint64_t>(aTime.time_since_epoch().count());
}

Instant
TimeOf(std::uint64_t aMark)
{
  return Instant(Duration(static_cast<Duration::rep>(aMark)));
}

} // namespace

LeaseHolder::LeaseHolder(LeaseRow aRow, OwnershipRules aRules, Instant aNow)
  : m_row(std::move(aRow))
  , m_rules(aRules)
  , m_renew_at(aNow)
{
  m_list.version = 1;
  for (const Incarnation& witness : m_row.witnesses) {
    Slot slot;
    slot.witness = witness;
    slot.last_reply_at = aNow;
    m_slots.push_back(std::move(slot));
  }
}

Instant
LeaseHolder::Until() const
{
  if (m_slots.empty()) {
    return Instant::max();
  }
  Instant until = Instant::min();
  for (const Slot& slot : m_slots) {
    if (slot.counts && slot.acked) {
      until = std::max(until, *slot.acked + m_rules.lease);
    }
  }
  return until;
}

void
LeaseHolder::Apply(const LeaseRow& aRow, bool aAllCount, Instant aNow)
{
  std::vector<Slot> slots;
  for (const Incarnation& witness : aRow.witnesses) {
    if (const Slot* known = Find(witness)) {
      slots.push_back(*known);
      slots.back().counts = known->counts || aAllCount;
      continue;
    }
    Slot slot;
    slot.witness = witness;
    slot.counts = aAllCount;
    slot.last_reply_at = aNow;
    slots.push_back(std::move(slot));
  }
  m_row = aRow;
  m_slots = std::move(slots);
  m_renew_at = aNow;
}

void
LeaseHolder::SetGroups(std::vector<GroupRow> aGroups)
{
  if (aGroups == m_list.groups) {
    return;
  }
  m_list.groups = std::move(aGroups);
  ++m_list.version;
  m_renew_at = Instant::min();
}

bool
LeaseHolder::IsKnown(std::uint64_t aVersion) const
{
  return m_slots.empty() ||
         std::any_of(m_slots.begin(), m_slots.end(), [&](const Slot& aSlot) {
           return aSlot.counts && aSlot.acked && aSlot.version >= aVersion;
         });
}

bool
LeaseHolder::IsUpToDate(const Incarnation& aWitness) const
{
  const Slot* slot = Find(aWitness);
  return slot != nullptr && slot->counts && slot->acked &&
         slot->version == m_list.version;
}

LeaseRenew
LeaseHolder::Renewal(const Slot& aSlot, Instant aNow) const
{
  LeaseRenew renew{ m_row, MarkOf(aNow), m_list.version, {} };
  if (aSlot.version < m_list.version) {
    renew.list.push_back(m_list);
  }
  return renew;
}

std::vector<SendMessage>
LeaseHolder::Renew(Instant aNow)
{
  std::vector<SendMessage> messages;
  if (aNow < m_renew_at) {
    return messages;
  }
  m_renew_at = aNow + m_rules.renew_interval;
  for (const Slot& slot : m_slots) {
    if (!slot.refused && !slot.replaced) {
      messages.push_back({ slot.witness.instance, Renewal(slot, aNow) });
    }
  }
  return messages;
}

void
LeaseHolder::OnAck(const LeaseAck& aAck, Instant aNow)
{
  if (aAck.lease != m_row.lease) {
    return;
  }
  for (Slot& slot : m_slots) {
    if (slot.witness.instance != aAck.witness.instance) {
      continue;
    }
    slot.last_reply_at = aNow;
    if (slot.witness != aAck.witness) {
      slot.replaced = true;
    } else if (!aAck.granted) {
      slot.refused = true;
    } else {
      slot.acked =
        std::max(slot.acked.value_or(Instant::min()), TimeOf(aAck.mark));
      slot.config = std::max(slot.config, aAck.config);
      slot.version = std::max(slot.version, aAck.version);
    }
  }
  const bool confirmed = IsConfirmed();
  for (Slot& slot : m_slots) {
    slot.counts = slot.counts || confirmed;
  }
}

bool
LeaseHolder::IsConfirmed() const
{
  return std::any_of(m_slots.begin(), m_slots.end(), [this](const Slot& aSlot) {
    return aSlot.counts && aSlot.config >= m_row.rev;
  });
}

const LeaseHolder::Slot*
LeaseHolder::Find(const Incarnation& aWitness) const
{
  const auto found =
    std::find_if(m_slots.begin(), m_slots.end(), [&](const Slot& aSlot) {
      return aSlot.witness == aWitness;
    });
  return found == m_slots.end() ? nullptr : &*found;
}

bool
LeaseHolder::IsRefused() const
{
  return !m_slots.empty() &&
         std::all_of(m_slots.begin(), m_slots.end(), [](const Slot& aSlot) {
           return aSlot.refused;
         });
}

bool
LeaseHolder::IsLost(const Incarnation& aWitness, Instant aNow) const
{
  const Slot* slot = Find(aWitness);
  return slot == nullptr || slot->refused || slot->replaced ||
         aNow >= slot->last_reply_at + m_rules.witness_timeout;
}

bool
LeaseHolder::IsReplaced(const Incarnation& aWitness) const
{
  const Slot* slot = Find(aWitness);
  return slot != nullptr && slot->replaced;
}

bool
LeaseHolder::IsAcking(const Incarnation& aWitness, Instant aNow) const
{
  const Slot* slot = Find(aWitness);
  return slot != nullptr && !slot->refused && slot->acked &&
         aNow < *slot->acked + m_rules.lease;
}

bool
LeaseHolder::IsRefusedBy(const Incarnation& aWitness) const
{
  const Slot* slot = Find(aWitness);
  return slot != nullptr && slot->refused;
}

} // namespace jujubehead::core
