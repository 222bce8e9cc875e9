#include "jujubehead/core/routing/stream_lifetime.hpp"

#include <algorithm> // for all_of
#include <map>       // for map
#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

#include "jujubehead/core/routing/software_versions.hpp" // for SoftwareVersions

using namespace jujubehead::core;
using std::chrono::seconds;

namespace {

const Instant kStart{ std::chrono::hours(1) };
constexpr Duration kReturn = StreamLifetime::kCallerReturnTime;

} // namespace

TEST_GROUP(StreamLifetime)
{
  StreamLifetime lifetime;
};

TEST(StreamLifetime, IsThatOfTheLongestRoute)
{
  lifetime.SetTimeout(seconds(60), kStart);
  CHECK(lifetime.Longest(kStart) == seconds(60) + kReturn);
}

TEST(StreamLifetime, AFormerTimeoutCountsUntilItsStreamsAreOver)
{
  lifetime.SetTimeout(seconds(60), kStart);
  lifetime.SetTimeout(seconds(30), kStart + seconds(10));
  lifetime.SetTimeout(seconds(1), kStart + seconds(20));
  const Duration former = seconds(60) + kReturn;
  CHECK(lifetime.Longest(kStart + seconds(19) + former) == former);
  CHECK(lifetime.Longest(kStart + seconds(20) + former) ==
        StreamLifetime::kMinLongest);
}

namespace {

/// One service with two versions, the instances as one process, and a caller.
class World
{
public:
  /// @param aIsBroken with the lifetime by the configuration in force alone.
  explicit World(bool aIsBroken)
    : m_is_broken(aIsBroken)
  {
    SetTarget("v1", true);
    SetTimeout(seconds(15));
  }

  /// @return whether no stream would be joined from two versions.
  bool Step()
  {
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        SetTimeout(seconds(*rc::gen::inRange(1, 16)));
        break;
      case 1:
        SetTarget(*rc::gen::elementOf(kVersions), *rc::gen::arbitrary<bool>());
        break;
      case 2:
        KillAllInstances();
        break;
      case 3:
        BeginStream();
        break;
      default:
        m_now += seconds(*rc::gen::inRange(1, 12));
    }
    return IsNeverJoined();
  }

private:
  struct Stream
  {
    std::string version;
    Instant over{}; ///< When its caller has given up.
  };

  void SetTimeout(Duration aTimeout)
  {
    m_timeout = aTimeout;
    m_lifetime.SetTimeout(aTimeout, m_now);
  }
  void SetTarget(const std::string& aVersion, bool aServes)
  {
    RegisteredTarget target;
    target.id = TargetId(aVersion);
    target.service = kService;
    target.software_version = aVersion;
    const RegistrationChange change{ target.id,
                                     aServes ? std::optional(target)
                                             : std::nullopt };
    m_serves[aVersion] = aServes;
    m_versions.Apply({ change }, m_now);
  }
  void KillAllInstances()
  {
    m_versions = SoftwareVersions();
    m_lifetime = StreamLifetime();
    m_now += seconds(*rc::gen::inRange(1, 4));
    m_lifetime.SetTimeout(m_timeout, m_now);
    for (const auto& [version, serves] : std::map(m_serves)) {
      SetTarget(version, serves);
    }
  }
  void BeginStream()
  {
    for (const auto& [version, serves] : m_serves) {
      if (serves) {
        m_streams.push_back({ version, m_now + m_timeout + kReturn });
      }
    }
  }
  [[nodiscard]] bool IsNeverJoined() const
  {
    const Duration longest =
      m_is_broken ? m_timeout + kReturn : m_lifetime.Longest(m_now);
    const SoleVersions sole = m_versions.Sole(longest, m_now);
    const auto found = sole.find(kService);
    return found == sole.end() ||
           std::all_of(
             m_streams.begin(), m_streams.end(), [&](const Stream& aOne) {
               return m_now >= aOne.over || aOne.version == found->second;
             });
  }

  inline static const ServiceId kService{ "s" };
  inline static const std::vector<std::string> kVersions{ "v1", "v2" };
  bool m_is_broken;
  Instant m_now = kStart;
  Duration m_timeout{};
  SoftwareVersions m_versions;
  StreamLifetime m_lifetime;
  std::map<std::string, bool> m_serves;
  std::vector<Stream> m_streams;
};

bool
IsNeverJoined(World& aWorld)
{
  constexpr int kSteps = 60;
  for (int i = 0; i < kSteps; ++i) {
    if (!aWorld.Step()) {
      return false;
    }
  }
  return true;
}

} // namespace

// Versions and timeouts change and all instances are lost, between the begin of
// a stream and its caller's next try: it went on at another version, as the
// timeout in force by then was a shorter one.
TEST(StreamLifetime, NoStreamGoesOnAtAnotherVersion)
{
  CHECK(rc::check([] {
    World world(false);
    RC_ASSERT(IsNeverJoined(world));
  }));
}

TEST(StreamLifetime, TheTimeoutInForceAloneJoinsStreams)
{
  constexpr int kWorldsPerCase = 20;
  bool is_joined = false;
  rc::check([&] {
    for (int i = 0; i < kWorldsPerCase && !is_joined; ++i) {
      World world(true);
      is_joined = !IsNeverJoined(world);
    }
  });
  CHECK(is_joined);
}
