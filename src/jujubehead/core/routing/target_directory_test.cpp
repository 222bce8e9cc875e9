#include "jujubehead/core/routing/target_directory.hpp"

#include <map> // for map

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for rc::check

using namespace jujubehead::core;
using std::chrono::milliseconds;

namespace {

RegisteredTarget
TargetAt(const std::string& aId, std::uint64_t aHeartbeat)
{
  RegisteredTarget target;
  target.id = TargetId(aId);
  target.service = ServiceId("lists");
  target.address = "10.0.0.1:80";
  target.heartbeat = aHeartbeat;
  target.started_ms = 1000;
  return target;
}

RegistrationChange
Put(const RegisteredTarget& aTarget)
{
  return { aTarget.id, aTarget };
}

RegistrationChange
Gone(const std::string& aId)
{
  return { TargetId(aId), std::nullopt };
}

} // namespace

TEST_GROUP(TargetDirectory)
{
  TargetDirectory book{ {} };
  Instant now{ std::chrono::seconds(100) };

  void setup() override
  {
    book.OnAnswer(now);
    book.Apply({ Put(TargetAt("t1", 1)), Put(TargetAt("t2", 1)) }, now);
  }
  void LoseRegistryFor(Duration aTime)
  {
    book.OnNoResponse();
    now += aTime;
    book.OnAnswer(now);
  }
};

TEST(TargetDirectory, ADeregisteredTargetIsRemovedAtOnce)
{
  // Regardless of how long no change came before.
  now += std::chrono::seconds(5);
  book.OnAnswer(now);
  CHECK(book.Apply({ Gone("t1") }, now));
  LONGS_EQUAL(1, book.Targets().size());
}

TEST(TargetDirectory, ARegistrationLostInAnOutageIsKeptForTheReregistrationTime)
{
  LoseRegistryFor(std::chrono::seconds(4));
  CHECK_FALSE(book.Apply({ Gone("t1") }, now));
  LONGS_EQUAL(2, book.Targets().size());
  now += milliseconds(2100);
  CHECK_FALSE(book.Tick(now));
  now += milliseconds(200);
  CHECK(book.Tick(now));
  LONGS_EQUAL(1, book.Targets().size());
}

TEST(TargetDirectory, ATargetThatRegisteredAgainStays)
{
  LoseRegistryFor(std::chrono::seconds(4));
  book.Apply({ Gone("t1") }, now);
  now += milliseconds(1500);
  book.Apply({ Put(TargetAt("t1", 5)) }, now);
  now += std::chrono::seconds(3);
  CHECK_FALSE(book.Tick(now));
  LONGS_EQUAL(2, book.Targets().size());
}

TEST(TargetDirectory, ASnapshotAfterAnOutageKeepsMissingTargets)
{
  LoseRegistryFor(std::chrono::seconds(4));
  book.Replace({ TargetAt("t2", 4) }, now);
  LONGS_EQUAL(2, book.Targets().size());
  now += milliseconds(2300);
  book.Tick(now);
  LONGS_EQUAL(1, book.Targets().size());
}

TEST(TargetDirectory, ADrainingTargetIsNotKeptAfterAnOutage)
{
  RegisteredTarget leaving = TargetAt("t1", 2);
  leaving.leaving = true;
  book.Apply({ Put(leaving) }, now);
  LoseRegistryFor(std::chrono::seconds(4));
  CHECK(book.Apply({ Gone("t1") }, now));
}

TEST(TargetDirectory, ADrainingTargetStaysDraining)
{
  RegisteredTarget leaving = TargetAt("t1", 2);
  leaving.leaving = true;
  book.Apply({ Put(leaving) }, now);
  book.Apply({ Put(TargetAt("t1", 3)) }, now);
  CHECK(book.Targets().front().leaving);
}

TEST(TargetDirectory, AnOlderReportDoesNotReplaceANewerOne)
{
  RegisteredTarget newer = TargetAt("t1", 9);
  newer.address = "10.0.0.9:80";
  book.Apply({ Put(newer) }, now);
  CHECK_FALSE(book.Apply({ Put(TargetAt("t1", 8)) }, now));
  STRCMP_EQUAL("10.0.0.9:80", book.Targets().front().address.c_str());
}

TEST(TargetDirectory, ALateReportDoesNotRestoreARemovedTarget)
{
  book.Apply({ Gone("t1") }, now);
  CHECK_FALSE(book.Apply({ Put(TargetAt("t1", 1)) }, now));
  LONGS_EQUAL(1, book.Targets().size());
}

