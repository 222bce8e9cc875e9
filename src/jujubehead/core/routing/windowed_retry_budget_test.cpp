#include "jujubehead/core/routing/windowed_retry_budget.hpp"

#include <deque>  // for deque
#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

using namespace jujubehead::core;
using std::chrono::milliseconds;

namespace {

constexpr Duration kWindow = std::chrono::seconds(10);
constexpr double kShare = 0.2;
constexpr double kFixed = 8;
constexpr std::size_t kMaxInstances = 4;
/// Start of a process that has run for more than a window.
constexpr Instant kLongAgo{ Duration(-kWindow.count() * 2) };

/// A request or an attempted retry at one of the instances.
struct Step
{
  std::size_t instance = 0;
  int wait_ms = 0;
  bool is_request = false;
};

struct Event
{
  Instant when;
  bool is_retry = false;
};

/// @return whether the retries in each window keep to the total budget for the
/// requests in that window, both ends included.
bool
KeepsBudget(const std::deque<Event>& aEvents)
{
  for (const Event& last : aEvents) {
    double requests = 0;
    double retries = 0;
    for (const Event& other : aEvents) {
      const Duration age = last.when - other.when;
      const bool in_window = age >= Duration(0) && age <= kWindow;
      retries += other.is_retry && in_window ? 1 : 0;
      requests += !other.is_retry && in_window ? 1 : 0;
    }
    if (retries > kShare * requests + kFixed) {
      return false;
    }
  }
  return true;
}

} // namespace

TEST_GROUP(WindowedRetryBudget){};

TEST(WindowedRetryBudget, AllInstancesTogetherKeepItInAnyWindow)
{
  CHECK(rc::check("the sum over instances that come and go", [] {
    const auto steps = *rc::gen::container<std::vector<Step>>(rc::gen::build(
      rc::gen::construct<Step>(),
      rc::gen::set(&Step::instance,
                   rc::gen::inRange<std::size_t>(0, kMaxInstances)),
      rc::gen::set(&Step::wait_ms, rc::gen::inRange(0, 3000)),
      rc::gen::set(&Step::is_request, rc::gen::arbitrary<bool>())));
    WindowedRetryBudgetOptions options;
    options.window = kWindow;
    options.per_request = kShare;
    options.fixed = kFixed;
    std::vector<WindowedRetryBudget> budgets(
      kMaxInstances, WindowedRetryBudget(options, kLongAgo));
    for (WindowedRetryBudget& budget : budgets) {
      budget.SetFixedShare(1.0 / kMaxInstances, Instant::max());
    }
    Instant now{ std::chrono::seconds(1000) };
    std::deque<Event> events;
    for (const Step& step : steps) {
      now += milliseconds(step.wait_ms);
      WindowedRetryBudget& budget = budgets[step.instance];
      if (step.is_request) {
        budget.OnRequest(now);
        events.push_back({ now, false });
      } else if (budget.TryToRetry(now)) {
        events.push_back({ now, true });
      }
    }
    RC_ASSERT(KeepsBudget(events));
  }));
}

TEST(WindowedRetryBudget, IsExhaustedAndRefillsWithTime)
{
  WindowedRetryBudgetOptions options;
  options.fixed = 1;
  WindowedRetryBudget budget(options, kLongAgo);
  budget.SetFixedShare(1, Instant::max());
  Instant now{ std::chrono::seconds(50) };
  CHECK(budget.TryToRetry(now));
  CHECK_FALSE(budget.TryToRetry(now));
  LONGS_EQUAL(1, budget.Denied());
  now += std::chrono::seconds(12);
  CHECK(budget.TryToRetry(now));
}

// An instance whose view of the fleet grew old must not go on with its share.
TEST(WindowedRetryBudget, FixedShareEnds)
{
  WindowedRetryBudgetOptions options;
  options.fixed = 10;
  WindowedRetryBudget budget(options, kLongAgo);
  const Instant now{ std::chrono::seconds(50) };
  CHECK_FALSE(budget.TryToRetry(now));
  budget.SetFixedShare(0.5, now + std::chrono::seconds(6));
  int sent = 0;
  while (budget.TryToRetry(now)) {
    ++sent;
  }
  LONGS_EQUAL(5, sent);
  CHECK_FALSE(budget.TryToRetry(now + std::chrono::seconds(20)));
}

// Targets are stopped for longer than a window. Their sockets take requests
// that they read, all at once, when they go on, also those given up on.
TEST(WindowedRetryBudget, SendsThatAStoppedTargetReadsLateStayWithinTheBudget)
{
  const TargetId stopped("t1");
  constexpr int kBudget = 8;
  WindowedRetryBudget budget({ kWindow, 0, kBudget }, kLongAgo);
  Instant now{ std::chrono::minutes(1) };
  budget.SetFixedShare(1, Instant::max());
  int pending = 0; // Retried requests of which the target has a copy.
  for (int i = 0; i < 300; ++i, now += milliseconds(100)) {
    if (budget.TryToRetry(now)) {
      budget.OnUnanswered(stopped, now);
      ++pending;
    }
  }
  CHECK(pending > 0);
  CHECK(pending <= kBudget);
  budget.OnResponse(stopped, now, now); // It reads them now.
  int retries = pending;
  for (int i = 0; i < 90; ++i, now += milliseconds(100)) {
    retries += budget.TryToRetry(now) ? 1 : 0;
  }
  CHECK(retries <= kBudget);
  now += kWindow + kWindow;
  CHECK(budget.TryToRetry(now));
}

TEST(WindowedRetryBudget, AResponseToAnEarlierRequestDoesNotShowThatItGoesOn)
{
  const TargetId stopped("t1");
  WindowedRetryBudget budget({ kWindow, 0, 2 }, kLongAgo);
  const Instant now{ std::chrono::minutes(1) };
  budget.SetFixedShare(1, Instant::max());
  CHECK(budget.TryToRetry(now));
  budget.OnUnanswered(stopped, now);
  budget.OnResponse(stopped, now - milliseconds(1), now);
  CHECK(budget.TryToRetry(now + kWindow + kWindow));
  CHECK_FALSE(budget.TryToRetry(now + kWindow + kWindow));
}

// A target that was replaced, or that never comes back, must not take from the
// budget for good.
TEST(WindowedRetryBudget, SendsToTargetsThatAreGoneCountNoMore)
{
  WindowedRetryBudget budget({ kWindow, 0, 1 }, kLongAgo);
  Instant now{ std::chrono::minutes(1) };
  budget.SetFixedShare(1, Instant::max());
  CHECK(budget.TryToRetry(now));
  budget.OnUnanswered(TargetId("t1"), now);
  now += kWindow + kWindow;
  CHECK_FALSE(budget.TryToRetry(now));
  budget.OnGone(TargetId("t1"));
  CHECK(budget.TryToRetry(now));
  budget.OnUnanswered(TargetId("t2"), now);
  CHECK(budget.TryToRetry(now + std::chrono::minutes(3)));
}
