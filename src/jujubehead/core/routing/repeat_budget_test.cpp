#include "jujubehead/core/routing/repeat_budget.hpp"

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
constexpr std::size_t kMostInstances = 4;

/// One thing that happens at one of the instances.
struct Step
{
  std::size_t instance = 0;
  int wait_ms = 0;
  bool is_request = false;
};

struct Seen
{
  Instant when;
  bool is_repeat = false;
};

/// @return whether each window of the repeats keeps to the whole budget of the
/// requests that came in the window, or in the one before it.
bool
KeepsBudget(const std::deque<Seen>& aSeen)
{
  for (const Seen& last : aSeen) {
    double requests = 0;
    double repeats = 0;
    for (const Seen& other : aSeen) {
      const Duration age = last.when - other.when;
      const bool in_window = age >= Duration(0) && age <= kWindow;
      repeats += other.is_repeat && in_window ? 1 : 0;
      requests += !other.is_repeat && in_window ? 1 : 0;
    }
    if (repeats > kShare * requests + kFixed) {
      return false;
    }
  }
  return true;
}

} // namespace

TEST_GROUP(RepeatBudget){};

TEST(RepeatBudget, AllInstancesTogetherKeepToItOverAnyWindow)
{
  CHECK(rc::check("the sum over instances that come and go", [] {
    const auto steps = *rc::gen::container<std::vector<Step>>(rc::gen::build(
      rc::gen::construct<Step>(),
      rc::gen::set(&Step::instance,
                   rc::gen::inRange<std::size_t>(0, kMostInstances)),
      rc::gen::set(&Step::wait_ms, rc::gen::inRange(0, 3000)),
      rc::gen::set(&Step::is_request, rc::gen::arbitrary<bool>())));
    RepeatBudgetOptions options;
    options.window = kWindow;
    options.per_request = kShare;
    options.fixed = kFixed / kMostInstances;
    std::vector<RepeatBudget> budgets(kMostInstances, RepeatBudget(options));
    Instant now{ std::chrono::seconds(1000) };
    std::deque<Seen> seen;
    for (const Step& step : steps) {
      now += milliseconds(step.wait_ms);
      RepeatBudget& budget = budgets[step.instance];
      if (step.is_request) {
        budget.OnRequest(now);
        seen.push_back({ now, false });
      } else if (budget.TryRepeat(now)) {
        seen.push_back({ now, true });
      }
    }
    RC_ASSERT(KeepsBudget(seen));
  }));
}

TEST(RepeatBudget, IsUsedUpAndComesBackWithTime)
{
  RepeatBudgetOptions options;
  options.fixed = 1;
  RepeatBudget budget(options);
  Instant now{ std::chrono::seconds(50) };
  CHECK(budget.TryRepeat(now));
  CHECK_FALSE(budget.TryRepeat(now));
  LONGS_EQUAL(1, budget.Denied());
  now += std::chrono::seconds(12);
  CHECK(budget.TryRepeat(now));
}
