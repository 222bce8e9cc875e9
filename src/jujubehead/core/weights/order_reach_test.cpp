#include "jujubehead/core/weights/order_reach.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;

namespace {

constexpr Duration kYieldTime = std::chrono::seconds(8);
const TargetId kOne("t1");
const TargetId kTwo("t2");

} // namespace

TEST_GROUP(OrderReach)
{
  OrderReach reach{ kYieldTime };
  Instant now = Instant{} + std::chrono::hours(1);
};

// A coordinator that was partitioned from the targets kept the lease, and no
// target loaded newer weights until its paths were back.
TEST(OrderReach, ACoordinatorThatReachesNoTargetYields)
{
  reach.OnNoResponse(kOne, now);
  CHECK_FALSE(reach.IsYielding(now));
  now += std::chrono::seconds(1);
  reach.OnNoResponse(kOne, now);
  CHECK_FALSE(reach.IsYielding(now));
  reach.OnNoResponse(kTwo, now);
  CHECK(reach.IsYielding(now));
  CHECK_FALSE(reach.IsYielding(now + kYieldTime));
}

TEST(OrderReach, OneThatReachesSomeDoesNot)
{
  reach.OnNoResponse(kOne, now);
  reach.OnResponse();
  now += std::chrono::seconds(1);
  reach.OnNoResponse(kTwo, now);
  CHECK_FALSE(reach.IsYielding(now));
}

// Targets that crash together fail their questions within a moment.
TEST(OrderReach, OneWhoseTargetsCrashedTogetherDoesNot)
{
  reach.OnNoResponse(kOne, now);
  reach.OnNoResponse(kTwo, now);
  CHECK_FALSE(reach.IsYielding(now));
}
