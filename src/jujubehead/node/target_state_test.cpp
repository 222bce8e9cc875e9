#include "jujubehead/node/target_state.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using jujubehead::node::CanServe;
using jujubehead::node::TargetState;

TEST_GROUP(TargetState){};

TEST(TargetState, ARequestRunsOnlyWhereItsVersionAndAdapterAreLoaded)
{
  const TargetState state{ true, false, { "v1" }, { "x" } };
  CHECK(CanServe(state, "v1", "x"));
  CHECK(CanServe(state, "v1", ""));
  CHECK_FALSE(CanServe(state, "v2", "x"));
  CHECK_FALSE(CanServe(state, "v1", "y"));
}

TEST(TargetState, AnUnreachableTargetServesNothing)
{
  const TargetState gone{ false, false, { "v1" }, {} };
  CHECK_FALSE(CanServe(gone, "v1", ""));
}

TEST(TargetState, ATargetWhoseVersionsAreNotKnownYetIsTried)
{
  CHECK(CanServe(TargetState(), "v1", ""));
}
