#include "planned_stops.hpp"

namespace jujubehead::node {
namespace {

core::StopKind
StopKindOf(net::MemberKind aKind)
{
  switch (aKind) {
    case net::MemberKind::kInstance:
      return core::StopKind::kInstance;
    case net::MemberKind::kTarget:
      return core::StopKind::kTarget;
    case net::MemberKind::kStore:
      return core::StopKind::kStore;
    case net::MemberKind::kService:
      break;
  }
  return core::StopKind::kService;
}

} // namespace

bool
IsStopping(const core::TableView& aTable, const net::Member& aMember)
{
  // Instances of a stopped data centre still serve the callers that reach them.
  const bool follows_data_centre = aMember.kind != net::MemberKind::kInstance;
  return aMember.leaving ||
         aTable.FindStop({ StopKindOf(aMember.kind), aMember.id }) != nullptr ||
         (follows_data_centre &&
          aTable.FindStop({ core::StopKind::kDataCentre,
                            aMember.data_centre.Text() }) != nullptr);
}

} // namespace jujubehead::node
