#ifndef JUJUBEHEAD_NODE_MEMBER_BOOK_HPP
#define JUJUBEHEAD_NODE_MEMBER_BOOK_HPP

#include <map>         // for map
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "jujubehead/core/ids.hpp"        // for InstanceId, ModelId
#include "jujubehead/net/member_list.hpp" // for Member, Members

namespace jujubehead::node {

/// @brief The newest reading of the platform's membership list, by id.
class MemberBook
{
public:
  /// @brief Takes a reading; an older one than what is held changes nothing.
  /// @return whether anything changed.
  bool Replace(net::Members aReading);

  /// @return the member, or null; valid until the next Replace().
  [[nodiscard]] const net::Member* Find(std::string_view aId) const;
  /// @return targets and plain services of that model, leaving ones too.
  [[nodiscard]] std::vector<const net::Member*> TargetsOf(
    const core::ModelId& aModel) const;
  /// @return every target and plain service.
  [[nodiscard]] std::vector<const net::Member*> Targets() const;
  [[nodiscard]] std::vector<const net::Member*> Stores() const;
  [[nodiscard]] std::vector<const net::Member*> Instances() const;
  /// @return ids of instances that are not leaving, in order.
  [[nodiscard]] std::vector<core::InstanceId> LiveInstances() const;
  [[nodiscard]] bool IsEmpty() const { return m_by_id.empty(); }

private:
  [[nodiscard]] std::vector<const net::Member*> OfKind(
    net::MemberKind aKind) const;

  std::int64_t m_as_of_ms = 0;
  std::map<std::string, net::Member, std::less<>> m_by_id;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_MEMBER_BOOK_HPP