TEST(TargetDirectory, ATargetRestartedUnderTheSameIdIsAccepted)
{
  RegisteredTarget leaving = TargetAt("t1", 7);
  leaving.leaving = true;
  book.Apply({ Put(leaving), Gone("t1") }, now);
  RegisteredTarget restarted = TargetAt("t1", 1);
  restarted.started_ms = 2000;
  CHECK(book.Apply({ Put(restarted) }, now));
  CHECK_FALSE(book.Targets().front().leaving);
}

TEST(TargetDirectory, AHeartbeatAloneChangesNothing)
{
  CHECK_FALSE(book.Apply({ Put(TargetAt("t1", 2)) }, now));
}

TEST(TargetDirectory, AColdPeriodCountsFromTheReceiptOfItsReport)
{
  RegisteredTarget target = TargetAt("t1", 2);
  target.cold_left = milliseconds(3000);
  CHECK(book.Apply({ Put(target) }, now));
  CHECK(book.Targets().front().cold_until == now + milliseconds(3000));
  // The same report read again does not extend it.
  book.Apply({ Put(target) }, now + milliseconds(500));
  CHECK(book.Targets().front().cold_until == now + milliseconds(3000));
  // The target becomes cold again, with the same id.
  target.heartbeat = 3;
  CHECK(book.Apply({ Put(target) }, now + milliseconds(900)));
  CHECK(book.Targets().front().cold_until == now + milliseconds(3900));
  CHECK(book.Apply({ Put(TargetAt("t1", 4)) }, now + milliseconds(1000)));
  CHECK(book.Targets().front().cold_until == Instant{});
  CHECK_FALSE(book.Apply({ Put(TargetAt("t1", 5)) }, now + milliseconds(1100)));
}

// Whoever applies only the changes must have the same targets as one that reads
// all of them, whatever happens in between.
TEST(TargetDirectory, ChangesLeadToTheSameTargets)
{
  const bool holds = rc::check([] {
    TargetDirectory directory({});
    Instant at{ std::chrono::seconds(100) };
    directory.OnAnswer(at);
    std::map<TargetId, RegisteredTarget> mirror;
    const auto steps = *rc::gen::inRange(1, 50);
    for (int i = 0; i < steps; ++i) {
      at += milliseconds(*rc::gen::inRange(1, 1500));
      const std::string id(1, static_cast<char>('a' + *rc::gen::inRange(0, 5)));
      const auto heartbeat = static_cast<std::uint64_t>(i);
      switch (*rc::gen::inRange(0, 7)) {
        case 0:
          directory.Apply({ Gone(id) }, at);
          break;
        case 1:
          directory.OnNoResponse();
          break;
        case 2:
          directory.OnAnswer(at);
          break;
        case 3:
          directory.Replace({ TargetAt(id, heartbeat) }, at);
          break;
        case 4: {
          RegisteredTarget leaving = TargetAt(id, heartbeat);
          leaving.leaving = true;
          directory.Apply({ Put(leaving) }, at);
          break;
        }
        default:
          directory.Apply({ Put(TargetAt(id, heartbeat)) }, at);
      }
      directory.Tick(at);
      for (const RegistrationChange& change : directory.TakeChanges()) {
        if (change.target) {
          mirror.insert_or_assign(change.id, *change.target);
        } else {
          mirror.erase(change.id);
        }
      }
      const auto targets = directory.Targets();
      RC_ASSERT(targets.size() == mirror.size());
      RC_ASSERT(targets.size() == directory.Size());
      std::size_t leaving = 0;
      for (const RegisteredTarget& target : targets) {
        RC_ASSERT(mirror.contains(target.id));
        RC_ASSERT(mirror.at(target.id).leaving == target.leaving);
        leaving += target.leaving ? 1 : 0;
      }
      RC_ASSERT(directory.LeavingCount() == leaving);
    }
  });
  CHECK(holds);
}

// The cost of a page of the registry follows its changes, not the fleet.
TEST(TargetDirectory, ChangesDoNotGrowWithTheTargets)
{
  constexpr std::size_t kLeaving = 25;
  for (const std::size_t count : { 5000U, 10000U, 20000U }) {
    TargetDirectory directory({});
    directory.OnAnswer(now);
    std::vector<RegistrationChange> page;
    for (std::size_t i = 0; i < count; ++i) {
      page.push_back(Put(TargetAt("t" + std::to_string(i), 1)));
    }
    directory.Apply(page, now);
    LONGS_EQUAL(count, directory.TakeChanges().size());
    for (std::size_t i = 0; i < count; ++i) {
      page[i].target->heartbeat = 2;
      page[i].target->leaving = i < kLeaving;
    }
    directory.Apply(page, now);
    LONGS_EQUAL(kLeaving, directory.TakeChanges().size());
    CHECK(directory.TakeChanges().empty());
  }
}
