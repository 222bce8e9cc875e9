#include "bench/context/fake_link.hpp"
#include "bench/context/offline_bound.hpp"
#include "bench/context/prefix_cache.hpp"

#include <chrono> // for hours

// Last: its macros change the meaning of new.
#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::bench::context;
using namespace std::chrono_literals;

TEST_GROUP(ContextFakes)
{
  PrefixCache cache{ 10, [](std::uint32_t, std::uint32_t, bool) {} };
};

TEST(ContextFakes, ACacheEvictsTheLastBlocksOfTheLongestUnused)
{
  cache.Put(1, 6);
  cache.Put(2, 4);
  cache.Put(3, 2);
  CHECK_EQUAL(4, cache.Blocks(1));
  cache.Pin(1);
  cache.Put(4, 6);
  CHECK_EQUAL(4, cache.Blocks(1));
  CHECK_EQUAL(0, cache.Blocks(2));
  CHECK_EQUAL(0, cache.Blocks(3));
}

TEST(ContextFakes, ALinkIsSharedEvenly)
{
  FakeLink link(1e9);
  link.Start(1, 1e9, Instant(0s));
  link.Start(2, 2e9, Instant(0s));
  CHECK(link.NextEnd() >= Instant(2s));
  CHECK_EQUAL(1, link.TakeEnded(Instant(2s)).size());
  CHECK(link.NextEnd() >= Instant(3s));
  CHECK_EQUAL(2, link.TakeEnded(Instant(3s)).front());
  DOUBLES_EQUAL(3e9, link.MovedBytes(), 1);
}

TEST(ContextFakes, OneSeedMakesOneWorkloadAtTheLoadAskedFor)
{
  const Hardware hardware;
  const Deployment user = Deployments().front();
  const auto make = [&](std::uint64_t aSeed) {
    return MakeWorkload(user, hardware, 0.6, 1h, 1h, aSeed);
  };
  const Workload first = make(1);
  const Workload again = make(1);
  CHECK_EQUAL(first.requests.size(), again.requests.size());
  CHECK(first.requests.back().at == again.requests.back().at);
  CHECK(first.requests.size() != make(2).requests.size());
}

TEST(ContextFakes, NoPolicyCanSaveMoreThanTheBound)
{
  Hardware hardware;
  const Deployment user = Deployments().front();
  const Workload work = MakeWorkload(user, hardware, 0.6, 1h, 1h, 1);
  const Condition today = Conditions().front();
  const auto large = OfflineBound(hardware, today, work);
  DOUBLES_EQUAL(0.0, large.recomputed_tokens, 0.0);
  hardware.disk_blocks = 0;
  hardware.target_blocks = 100;
  CHECK(OfflineBound(hardware, today, work).recomputed_tokens > 0);
}
