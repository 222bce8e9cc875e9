#include "jujubehead/core/weights/superseded_versions.hpp"

#include <CppUTest/TestHarness.h> // for TEST

#include "jujubehead/core/context/cache_scope.hpp" // for ToText

using namespace jujubehead::core;

namespace {

const ModelId kModel("m");
constexpr Instant kStart{ std::chrono::seconds(100) };
constexpr Duration kSecond = std::chrono::seconds(1);

} // namespace

TEST_GROUP(SupersededVersions){};

TEST(SupersededVersions, NewestIsNotSuperseded)
{
  SupersededVersions versions;
  CHECK_FALSE(versions.Since(kModel, 1).has_value());
  versions.OnWanted(kModel, 2, kStart);
  CHECK_FALSE(versions.Since(kModel, 2).has_value());
  CHECK(versions.Since(kModel, 1) == kStart);
}

// Roll-outs in quick succession: the KV cache of the first version fills the
// stores until it is freed, so a later roll-out must not restart its time.
TEST(SupersededVersions, LaterVersionDoesNotRestartTheTime)
{
  SupersededVersions versions;
  versions.OnWanted(kModel, 2, kStart);
  versions.OnWanted(kModel, 3, kStart + 4 * kSecond);
  CHECK(versions.Since(kModel, 1) == kStart);
  CHECK(versions.Since(kModel, 2) == kStart + 4 * kSecond);
  versions.OnWanted(kModel, 3, kStart + 9 * kSecond);
  CHECK(versions.Since(kModel, 2) == kStart + 4 * kSecond);
}

TEST(SupersededVersions, EvictedVersionsCountLaterNeverEarlier)
{
  SupersededVersions versions;
  constexpr std::uint64_t kMany = 100;
  for (std::uint64_t version = 1; version <= kMany; ++version) {
    versions.OnWanted(
      kModel, version, kStart + static_cast<int>(version) * kSecond);
  }
  for (std::uint64_t version = 0; version < kMany; ++version) {
    const auto superseded = static_cast<int>(version + 1);
    CHECK(versions.Since(kModel, version) >= kStart + superseded * kSecond);
  }
}

TEST(SupersededVersions, CountGrowsWhenAVersionHasBeenSupersededLongEnough)
{
  SupersededVersions versions;
  LONGS_EQUAL(0, versions.CountSupersededFor({}, kStart));
  versions.OnWanted(kModel, 2, kStart);
  versions.OnWanted(kModel, 3, kStart + kSecond);
  LONGS_EQUAL(0, versions.CountSupersededFor(2 * kSecond, kStart + kSecond));
  LONGS_EQUAL(1,
              versions.CountSupersededFor(2 * kSecond, kStart + 2 * kSecond));
  LONGS_EQUAL(2,
              versions.CountSupersededFor(2 * kSecond, kStart + 3 * kSecond));
}

TEST(SupersededVersions, OtherModelsAndInvalidScopesAreNotContained)
{
  SupersededVersions versions;
  versions.OnWanted(kModel, 2, kStart);
  SupersededScopes scopes(versions, kStart);
  const auto scope = [](const char* aModel, std::uint64_t aVersion) {
    return ToText(CacheScope{ ModelId(aModel), aVersion, {}, 0 });
  };
  CHECK(scopes.Contains(scope("m", 1)));
  CHECK_FALSE(scopes.Contains(scope("m", 2)));
  CHECK_FALSE(scopes.Contains(scope("other", 1)));
  CHECK_FALSE(scopes.Contains("alone/4711"));
  SupersededScopes before(versions, kStart - kSecond);
  CHECK_FALSE(before.Contains(scope("m", 1)));
}
