#ifndef JUJUBEHEAD_NODE_PLANNED_STOPS_HPP
#define JUJUBEHEAD_NODE_PLANNED_STOPS_HPP

#include "jujubehead/core/change_log.hpp" // for TableView
#include "jujubehead/net/member_list.hpp" // for Member

namespace jujubehead::node {

/// @return whether a member or its data centre has a planned stop, or is
/// leaving by itself.
bool
IsStopping(const core::TableView& aTable, const net::Member& aMember);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_PLANNED_STOPS_HPP
