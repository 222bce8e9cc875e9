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
    WitnessState state;
    state.witness = witness;
    state.last_reply_at = aNow;
    m_states.push_back(std::move(state));
  }
}

Instant
LeaseHolder::ExpiresAt() const
{
  if (m_states.empty()) {
    return Instant::max();
  }
  Instant expires_at = Instant::min();
  for (const WitnessState& state : m_states) {
    if (state.counts && state.acked) {
      expires_at = std::max(expires_at, *state.acked + m_rules.lease);
    }
  }
  return expires_at;
}

void
LeaseHolder::Apply(const LeaseRow& aRow, bool aAllCount, Instant aNow)
{
  std::vector<WitnessState> states;
  for (const Incarnation& witness : aRow.witnesses) {
    if (const WitnessState* known = Find(witness)) {
      states.push_back(*known);
      states.back().counts = known->counts || aAllCount;
      continue;
    }
    WitnessState state;
    state.witness = witness;
    state.counts = aAllCount;
    state.last_reply_at = aNow;
    states.push_back(std::move(state));
  }
  m_row = aRow;
  m_states = std::move(states);
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
  return m_states.empty() ||
         std::any_of(
           m_states.begin(), m_states.end(), [&](const WitnessState& aState) {
             return aState.counts && aState.acked && aState.version >= aVersion;
           });
}

bool
LeaseHolder::IsUpToDate(const Incarnation& aWitness) const
{
  const WitnessState* state = Find(aWitness);
  return state != nullptr && state->counts && state->acked &&
         state->version == m_list.version;
}

LeaseRenew
LeaseHolder::Renewal(const WitnessState& aState, Instant aNow) const
{
  LeaseRenew renew{ m_row, MarkOf(aNow), m_list.version, {} };
  if (aState.version < m_list.version) {
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
  for (const WitnessState& state : m_states) {
    if (!state.refused && !state.replaced) {
      messages.push_back({ state.witness.instance, Renewal(state, aNow) });
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
  for (WitnessState& state : m_states) {
    if (state.witness.instance != aAck.witness.instance) {
      continue;
    }
    state.last_reply_at = aNow;
    if (state.witness != aAck.witness) {
      state.replaced = true;
    } else if (!aAck.granted) {
      state.refused = true;
    } else {
      state.acked =
        std::max(state.acked.value_or(Instant::min()), TimeOf(aAck.mark));
      state.config = std::max(state.config, aAck.config);
      state.version = std::max(state.version, aAck.version);
    }
  }
  const bool confirmed = IsConfirmed();
  for (WitnessState& state : m_states) {
    state.counts = state.counts || confirmed;
  }
}

bool
LeaseHolder::IsConfirmed() const
{
  return std::any_of(
    m_states.begin(), m_states.end(), [this](const WitnessState& aState) {
      return aState.counts && aState.config >= m_row.rev;
    });
}

const LeaseHolder::WitnessState*
LeaseHolder::Find(const Incarnation& aWitness) const
{
  const auto found = std::find_if(
    m_states.begin(), m_states.end(), [&](const WitnessState& aState) {
      return aState.witness == aWitness;
    });
  return found == m_states.end() ? nullptr : &*found;
}

bool
LeaseHolder::IsRefused() const
{
  return !m_states.empty() &&
         std::all_of(m_states.begin(),
                     m_states.end(),
                     [](const WitnessState& aState) { return aState.refused; });
}

bool
LeaseHolder::IsLost(const Incarnation& aWitness, Instant aNow) const
{
  const WitnessState* state = Find(aWitness);
  return state == nullptr || state->refused || state->replaced ||
         aNow >= state->last_reply_at + m_rules.witness_timeout;
}

bool
LeaseHolder::IsReplaced(const Incarnation& aWitness) const
{
  const WitnessState* state = Find(aWitness);
  return state != nullptr && state->replaced;
}

bool
LeaseHolder::IsAcking(const Incarnation& aWitness, Instant aNow) const
{
  const WitnessState* state = Find(aWitness);
  return state != nullptr && !state->refused && state->acked &&
         aNow < *state->acked + m_rules.lease;
}

bool
LeaseHolder::IsRefusedBy(const Incarnation& aWitness) const
{
  const WitnessState* state = Find(aWitness);
  return state != nullptr && state->refused;
}

} // namespace jujubehead::core
