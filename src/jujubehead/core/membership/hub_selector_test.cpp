#include "jujubehead/core/membership/hub_selector.hpp"

#include <map>    // for map
#include <random> // for mt19937
#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kHubs = 8;

/// A poller in the overload simulation below, which runs in steps of 10 ms.
struct Poller
{
  HubSelector choice;
  std::size_t hub = 0;
  int next_poll = 0;       ///< A step.
  std::vector<int> pieces; ///< Responses left to transfer, by hub.
};

struct Poll
{
  int sent = 0; ///< The step.
  std::size_t poller = 0;
};

/// Simulates pollers that time out after 30 steps, and that need 40 large
/// responses in a row from each hub that they switch to. All need them at the
/// start, as after a burst of changes. In a step a hub makes one large response
/// or five usual ones.
/// @return timeouts in the last five of sixty seconds.
int
LateTimeouts(bool aBacksOff)
{
  constexpr int kSteps = 6000;
  constexpr int kCountFrom = 5500;
  constexpr int kTimeoutSteps = 30;
  constexpr int kUsualDelay = 22;
  constexpr int kAllPieces = 40;
  constexpr std::size_t kPollers = 287;
  constexpr double kLargeCost = 1;
  constexpr double kUsualCost = 0.2;
  std::mt19937 random(7);
  std::vector<Poller> pollers(kPollers);
  for (std::size_t i = 0; i < kPollers; ++i) {
    pollers[i].hub = i % kHubs;
    pollers[i].pieces.assign(kHubs, kAllPieces);
  }
  std::vector<std::vector<Poll>> queues(kHubs);
  int late = 0;
  for (int step = 0; step < kSteps; ++step) {
    for (std::size_t i = 0; i < kPollers; ++i) {
      if (pollers[i].next_poll == step) {
        queues[pollers[i].hub].push_back({ step, i });
      }
    }
    for (std::size_t hub = 0; hub < kHubs; ++hub) {
      auto& queue = queues[hub];
      for (double time = 1; time > 0 && !queue.empty();) {
        const auto [sent, i] = queue.front();
        queue.erase(queue.begin());
        Poller& poller = pollers[i];
        int& pieces = poller.pieces[hub];
        time -= pieces > 1 ? kLargeCost : kUsualCost;
        // A response costs time even if its poller has timed out.
        if (step - sent > kTimeoutSteps) {
          continue;
        }
        poller.choice.OnAnswer();
        pieces = std::max(pieces - 1, 1);
        poller.next_poll = step + (pieces > 1 ? 1 : kUsualDelay);
      }
    }
    for (std::size_t hub = 0; hub < kHubs; ++hub) {
      for (const auto& [sent, i] : queues[hub]) {
        if (step - sent != kTimeoutSteps) {
          continue;
        }
        Poller& poller = pollers[i];
        late += step >= kCountFrom ? 1 : 0;
        const double jitter = std::uniform_real_distribution<>(0, 1)(random);
        const Duration delay =
          poller.choice.OnFailure(HubFailure::kTimeout, jitter);
        if (aBacksOff) {
          poller.hub = poller.choice.Next(kHubs);
          poller.next_poll =
            step + 1 + static_cast<int>(delay / milliseconds(10));
        } else {
          poller.hub = (poller.hub + 1) % kHubs;
          poller.pieces[poller.hub] = kAllPieces;
          poller.next_poll = step + 1;
        }
      }
    }
  }
  return late;
}

} // namespace

TEST_GROUP(HubSelector){};

TEST(HubSelector, LeavesAnUnreachableHubAtOnce)
{
  HubSelector choice;
  LONGS_EQUAL(0, choice.Next(kHubs));
  CHECK(choice.OnFailure(HubFailure::kNotServing, 0.5) == Duration(0));
  LONGS_EQUAL(1, choice.Next(kHubs));
}

TEST(HubSelector, PollsALateHubOnceMore)
{
  HubSelector choice;
  CHECK(choice.OnFailure(HubFailure::kTimeout, 1) == milliseconds(200));
  LONGS_EQUAL(0, choice.Next(kHubs));
  CHECK(choice.OnFailure(HubFailure::kTimeout, 1) == milliseconds(400));
  LONGS_EQUAL(1, choice.Next(kHubs));
  // A response between two timeouts resets the count.
  choice.OnFailure(HubFailure::kTimeout, 1);
  choice.OnAnswer();
  choice.OnFailure(HubFailure::kTimeout, 1);
  LONGS_EQUAL(1, choice.Next(kHubs));
}

TEST(HubSelector, DelaysDoubleWithFailuresAndShrinkWithResponses)
{
  HubSelector choice;
  choice.OnFailure(HubFailure::kNotServing, 1);
  CHECK(choice.OnFailure(HubFailure::kNotServing, 1) == milliseconds(400));
  CHECK(choice.OnFailure(HubFailure::kNotServing, 1) == milliseconds(800));
  CHECK(choice.OnFailure(HubFailure::kNotServing, 0) == milliseconds(800));
  for (int i = 0; i < 20; ++i) {
    CHECK(choice.OnFailure(HubFailure::kNotServing, 1) <= milliseconds(3200));
  }
  for (int i = 0; i < 30; ++i) {
    choice.OnAnswer();
  }
  CHECK(choice.OnFailure(HubFailure::kNotServing, 1) == Duration(0));
}

TEST(HubSelector, TheIndexIsValidForAnyNumberOfHubs)
{
  HubSelector choice;
  for (std::size_t hubs = 0; hubs < kHubs; ++hubs) {
    choice.OnFailure(HubFailure::kNotServing, 0);
    CHECK(choice.Next(hubs) < std::max<std::size_t>(hubs, 1));
  }
}

// Hubs that were slow for a moment must recover although all pollers switch
// from one hub to the next (metastable overload).
TEST(HubSelector, HubsRecoverFromPollersThatSwitchHubs)
{
  const int without = LateTimeouts(false);
  const int with = LateTimeouts(true);
  CHECK(without > 1000);
  CHECK(with < without / 10);
}
