#include "jujubehead/core/routing/direct_paths.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;

namespace {

const TargetId kOne("t1");
const TargetId kTwo("t2");
const TargetId kThree("t3");

} // namespace

TEST_GROUP(DirectPaths)
{
  DirectPaths paths;
  Instant now = Instant{} + std::chrono::hours(1);
};

// One target that is out of reach says nothing of the paths to the others.
TEST(DirectPaths, OneLostPathIsNoPartition)
{
  CHECK(paths.OnLost(kOne, PathLoss::kSilent, now));
  CHECK_FALSE(paths.OnLost(kOne, PathLoss::kSilent, now));
  CHECK(paths.IsLost(kOne));
  CHECK_FALSE(paths.IsLost(kTwo));
  CHECK_FALSE(paths.IsPartitioned());
}

// A partitioned instance must not find out with a request for each target.
TEST(DirectPaths, SeveralLostPathsInARowAreAPartition)
{
  paths.OnLost(kOne, PathLoss::kSilent, now);
  paths.OnLost(kTwo, PathLoss::kSilent, now);
  CHECK(paths.IsPartitioned());
  CHECK(paths.IsLost(kThree));
  CHECK(paths.IsSilent(kThree));
}

TEST(DirectPaths, AConnectionEndsAPartition)
{
  paths.OnLost(kOne, PathLoss::kRefused, now);
  paths.OnLost(kTwo, PathLoss::kRefused, now);
  CHECK_FALSE(paths.IsSilent(kThree));
  CHECK(paths.OnConnected(kOne));
  CHECK_FALSE(paths.IsPartitioned());
  CHECK_FALSE(paths.IsLost(kOne));
  CHECK(paths.IsLost(kTwo));
  CHECK_FALSE(paths.IsLost(kThree));
}

// Two targets next to the same fault stay out of reach after the partition: a
// check of these alone would never see its end.
TEST(DirectPaths, APartitionIsCheckedWithOtherTargetsToo)
{
  paths.OnUse(kThree);
  paths.OnLost(kOne, PathLoss::kSilent, now);
  paths.OnLost(kTwo, PathLoss::kSilent, now);
  bool has_checked_other = false;
  for (int i = 0; i < 4; ++i) {
    now += std::chrono::seconds(1);
    has_checked_other |= paths.NextCheck(now) == kThree;
  }
  CHECK(has_checked_other);
}

TEST(DirectPaths, LostPathsAreCheckedInTurn)
{
  paths.OnLost(kOne, PathLoss::kSilent, now);
  paths.OnConnected(kThree);
  paths.OnLost(kTwo, PathLoss::kSilent, now);
  now += std::chrono::seconds(1);
  const auto first = paths.NextCheck(now);
  now += std::chrono::seconds(1);
  const auto second = paths.NextCheck(now);
  CHECK(first && second && *first != *second);
}

TEST(DirectPaths, ATargetThatHasLeftIsForgotten)
{
  paths.OnUse(kOne);
  paths.OnLost(kOne, PathLoss::kSilent, now);
  paths.Forget(kOne);
  CHECK_FALSE(paths.HasLost());
  CHECK(paths.RecentlyUsed().empty());
  CHECK_FALSE(paths.NextCheck(now).has_value());
}
