#include "planned_stops.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;

namespace {

const std::string kName = "member-1";

net::Member
MemberIn(const std::string& aDataCentre,
         net::MemberKind aKind = net::MemberKind::kTarget)
{
  net::Member member;
  member.id = kName;
  member.kind = aKind;
  member.data_centre = core::DataCentreId(aDataCentre);
  return member;
}

} // namespace

TEST_GROUP(PlannedStops)
{
  core::TableView table;

  void Apply(core::Change aChange)
  {
    core::ChangeEntry entry;
    entry.version = table.Version() + 1;
    entry.changes.push_back(std::move(aChange));
    CHECK(table.Apply({ &entry, 1 }) == core::ApplyResult::kAdvanced);
  }
};

TEST(PlannedStops, AStopOfADataCentreStopsItsTargetsStoresAndServices)
{
  const core::StopSubject north{ core::StopKind::kDataCentre,
                                 std::string("north") };
  Apply(core::SetStop{ { north, 0 } });
  for (const auto kind : { net::MemberKind::kTarget,
                           net::MemberKind::kStore,
                           net::MemberKind::kService }) {
    CHECK(node::IsStopping(table, MemberIn("north", kind)));
    CHECK_FALSE(node::IsStopping(table, MemberIn("south", kind)));
  }
  CHECK_FALSE(
    node::IsStopping(table, MemberIn("north", net::MemberKind::kInstance)));
  Apply(core::ClearStop{ north });
  CHECK_FALSE(node::IsStopping(table, MemberIn("north")));
}

TEST(PlannedStops, AMemberOfTheSameNameAsADataCentreIsNotStoppedWithIt)
{
  Apply(core::SetStop{ { { core::StopKind::kDataCentre, kName }, 0 } });
  CHECK_FALSE(node::IsStopping(table, MemberIn("north")));
}
