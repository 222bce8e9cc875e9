#include "jujubehead/core/routing/software_versions.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::seconds;

namespace {

const Instant kStart{ std::chrono::hours(1) };
constexpr Duration kLongest = seconds(20);
const ServiceId kService("s");

RegistrationChange
Target(const char* aId, const char* aVersion)
{
  RegisteredTarget target;
  target.id = TargetId(aId);
  target.service = kService;
  target.software_version = aVersion;
  return { target.id, target };
}

} // namespace

TEST_GROUP(SoftwareVersions)
{
  SoftwareVersions versions;

  bool IsSole(const char* aVersion, Duration aAfter)
  {
    const SoleVersions sole = versions.Sole(kLongest, kStart + aAfter);
    const auto found = sole.find(kService);
    return found != sole.end() && found->second == aVersion;
  }
  bool HasSole(Duration aAfter)
  {
    return !versions.Sole(kLongest, kStart + aAfter).empty();
  }
};

// Another version may have served until just before the process started.
TEST(SoftwareVersions, OneVersionIsSoleOnceAStreamCannotBeOlder)
{
  versions.Apply({ Target("a", "v1"), Target("b", "v1") }, kStart);
  CHECK_FALSE(HasSole(kLongest - seconds(1)));
  CHECK(IsSole("v1", kLongest));
}

TEST(SoftwareVersions, AnotherVersionEndsIt)
{
  versions.Apply({ Target("a", "v1") }, kStart);
  versions.Apply({ Target("b", "v2") }, kStart + kLongest);
  CHECK_FALSE(HasSole(2 * kLongest));
}

TEST(SoftwareVersions, AVersionThatIsGoneCountsForALongestStream)
{
  versions.Apply({ Target("a", "v1"), Target("b", "v2") }, kStart);
  const Duration gone = 2 * kLongest;
  versions.Apply({ { TargetId("a"), std::nullopt } }, kStart + gone);
  CHECK_FALSE(HasSole(gone + kLongest - seconds(1)));
  CHECK(IsSole("v2", gone + kLongest));
}

// One id names one process; its entry may still be corrected.
TEST(SoftwareVersions, AnEntryThatNamesAnotherVersionCountsForBoth)
{
  versions.Apply({ Target("a", "v1") }, kStart);
  versions.Apply({ Target("a", "v2") }, kStart + kLongest);
  CHECK_FALSE(HasSole(kLongest + seconds(1)));
  CHECK(IsSole("v2", 2 * kLongest));
}

TEST(SoftwareVersions, TargetsWithoutVersionsAreAllAlike)
{
  versions.Apply({ Target("a", ""), Target("b", "") }, kStart);
  CHECK(IsSole("", seconds(0)));
  versions.Apply({ Target("c", "v1") }, kStart);
  CHECK_FALSE(HasSole(kLongest));
}
