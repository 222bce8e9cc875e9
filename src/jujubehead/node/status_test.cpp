#include "jujubehead/node/status.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::node;

TEST_GROUP(InstanceStatus){};

TEST(InstanceStatus, ReadsBackWhatWasWritten)
{
  InstanceStatus status;
  status.instance_id = "i1";
  status.not_ready = "a \"reason\"";
  status.targets = { { "t1", "m", 3, 2, 1, 0, 8, true, "d1" } };
  status.stores = { { "s1", 4, 77, false } };
  status.runs = { { "t1", 2, "d1" } };
  status.stops = { { "target", "t1", 99 } };
  CHECK(InstanceStatusFromJson(ToJson(status)) == status);
}

TEST(InstanceStatus, TakesWhatItKnows)
{
  const auto status = InstanceStatusFromJson(
    R"({"instance_id":"i1","news":[1],"runs":[{"target":"t"}]})");
  CHECK(status.has_value());
  CHECK_EQUAL(std::string("i1"), status->instance_id);
  CHECK_EQUAL(0U, status->runs.at(0).requests);
  CHECK_FALSE(InstanceStatusFromJson("[]").has_value());
  CHECK_FALSE(InstanceStatusFromJson("{\"runs\":7}").has_value());
  CHECK_FALSE(InstanceStatusFromJson("{").has_value());
}
