#include "member_watch.hpp"

#include <algorithm> // for stable_sort

#include "jujubehead/core/rendezvous.hpp" // for RankByRendezvous

namespace jujubehead::core {

namespace {

/// An older list is no evidence that an instance is gone.
constexpr Duration kMaxListAge = std::chrono::seconds(10);

} // namespace

void
MemberWatch::Set(std::span<const InstanceMember> aMembers, Instant aNow)
{
  std::map<InstanceId, InstanceMember> members;
  for (const InstanceMember& member : aMembers) {
    members.emplace(member.id, member);
    m_absent_since.erase(member.id);
  }
  for (const auto& [id, member] : m_members) {
    if (!members.contains(id)) {
      m_absent_since.try_emplace(id, aNow);
    }
  }
  if (!m_known || members != m_members) {
    m_changed_at = aNow;
  }
  m_members = std::move(members);
  m_set_at = aNow;
  m_known = true;
}

void
MemberWatch::RecordMessage(const InstanceId& aFrom, Instant aNow)
{
  m_last_message_at[aFrom] = aNow;
}

bool
MemberWatch::IsListed(const InstanceId& aInstance) const
{
  return m_members.contains(aInstance);
}

bool
MemberWatch::IsLeaving(const InstanceId& aInstance) const
{
  const auto found = m_members.find(aInstance);
  return found != m_members.end() && found->second.leaving;
}

bool
MemberWatch::IsGone(const InstanceId& aInstance, Instant aNow)
{
  if (!m_known || IsListed(aInstance) || aInstance == m_self ||
      aNow > m_set_at + kMaxListAge) {
    return false;
  }
  const Instant absent =
    m_absent_since.try_emplace(aInstance, aNow).first->second;
  const auto last_message = m_last_message_at.find(aInstance);
  const bool silent = last_message == m_last_message_at.end() ||
                      aNow >= last_message->second + m_rules.member_timeout;
  return silent && aNow >= absent + m_rules.member_timeout;
}

std::vector<InstanceId>
MemberWatch::Others() const
{
  std::vector<InstanceId> others;
  for (const auto& [id, member] : m_members) {
    if (id != m_self) {
      others.push_back(id);
    }
  }
  return others;
}

std::vector<InstanceId>
MemberWatch::Order(const std::vector<InstanceMember>& aMembers) const
{
  std::vector<InstanceId> ids;
  std::map<InstanceId, DataCentreId> centres;
  for (const InstanceMember& member : aMembers) {
    ids.push_back(member.id);
    centres.emplace(member.id, member.data_centre);
  }
  std::vector<InstanceId> order =
    RankByRendezvous(m_self.View(), ids, ids.size());
  std::map<DataCentreId, int> rounds_in_centre;
  std::map<InstanceId, int> round;
  rounds_in_centre[m_data_centre] = static_cast<int>(order.size());
  for (const InstanceId& id : order) {
    round[id] = rounds_in_centre[centres.at(id)]++;
  }
  std::stable_sort(order.begin(),
                   order.end(),
                   [&round](const InstanceId& aLeft, const InstanceId& aRight) {
                     return round.at(aLeft) < round.at(aRight);
                   });
  return order;
}

} // namespace jujubehead::core
