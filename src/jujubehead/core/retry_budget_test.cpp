#include "jujubehead/core/retry_budget.hpp"

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

using jujubehead::core::RetryBudget;
using jujubehead::core::RetryBudgetOptions;

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, RetriesNeverExceedTheirShareAndTheBurst)
{
  CHECK(rc::check("share", [](const std::vector<bool>& aSteps) {
    const RetryBudgetOptions options{ 0.25, 4 };
    RetryBudget budget(options);
    double requests = 0;
    for (const bool isRequest : aSteps) {
      if (isRequest) {
        ++requests;
        budget.OnRequest();
      } else {
        (void)budget.TryRetry();
      }
      RC_ASSERT(static_cast<double>(budget.Retries()) <=
                options.burst + options.per_request * requests);
    }
  }));
}

TEST(RetryBudget, RequestsRefillAnExhaustedBudget)
{
  RetryBudget budget({ 0.5, 1 });
  CHECK(budget.TryRetry());
  CHECK_FALSE(budget.TryRetry());
  budget.OnRequest();
  budget.OnRequest();
  CHECK(budget.TryRetry());
  LONGS_EQUAL(1, budget.Denied());
}
