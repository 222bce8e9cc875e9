#ifndef JUJUBEHEAD_SRC_CORE_MEMBER_WATCH_HPP
#define JUJUBEHEAD_SRC_CORE_MEMBER_WATCH_HPP

#include <map>    // for map
#include <set>    // for set
#include <span>   // for span
#include <vector> // for vector

#include "jujubehead/core/ownership.hpp" // for InstanceMember, OwnershipRules

namespace jujubehead::core {

/// @brief Combines the platform's list of instances, which may be late or
/// wrong, with the times of messages from the instances themselves.
class MemberWatch
{
public:
  MemberWatch(InstanceId aSelf, DataCentreId aDataCentre, OwnershipRules aRules)
    : m_self(std::move(aSelf))
    , m_data_centre(std::move(aDataCentre))
    , m_rules(aRules)
  {
  }

  void Set(std::span<const InstanceMember> aMembers, Instant aNow);
  void RecordMessage(const InstanceId& aFrom, Instant aNow);
  [[nodiscard]] bool IsKnown() const { return m_known; }
  [[nodiscard]] bool IsListed(const InstanceId& aInstance) const;
  [[nodiscard]] bool IsLeaving(const InstanceId& aInstance) const;
  /// @return whether the instance has been missing from the list, and has sent
  /// nothing, for at least OwnershipRules::member_timeout.
  [[nodiscard]] bool IsGone(const InstanceId& aInstance, Instant aNow);
  /// @return when the list last changed.
  [[nodiscard]] Instant ChangedAt() const { return m_changed_at; }
  /// @return all other listed instances.
  [[nodiscard]] std::vector<InstanceId> Others() const;
  /// @return other instances that satisfy `aUsable`: those in other data
  /// centres first, taking each data centre once before any a second time.
  template<typename Usable>
  [[nodiscard]] std::vector<InstanceId> WitnessOrder(Usable aUsable) const;

private:
  [[nodiscard]] std::vector<InstanceId> Order(
    const std::vector<InstanceMember>& aMembers) const;

  InstanceId m_self;
  DataCentreId m_data_centre;
  OwnershipRules m_rules;
  std::map<InstanceId, InstanceMember> m_members;
  std::map<InstanceId, Instant> m_last_message_at;
  std::map<InstanceId, Instant> m_absent_since;
  Instant m_set_at;
  Instant m_changed_at;
  bool m_known = false;
};

template<typename Usable>
std::vector<InstanceId>
MemberWatch::WitnessOrder(Usable aUsable) const
{
  std::vector<InstanceMember> members;
  for (const auto& [id, member] : m_members) {
    if (id != m_self && !member.leaving && aUsable(id)) {
      members.push_back(member);
    }
  }
  return Order(members);
}

} // namespace jujubehead::core

#endif // JUJUBEHEAD_SRC_CORE_MEMBER_WATCH_HPP
