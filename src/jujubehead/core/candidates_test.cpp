#include "jujubehead/core/candidates.hpp"

#include <algorithm> // for find
#include <set>       // for set
#include <string>    // for to_string

// Last: its macros change the meaning of new.
#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;

namespace {

std::vector<TargetId>
Targets(std::size_t aCount)
{
  std::vector<TargetId> targets;
  for (std::size_t i = 0; i < aCount; ++i) {
    targets.emplace_back("t" + std::to_string(i));
  }
  return targets;
}

ContextKey
Root(std::uint8_t aByte)
{
  ContextKey::Bytes bytes{};
  bytes[0] = aByte;
  return ContextKey(bytes);
}

} // namespace

TEST_GROUP(Candidates){};

TEST(Candidates, HoldersComeFirstIfTheyServeTheModel)
{
  const std::vector<PrefixHint> hints{
    { TargetId("gone"), 9, std::nullopt },
    { StoreId("s"), 8, CopyId{ "h", 1 } },
    { TargetId("t3"), 7, std::nullopt },
  };
  const auto picked = PickCandidates(hints, Root(1), Targets(9), 0);
  CHECK(picked.front() == TargetId("t3"));
  CHECK(std::find(picked.begin(), picked.end(), TargetId("gone")) ==
        picked.end());
}

TEST(Candidates, HashedTargetsDoNotDependOnTheDraw)
{
  const CandidateSettings hashed_only{ 0, 2, 0 };
  const auto first = PickCandidates({}, Root(1), Targets(9), 1, hashed_only);
  const auto second = PickCandidates({}, Root(1), Targets(9), 99, hashed_only);
  CHECK_EQUAL(2, first.size());
  CHECK(first == second);
}

TEST(Candidates, EveryTargetIsDrawnEventuallyAndNoneTwice)
{
  std::set<TargetId> seen;
  for (std::uint64_t draw = 0; draw < 100; ++draw) {
    const auto picked = PickCandidates({}, Root(1), Targets(9), draw);
    CHECK_EQUAL(3, picked.size());
    CHECK_EQUAL(3, std::set<TargetId>(picked.begin(), picked.end()).size());
    seen.insert(picked.begin(), picked.end());
  }
  CHECK_EQUAL(9, seen.size());
}

TEST(Candidates, FewTargetsAreAllPicked)
{
  CHECK_EQUAL(2, PickCandidates({}, Root(1), Targets(2), 0).size());
  CHECK(PickCandidates({}, Root(1), {}, 0).empty());
}
