#include "jujubehead/core/retention_policy.hpp"

#include <chrono>  // for seconds
#include <numeric> // for accumulate

#include <rapidcheck.h> // for rc::check

// Last: its macros change the meaning of new.
#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kBytes = 1'000'000;

RetentionInput
Value(const char* aAccount, Duration aIdle, double aSeconds)
{
  return { AccountId(aAccount), aIdle, kBytes, aSeconds, aSeconds };
}

ExportInput
View(double aLinkUse)
{
  return { Value("a", 10min, 3), kBytes, kBytes, aLinkUse, 4h };
}

} // namespace

TEST_GROUP(RetentionPolicy)
{
  ReuseModel model;
};

TEST(RetentionPolicy, AMoreValuableContextHasTheHigherPrice)
{
  for (int i = 0; i < 200; ++i) {
    model.Observe(AccountId("returning"), 0s, 20min, true);
    model.Observe(AccountId("leaving"), 0s, 4h, false);
  }
  CHECK(RetentionPrice(model, Value("returning", 10min, 3)) >
        RetentionPrice(model, Value("leaving", 10min, 3)));
  CHECK(RetentionPrice(model, Value("returning", 10min, 6)) >
        RetentionPrice(model, Value("returning", 10min, 3)));
}

TEST(RetentionPolicy, WithoutATokenPriceTheValueIsTheSquareOfTheWait)
{
  DOUBLES_EQUAL(4.0, ReuseValue(2, 1000, 0), 1e-9);
  DOUBLES_EQUAL(16.0, ReuseValue(4, 2000, 0), 1e-9);
  const double once = ReuseValue(10, 10000, 0.01);
  const double twice = ReuseValue(20, 20000, 0.01);
  DOUBLES_EQUAL(2.0, twice / once, 0.05);
}

TEST(RetentionPolicy, ABusyOrSlowLinkMakesTheExportGainNegative)
{
  CHECK(ExportGain(model, View(0)) > 0);
  CHECK(ExportGain(model, View(0.9)) < 0);
  ExportInput slow = View(0);
  slow.bytes_per_second = kBytes / 4.0; // 4 s to import, 3 s to compute
  CHECK(ExportGain(model, slow) < 0);
}

TEST(RetentionPolicy, VictimsHaveTheLowestPricesAllBelowTheNewCopys)
{
  CHECK(rc::check([](const std::vector<std::uint8_t>& aPrices,
                     std::uint8_t aNeeded,
                     std::uint8_t aNewPrice) {
    std::vector<EvictionCandidate> copies;
    copies.reserve(aPrices.size());
    for (const auto price : aPrices) {
      copies.push_back({ static_cast<double>(price), 10 });
    }
    const auto victims = ChooseVictims(copies, aNeeded, aNewPrice);
    const auto below = static_cast<std::uint64_t>(
      std::count_if(aPrices.begin(), aPrices.end(), [&](auto aPrice) {
        return aPrice < aNewPrice;
      }));
    RC_ASSERT(victims.has_value() == (below * 10 >= aNeeded));
    if (victims) {
      RC_ASSERT(victims->size() * 10 < aNeeded + 10U);
      for (const std::size_t index : *victims) {
        RC_ASSERT(copies[index].price < aNewPrice);
      }
    }
  }));
}
