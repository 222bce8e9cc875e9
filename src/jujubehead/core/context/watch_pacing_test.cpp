#include "jujubehead/core/context/watch_pacing.hpp"

#include <algorithm> // for max
#include <random>    // for mt19937, uniform_int_distribution
#include <vector>    // for vector

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::milliseconds;

namespace {

constexpr int kStepMs = 1;
constexpr int kSimulatedMs = 20000;

/// Simulates the watchers of a store with periodic events.
/// @return the share of calls refused because all slots were in use.
double
RefusedShare(const Watchers& aWatchers, int aEventEveryMs, bool aWithPauses)
{
  std::mt19937 random(7);
  std::uniform_int_distribution<int> first(0, 1000);
  struct Call
  {
    int next = 0;
    int ends = -1;
    int begun = 0;
  };
  std::vector<Call> calls(aWatchers.instances);
  for (Call& call : calls) {
    call.next = first(random);
  }
  const int wait = static_cast<int>(
    std::chrono::duration_cast<milliseconds>(WatchTimeout(aWatchers)).count());
  std::size_t held = 0;
  double calls_made = 0;
  double refused = 0;
  for (int now = 0; now < kSimulatedMs; now += kStepMs) {
    for (Call& call : calls) {
      if (call.ends == now) {
        --held;
        call.ends = -1;
        const auto pause =
          WatchPause(milliseconds(now - call.begun), aWatchers);
        call.next =
          now + 1 +
          (aWithPauses
             ? static_cast<int>(
                 std::chrono::duration_cast<milliseconds>(pause).count())
             : 0);
      } else if (call.ends < 0 && call.next <= now) {
        ++calls_made;
        if (held >= aWatchers.max_concurrent) {
          ++refused;
          call.next = now + 100;
          continue;
        }
        ++held;
        call.begun = now;
        const int event = (now / aEventEveryMs + 1) * aEventEveryMs;
        call.ends = std::min(event, now + wait);
      }
    }
  }
  return refused / calls_made;
}

} // namespace

TEST_GROUP(WatchPace){};

TEST(WatchPace, FewWatchersUseTheDefaultWait)
{
  const Watchers few{ 9, 12 };
  CHECK(WatchTimeout(few) == milliseconds(500));
  CHECK(WatchPause(milliseconds(500), few) == milliseconds(120));
}

TEST(WatchPace, ManyWatchersPauseLonger)
{
  const Watchers many{ 74, 12 };
  CHECK(WatchTimeout(many) == milliseconds(200));
  CHECK(WatchPause(milliseconds(50), many) > milliseconds(400));
  CHECK(WatchPause(milliseconds(200), many) == milliseconds(600));
}

TEST(WatchPace, BusyStoreRefusesFewCallsOf74Watchers)
{
  const Watchers many{ 74, 12 };
  CHECK(RefusedShare(many, 40, false) > 0.5);
  CHECK(RefusedShare(many, 40, true) < 0.05);
}

TEST(WatchPace, LimitOfZeroDoesNotDivideByZero)
{
  CHECK(WatchPause(milliseconds(50), { 5, 0 }) >= milliseconds(120));
}
