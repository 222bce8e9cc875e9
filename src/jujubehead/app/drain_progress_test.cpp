#include "drain_progress.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::app;
using jujubehead::core::StopKind;
using jujubehead::core::StopSubject;
using jujubehead::node::InstanceStatus;

TEST_GROUP(DrainProgress)
{
  InstanceStatus status;
  void setup() override
  {
    status.instance_id = "i1";
    status.table_version = 5;
  }
  std::string Waits(const StopSubject& aSubject) const
  {
    const std::vector<InstanceReport> reports{ { "127.0.0.1:1", status } };
    std::string text;
    for (const std::string& reason : WaitsFor(aSubject, 5, reports)) {
      text += reason + '\n';
    }
    return text;
  }
};

TEST(DrainProgress, ATargetIsDrainedWhenNobodyRunsOrAdmitsThere)
{
  const StopSubject target{ StopKind::kTarget, "t1" };
  CHECK_EQUAL(std::string(), Waits(target));
  status.runs = { { "t1", 2, "" }, { "t2", 9, "" } };
  status.targets = { { "t1", "m", 3, 1, 4, 5, 8, true, "" },
                     { "t2", "m", 3, 9, 9, 9, 9, false, "" } };
  STRCMP_EQUAL("instance i1 runs 2 requests there\n"
               "instance i1 has 1 permit in use as its owner\n"
               "instance i1 has 4 requests waiting as its owner\n"
               "instance i1 keeps 5 places for runs not accounted for\n",
               Waits(target).c_str());
}

TEST(DrainProgress, AnInstanceIsDrainedWhenItServesAndOwnsNothing)
{
  status.open_requests = 1;
  status.stores = { { "s1", 1, 0, false } };
  STRCMP_EQUAL("instance i1 has 1 open request\n"
               "instance i1 still owns 1 target or store\n",
               Waits({ StopKind::kInstance, "i1" }).c_str());
  CHECK_EQUAL(std::string(), Waits({ StopKind::kInstance, "i2" }));
}

TEST(DrainProgress, AStoreIsDrainedWhenItsLinkIsQuiet)
{
  status.stores = { { "s1", 1, 70, true } };
  STRCMP_EQUAL("instance i1 has 70 bytes to move\n",
               Waits({ StopKind::kStore, "s1" }).c_str());
}

TEST(DrainProgress, ADataCentreIsDrainedWhenAllItsTargetsAre)
{
  const StopSubject north{ StopKind::kDataCentre, "north" };
  CHECK_EQUAL(std::string(), Waits(north));
  status.runs = { { "t1", 2, "north" }, { "t2", 9, "south" } };
  status.targets = { { "t1", "m", 3, 1, 0, 0, 8, true, "north" },
                     { "t2", "m", 3, 9, 9, 9, 9, false, "south" } };
  STRCMP_EQUAL("instance i1 runs 2 requests at t1\n"
               "instance i1 has 1 permit in use as its owner at t1\n",
               Waits(north).c_str());
}

TEST(DrainProgress, SilenceAndOldTablesAreReasons)
{
  status.table_version = 4;
  const StopSubject target{ StopKind::kTarget, "t1" };
  STRCMP_EQUAL("instance i1 does not know of the stop yet\n",
               Waits(target).c_str());
  const std::vector<InstanceReport> silent{ { "127.0.0.1:1",
                                              NoReport{ "cut off" } } };
  CHECK_EQUAL(std::string("instance at 127.0.0.1:1 does not answer: cut off"),
              WaitsFor(target, 5, silent).at(0));
}
