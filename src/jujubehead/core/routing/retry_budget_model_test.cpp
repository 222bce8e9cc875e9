#include <algorithm> // for max, min
#include <cstddef>   // for size_t
#include <random>    // for mt19937
#include <vector>    // for vector

#include <CppUTest/TestHarness.h> // for TEST

#include "jujubehead/core/routing/windowed_retry_budget.hpp"

// All instances of a service in simulated time: some end and start again while
// the targets refuse much of what they are sent.

using namespace jujubehead::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kWindow = seconds(10);
constexpr Duration kStep = milliseconds(100);
constexpr std::size_t kWindowSteps = kWindow / kStep;
constexpr std::size_t kSteps = 500;
constexpr int kInstances = 9;
constexpr double kShare = 0.2;
constexpr double kFixed = 56;
constexpr double kRequestsPerStep = 1.5; ///< Of one instance.
constexpr int kMaxAttempts = 4;          ///< Of one request, all refused.
const Instant kStart{ std::chrono::hours(1) };

/// What happens to an instance at the times of the plan.
enum class Event
{
  kRestarts,          ///< As built.
  kRestartsUncounted, ///< The new process counts as one that has always run.
  kPauses,            ///< It has nothing to retry for a window.
};

/// Sums over all instances, by step.
struct Counts
{
  std::vector<double> requests = std::vector<double>(kSteps, 0);
  std::vector<double> retries = std::vector<double>(kSteps, 0);
};

/// What happens in a run, when and to which instance.
struct Plan
{
  explicit Plan(unsigned aSeed)
  {
    std::mt19937 random(aSeed);
    std::uniform_int_distribution<std::size_t> step(0, kSteps - 1);
    refusing_from = 150 + step(random) % 100;
    for (int i = 0; i < 4; ++i) {
      const std::size_t at = refusing_from + step(random) % 150;
      // All at once, or one after the other within some seconds.
      const std::size_t gap = random() % 2 == 0 ? 0 : step(random) % 15;
      for (int instance = 0; instance < kInstances; ++instance) {
        events.push_back({ at + gap * static_cast<std::size_t>(instance),
                           static_cast<std::size_t>(instance) });
      }
    }
  }

  struct One
  {
    std::size_t at = 0;
    std::size_t instance = 0;
  };

  std::size_t refusing_from = 0;
  std::vector<One> events;
};

Counts
Run(unsigned aSeed, Event aEvent)
{
  const Plan plan(aSeed);
  std::mt19937 random(aSeed);
  std::poisson_distribution<int> arriving(kRequestsPerStep);
  const WindowedRetryBudgetOptions options{ kWindow, kShare, kFixed };
  std::vector<WindowedRetryBudget> budgets;
  for (int i = 0; i < kInstances; ++i) {
    budgets.emplace_back(options, kStart - 2 * kWindow);
    budgets.back().SetFixedShare(1.0 / kInstances, Instant::max());
  }
  std::vector<Instant> pauses_until(kInstances);
  Counts counts;
  for (std::size_t step = 0; step < kSteps; ++step) {
    const Instant now = kStart + static_cast<Duration::rep>(step) * kStep;
    for (const Plan::One& one : plan.events) {
      if (one.at != step) {
        continue;
      }
      if (aEvent == Event::kPauses) {
        pauses_until[one.instance] = now + kWindow;
      } else {
        const Instant started =
          aEvent == Event::kRestarts ? now : kStart - 2 * kWindow;
        budgets[one.instance] = WindowedRetryBudget(options, started);
      }
    }
    for (std::size_t instance = 0; instance < budgets.size(); ++instance) {
      WindowedRetryBudget& budget = budgets[instance];
      const int requests = arriving(random);
      counts.requests[step] += requests;
      for (int i = 0; i < requests; ++i) {
        budget.OnRequest(now);
      }
      const bool is_refused =
        step >= plan.refusing_from && now >= pauses_until[instance];
      const int most = is_refused ? requests * kMaxAttempts : 0;
      for (int i = 0; i < most && budget.TryToRetry(now); ++i) {
        ++counts.retries[step];
      }
    }
  }
  return counts;
}

double
SumOf(const std::vector<double>& aCounts, std::size_t aFrom, std::size_t aTo)
{
  double sum = 0;
  for (std::size_t i = aFrom; i < std::min(aTo, aCounts.size()); ++i) {
    sum += aCounts[i];
  }
  return sum;
}

/// @return by how much the retries of the worst window exceed what the requests
/// in that window, the one before it or the one half a window before it allow.
double
MostOver(const Counts& aCounts)
{
  double most = -1e9;
  for (std::size_t from = kWindowSteps; from + kWindowSteps < kSteps; ++from) {
    double requests = 0;
    for (const std::size_t earlier :
         { std::size_t(0), kWindowSteps / 2, kWindowSteps }) {
      requests = std::max(
        requests,
        SumOf(aCounts.requests, from - earlier, from - earlier + kWindowSteps));
    }
    const double retries = SumOf(aCounts.retries, from, from + kWindowSteps);
    most = std::max(most, retries - (kShare * requests + kFixed));
  }
  return most;
}

constexpr unsigned kSeeds = 200;

/// @return the number of seeds with which the budget is exceeded.
unsigned
SeedsOver(Event aEvent)
{
  unsigned over = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    over += MostOver(Run(seed, aEvent)) > 0 ? 1 : 0;
  }
  return over;
}

} // namespace

TEST_GROUP(RetryBudgetModel){};

// Instances that stop retrying at different times have counted requests of
// different windows, whose sum must not exceed what any one window allows.
TEST(RetryBudgetModel, InstancesThatPauseKeepTheBudgetTogether)
{
  LONGS_EQUAL(0, SeedsOver(Event::kPauses));
}

// Processes that are killed take their count of the window along; those that
// follow must not spend a second budget within it.
TEST(RetryBudgetModel, InstancesThatRestartKeepTheBudgetOfTheWindow)
{
  LONGS_EQUAL(0, SeedsOver(Event::kRestarts));
}

TEST(RetryBudgetModel, RestartsThatAreNotCountedExceedTheBudget)
{
  CHECK(SeedsOver(Event::kRestartsUncounted) > kSeeds / 2);
}
