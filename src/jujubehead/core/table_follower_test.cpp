#include "jujubehead/core/table_follower.hpp"

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

using namespace jujubehead::core;
using namespace std::chrono_literals;

namespace {

const InstanceId kOldPeer("old");
const InstanceId kNewPeer("new");

std::vector<ChangeEntry>
Entries(std::uint64_t aFirst, std::uint64_t aLast)
{
  std::vector<ChangeEntry> entries;
  for (std::uint64_t version = aFirst; version <= aLast; ++version) {
    const StopSubject subject{ StopKind::kTarget, std::to_string(version) };
    entries.push_back({ version, "t", "ann", { SetStop{ { subject, 0 } } } });
  }
  return entries;
}

TableSnapshot
Snapshot(std::uint64_t aVersion)
{
  TableView view;
  view.Apply(Entries(1, aVersion));
  return *view.Current();
}

/// Feeds a follower random events and checks its guarantees after each.
class RandomFollower
{
public:
  /// @param aIgnoresPeers withholds the peers' versions from the follower, as a
  /// fault.
  explicit RandomFollower(bool aIgnoresPeers)
    : m_ignores_peers(aIgnoresPeers)
  {
  }

  [[nodiscard]] bool Holds() const { return m_holds; }

  void Advance()
  {
    m_head += *rc::gen::inRange<std::uint64_t>(0, 2);
    m_now += std::chrono::milliseconds(*rc::gen::inRange(0, 1500));
    const FollowStep step = m_follower.Next(m_now);
    Check();
    const auto up_to = *rc::gen::inRange<std::uint64_t>(0, m_head + 1);
    if (*rc::gen::arbitrary<bool>()) {
      Fail(step, up_to);
    } else {
      Answer(step, up_to);
    }
    Check();
  }

private:
  void Fail(const FollowStep& aStep, std::uint64_t aUpTo)
  {
    if (const auto* ask = std::get_if<FetchPeerSnapshot>(&aStep)) {
      m_follower.OnPeerFailed(m_now, ask->peer);
    } else if (!std::holds_alternative<FollowIdle>(aStep)) {
      m_follower.OnServiceFailed(m_now, "down");
    } else {
      const InstanceId peer = *rc::gen::element(kOldPeer, kNewPeer);
      if (!m_ignores_peers) {
        m_follower.OnPeerVersion(peer, aUpTo);
      }
      RecordReported(aUpTo);
    }
  }

  void Answer(const FollowStep& aStep, std::uint64_t aUpTo)
  {
    if (const auto* entries = std::get_if<FetchEntries>(&aStep)) {
      const auto first =
        *rc::gen::inRange<std::uint64_t>(1, entries->after + 2);
      // A stale read may report an older version as the head.
      const bool at_head = aUpTo == m_head || *rc::gen::inRange(0, 4) == 0;
      m_follower.OnEntries(m_now, Entries(first, aUpTo), at_head);
      RecordReported(aUpTo < first ? 0 : aUpTo);
    } else if (std::holds_alternative<FetchStoredSnapshot>(aStep)) {
      m_follower.OnStoredSnapshot(m_now, Snapshot(aUpTo));
      RecordReported(aUpTo);
    } else if (const auto* ask = std::get_if<FetchPeerSnapshot>(&aStep)) {
      m_follower.OnPeerSnapshot(m_now, ask->peer, Snapshot(aUpTo));
      RecordReported(aUpTo);
    }
  }

  void RecordReported(std::uint64_t aVersion)
  {
    m_newest_reported = std::max(m_newest_reported, aVersion);
  }

  void Check()
  {
    const std::uint64_t version = m_follower.View().Version();
    const bool ready = !m_follower.NotReady().has_value();
    m_holds = m_holds && version >= m_version && (ready || !m_was_ready) &&
              (m_was_ready || !ready || version >= m_newest_reported);
    m_version = version;
    m_was_ready = ready;
  }

  bool m_ignores_peers;
  bool m_holds = true;
  TableFollower m_follower{ {} };
  Instant m_now{ 1h };
  std::uint64_t m_head = 1;
  std::uint64_t m_version = 0;
  std::uint64_t m_newest_reported = 0;
  bool m_was_ready = false;
};

} // namespace

TEST_GROUP(TableFollower)
{
  TableFollower follower{ {} };
  Instant now{ 1h };

  template<typename Step>
  bool Wants()
  {
    return std::holds_alternative<Step>(follower.Next(now));
  }
  void FailService()
  {
    follower.Next(now);
    follower.OnServiceFailed(now, "down");
  }
  void Start(std::uint64_t aVersion)
  {
    follower.Next(now);
    follower.OnStoredSnapshot(now, Snapshot(aVersion));
    follower.Next(now);
    follower.OnEntries(now, {}, true);
  }
};

