#include "jujubehead/node/member_book.hpp"

#include <utility> // for move

namespace jujubehead::node {
namespace {

bool
IsTarget(const net::Member& aMember)
{
  return aMember.kind == net::MemberKind::kTarget ||
         aMember.kind == net::MemberKind::kService;
}

} // namespace

bool
MemberBook::Replace(net::Members aReading)
{
  if (aReading.as_of_ms < m_as_of_ms) {
    return false;
  }
  m_as_of_ms = aReading.as_of_ms;
  std::map<std::string, net::Member, std::less<>> next;
  for (net::Member& member : aReading.members) {
    std::string id = member.id;
    next.emplace(std::move(id), std::move(member));
  }
  const bool changed = next != m_by_id;
  m_by_id = std::move(next);
  return changed;
}

const net::Member*
MemberBook::Find(std::string_view aId) const
{
  const auto found = m_by_id.find(aId);
  return found == m_by_id.end() ? nullptr : &found->second;
}

std::vector<const net::Member*>
MemberBook::TargetsOf(const core::ModelId& aModel) const
{
  std::vector<const net::Member*> found;
  for (const auto& [id, member] : m_by_id) {
    if (IsTarget(member) && member.model == aModel) {
      found.push_back(&member);
    }
  }
  return found;
}

std::vector<const net::Member*>
MemberBook::Targets() const
{
  std::vector<const net::Member*> found;
  for (const auto& [id, member] : m_by_id) {
    if (IsTarget(member)) {
      found.push_back(&member);
    }
  }
  return found;
}

std::vector<const net::Member*>
MemberBook::Stores() const
{
  return OfKind(net::MemberKind::kStore);
}

std::vector<const net::Member*>
MemberBook::Instances() const
{
  return OfKind(net::MemberKind::kInstance);
}

std::vector<core::InstanceId>
MemberBook::LiveInstances() const
{
  std::vector<core::InstanceId> ids;
  for (const net::Member* member : Instances()) {
    if (!member->leaving) {
      ids.emplace_back(member->id);
    }
  }
  return ids;
}

std::vector<const net::Member*>
MemberBook::OfKind(net::MemberKind aKind) const
{
  std::vector<const net::Member*> found;
  for (const auto& [id, member] : m_by_id) {
    if (member.kind == aKind) {
      found.push_back(&member);
    }
  }
  return found;
}

} // namespace jujubehead::node
