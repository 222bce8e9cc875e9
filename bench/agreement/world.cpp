#include "bench/agreement/world.hpp"

#include <algorithm> // for find_if, minmax
#include <string>    // for string, to_string

#include "bench/agreement/sim_node.hpp" // for SimNode
#include "jujubehead/wire/codec.hpp"    // for Encode

namespace jujubehead::bench {

namespace {

using namespace std::chrono_literals;

/// Of a masked websocket frame.
constexpr std::size_t kFrameBytes = 8;
constexpr core::Duration kListEvery = 1s;

bool
IsPermit(const wire::Message& aMessage)
{
  return std::holds_alternative<wire::PermitAcquire>(aMessage) ||
         std::holds_alternative<wire::PermitReply>(aMessage) ||
         std::holds_alternative<wire::PermitStarted>(aMessage) ||
         std::holds_alternative<wire::PermitRelease>(aMessage);
}

std::pair<std::uint32_t, std::uint32_t>
Pair(std::uint32_t aLeft, std::uint32_t aRight)
{
  return std::minmax(aLeft, aRight);
}

} // namespace

World::World(WorldOptions aOptions)
  : m_options(aOptions)
  , m_random(aOptions.seed)
  , m_table(m_queue, m_random)
{
  for (std::uint32_t i = 0; i < m_options.groups; ++i) {
    m_groups.emplace_back("target-" + std::to_string(i));
    m_engines.emplace(m_groups.back(),
                      FakeEngine(m_options.limit, m_options.checks_fencing));
  }
  m_nodes.resize(m_options.instances);
  for (std::uint32_t i = 0; i < m_options.instances; ++i) {
    Start(i);
  }
  m_list.clear();
  for (const auto& node : m_nodes) {
    m_list.push_back({ node->Id(), node->DataCentre(), false });
  }
  m_queue.After(kListEvery, [this] { Refresh(); });
}

World::~World() = default;

void
World::Refresh()
{
  m_queue.After(kListEvery, [this] { Refresh(); });
  std::vector<core::InstanceMember> list;
  for (const auto& node : m_nodes) {
    if (node->IsAlive() && !m_hidden.contains(node->Index()) &&
        !node->Own().HasLeft()) {
      list.push_back({ node->Id(), node->DataCentre(), node->IsLeaving() });
    }
  }
  m_queue.After(m_options.list_lag,
                [this, list = std::move(list)] { m_list = list; });
}

std::vector<core::InstanceMember>
World::Members() const
{
  return m_list;
}

void
World::Start(std::uint32_t aIndex)
{
  if (m_nodes[aIndex] && m_nodes[aIndex]->IsAlive()) {
    return;
  }
  if (m_nodes[aIndex]) {
    m_dead.push_back(std::move(m_nodes[aIndex]));
  }
  ++m_starts;
  const std::uint64_t life = m_options.breaks.same_process ? 1 : m_starts;
  const std::uint64_t process = ((life << 8U) + aIndex)
                                << core::Incarnation::kLeaseBits;
  m_nodes[aIndex] = std::make_unique<SimNode>(
    *this,
    aIndex,
    core::InstanceId("instance-" + std::to_string(aIndex)),
    core::DataCentreId("dc" + std::to_string(aIndex % m_options.data_centres)),
    process);
}

void
World::Crash(std::uint32_t aIndex)
{
  m_nodes[aIndex]->Kill();
}

void
World::Pause(std::uint32_t aIndex, core::Duration aTime)
{
  m_nodes[aIndex]->Pause(aTime, m_random.Chance(0.5));
}

void
World::Leave(std::uint32_t aIndex)
{
  m_nodes[aIndex]->Leave();
}

void
World::Cut(std::uint32_t aLeft, std::uint32_t aRight, bool aCut)
{
  if (aCut) {
    m_cut.insert(Pair(aLeft, aRight));
  } else {
    m_cut.erase(Pair(aLeft, aRight));
  }
}

void
World::CutService(std::uint32_t aIndex, bool aCut)
{
  if (aCut) {
    m_cut_service.insert(aIndex);
  } else {
    m_cut_service.erase(aIndex);
  }
}

void
World::HideFromList(std::uint32_t aIndex, bool aHidden)
{
  if (aHidden) {
    m_hidden.insert(aIndex);
  } else {
    m_hidden.erase(aIndex);
  }
}

void
World::HealLinks()
{
  m_cut.clear();
  m_cut_service.clear();
  m_hidden.clear();
  m_options.lose_message = 0;
}

bool
World::IsAlive(std::uint32_t aIndex) const
{
  return m_nodes[aIndex]->IsAlive();
}

FakeEngine&
World::Engine(const core::GroupId& aGroup)
{
  return m_engines.at(aGroup);
}

std::uint32_t
World::IndexOf(const core::InstanceId& aId) const
{
  const auto found =
    std::find_if(m_nodes.begin(), m_nodes.end(), [&aId](const auto& aNode) {
      return aNode->Id() == aId;
    });
  return static_cast<std::uint32_t>(found - m_nodes.begin());
}

void
World::Count(const wire::Message& aMessage)
{
  const auto bytes = wire::Encode({ 1, false, aMessage }).size() + kFrameBytes;
  if (IsPermit(aMessage)) {
    ++m_counters.permit_messages;
    m_counters.permit_bytes += bytes;
  } else {
    ++m_counters.control_messages;
    m_counters.control_bytes += bytes;
  }
}

void
World::Deliver(const core::InstanceId& aFrom,
               const core::InstanceId& aTo,
               const wire::Envelope& aEnvelope)
{
  const std::uint32_t from = IndexOf(aFrom);
  const std::uint32_t to = IndexOf(aTo);
  if (to >= m_nodes.size()) {
    return;
  }
  if (from != to) {
    if (m_options.count_bytes) {
      Count(aEnvelope.message);
    }
    if (m_cut.contains(Pair(from, to)) ||
        m_random.Chance(m_options.lose_message)) {
      return;
    }
  }
  SimNode* node = m_nodes[to].get();
  m_queue.After(from == to ? 0us : m_random.Between(1ms, 3ms),
                [node, aFrom, aEnvelope] { node->Receive(aFrom, aEnvelope); });
}

void
World::ServiceWrite(std::uint32_t aIndex, const core::WriteRows& aWrite)
{
  SimNode* node = m_nodes[aIndex].get();
  if (m_cut_service.contains(aIndex)) {
    m_queue.After(1s, [node, aWrite] {
      node->Written(aWrite.token, core::WriteOutcome::kFailed);
    });
    return;
  }
  m_table.Write(aWrite, [node, aWrite](core::WriteOutcome aOutcome) {
    node->Written(aWrite.token, aOutcome);
  });
}

void
World::ServiceRead(std::uint32_t aIndex, const core::ReadRows& aRead)
{
  SimNode* node = m_nodes[aIndex].get();
  if (m_cut_service.contains(aIndex)) {
    m_queue.After(1s, [node, aRead] {
      core::RowsRead failed;
      failed.token = aRead.token;
      failed.failed = true;
      node->Read(failed);
    });
    return;
  }
  m_table.Read(aRead,
               [node](const core::RowsRead& aRows) { node->Read(aRows); });
}

void
World::NoteGrant(const core::GroupId& aGroup, std::uint64_t aEpoch)
{
  std::uint64_t& epoch = m_epochs[aGroup];
  if (aEpoch < epoch) {
    ++m_counters.stale_grants;
  }
  epoch = std::max(epoch, aEpoch);
  m_last_grant[aGroup] = m_queue.Now();
}

WorldCounters
World::Counters() const
{
  WorldCounters counters = m_counters;
  for (const auto& [group, engine] : m_engines) {
    counters.overshoot += engine.Overshoot();
  }
  return counters;
}

std::optional<std::uint32_t>
World::OwnerOf(std::uint32_t aGroup) const
{
  for (const auto& node : m_nodes) {
    if (node->IsAlive() && !node->IsPaused() &&
        node->Own().MayAdmit(m_groups[aGroup], m_queue.Now())) {
      return node->Index();
    }
  }
  return std::nullopt;
}

std::uint32_t
World::OwnedGroups() const
{
  std::uint32_t owned = 0;
  for (std::uint32_t i = 0; i < m_options.groups; ++i) {
    owned += OwnerOf(i) ? 1 : 0;
  }
  return owned;
}

std::uint32_t
World::OpenPlaces(std::uint32_t aGroup) const
{
  const auto owner = OwnerOf(aGroup);
  return owner ? m_nodes[*owner]->OpenPlaces(m_groups[aGroup]) : 0;
}

double
World::OpenShare() const
{
  double open = 0;
  for (std::uint32_t i = 0; i < m_options.groups; ++i) {
    open += OpenPlaces(i);
  }
  return open / m_options.groups / m_options.limit;
}

core::Instant
World::LastGrant(std::uint32_t aGroup) const
{
  const auto found = m_last_grant.find(m_groups[aGroup]);
  return found == m_last_grant.end() ? core::Instant() : found->second;
}

std::string
World::Describe() const
{
  std::string text;
  for (const auto& node : m_nodes) {
    text += node->Describe() + "\n";
  }
  return text;
}

} // namespace jujubehead::bench