TEST(TableFollower, StartsFromTheSnapshotAndTheRest)
{
  CHECK(Wants<FetchStoredSnapshot>());
  follower.OnStoredSnapshot(now, Snapshot(5));
  CHECK_EQUAL(5U, std::get<FetchEntries>(follower.Next(now)).after);
  CHECK(follower.NotReady().has_value());
  follower.OnEntries(now, Entries(6, 8), false);
  CHECK(follower.NotReady().has_value());
  CHECK_EQUAL(8U, std::get<FetchEntries>(follower.Next(now)).after);
  follower.OnEntries(now, Entries(9, 9), true);
  CHECK_FALSE(follower.NotReady().has_value());
  CHECK_EQUAL(9U, follower.View().Version());
  CHECK(std::get<FollowIdle>(follower.Next(now)).until == now + 1s);
  now += 1s;
  CHECK(Wants<FetchEntries>());
}

TEST(TableFollower, IsNotReadyBelowAVersionThatAPeerReported)
{
  follower.OnPeerVersion(kNewPeer, 7);
  Start(6);
  CHECK_EQUAL(std::string("the table is at version 6, version 7 was "
                          "reported, still reading entries"),
              *follower.NotReady());
  now += 1s;
  CHECK(Wants<FetchEntries>());
  follower.OnEntries(now, Entries(7, 7), true);
  CHECK_FALSE(follower.NotReady().has_value());
}

TEST(TableFollower, AGapIsFilledFromTheSnapshot)
{
  Start(3);
  now += 1s;
  CHECK(Wants<FetchEntries>());
  follower.OnEntries(now, Entries(9, 10), true);
  now += 1s;
  CHECK(Wants<FetchStoredSnapshot>());
  follower.OnStoredSnapshot(now, Snapshot(9));
  CHECK(Wants<FetchEntries>());
  follower.OnEntries(now, Entries(10, 10), true);
  CHECK_EQUAL(10U, follower.View().Version());
}

TEST(TableFollower, WithTheServiceDownItStartsFromItsNewestPeer)
{
  FailService();
  CHECK_EQUAL(std::string("the table is at version 0, the table service "
                          "failed: down, no peer is known"),
              *follower.NotReady());
  follower.OnPeerVersion(kOldPeer, 4);
  follower.OnPeerVersion(kNewPeer, 6);
  CHECK(std::get<FetchPeerSnapshot>(follower.Next(now)).peer == kNewPeer);
  follower.OnPeerSnapshot(now, kNewPeer, Snapshot(6));
  // Another peer may report a newer version.
  CHECK(follower.NotReady().has_value());
  now += 3s;
  follower.Next(now);
  CHECK_FALSE(follower.NotReady().has_value());
  CHECK_EQUAL(6U, follower.View().Version());
}

TEST(TableFollower, AFailedPeerIsNotRetriedAtOnce)
{
  FailService();
  follower.OnPeerVersion(kOldPeer, 4);
  follower.OnPeerVersion(kNewPeer, 6);
  CHECK(Wants<FetchPeerSnapshot>());
  now += 3s; // The peer timeout.
  CHECK(std::get<FetchPeerSnapshot>(follower.Next(now)).peer == kOldPeer);
  follower.OnPeerSnapshot(now, kOldPeer, Snapshot(4));
  follower.Next(now);
  CHECK(follower.NotReady().has_value()); // Version 6 was reported.
  now += 4s;
  follower.Next(now);
  follower.OnServiceFailed(now, "down");
  CHECK(std::get<FetchPeerSnapshot>(follower.Next(now)).peer == kNewPeer);
}

TEST(TableFollower, AReadyInstanceStaysReadyAndFollowsPeersInAnOutage)
{
  Start(3);
  now += 1s;
  FailService();
  CHECK_FALSE(follower.NotReady().has_value());
  follower.OnPeerVersion(kNewPeer, 4);
  CHECK(std::get<FetchPeerSnapshot>(follower.Next(now)).peer == kNewPeer);
  follower.OnPeerSnapshot(now, kNewPeer, Snapshot(4));
  CHECK_EQUAL(4U, follower.View().Version());
  CHECK(follower.Age(now) == 1s);
}

TEST(TableFollower, BacksOffFromAFailingService)
{
  Duration last{};
  for (int i = 0; i < 12; ++i) {
    follower.Next(now);
    follower.OnServiceFailed(now, "down");
    const auto until = std::get<FollowIdle>(follower.Next(now)).until;
    CHECK(until - now >= last);
    last = until - now;
    now = until;
  }
  CHECK(last == TableFollowerOptions().max_backoff);
}

TEST(TableFollower, NeverGoesBackOrServesAnOldVersion)
{
  CHECK(rc::check([] {
    RandomFollower random_follower(false);
    for (int i = 0; i < 60; ++i) {
      random_follower.Advance();
    }
    RC_ASSERT(random_follower.Holds());
  }));
}

TEST(TableFollower, RandomRunsDetectIgnoredPeerVersions)
{
  bool caught = false;
  CHECK(rc::check([&] {
    RandomFollower faulty(true);
    for (int i = 0; i < 60; ++i) {
      faulty.Advance();
    }
    caught = caught || !faulty.Holds();
  }));
  CHECK(caught);
}
