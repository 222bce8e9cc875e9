#include "jujubehead/core/reuse_model.hpp"

#include <rapidcheck.h> // for rc::check

// Last: its macros change the meaning of new.
#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using namespace std::chrono_literals;

TEST_GROUP(ReuseModel)
{
  ReuseModel model;
  const AccountId returning{ "returning" };
  const AccountId leaving{ "leaving" };

  void Learn()
  {
    for (int i = 0; i < 400; ++i) {
      model.Observe(returning, 0s, 10min, true);
      model.Observe(leaving, 0s, 4h, false);
    }
  }
};

TEST(ReuseModel, UnderThePriorHalfReturnWithinAnHour)
{
  DOUBLES_EQUAL(0.5, model.ReuseProbability(returning, 0s, 1h), 0.01);
}

TEST(ReuseModel, LearnsEachAccountFromItsGaps)
{
  Learn();
  CHECK(model.ReuseProbability(returning, 0s, 30min) > 0.9);
  CHECK(model.ReuseProbability(leaving, 0s, 30min) < 0.1);
  CHECK(model.ReuseRate(returning, 0s) > 10 * model.ReuseRate(leaving, 0s));
}

TEST(ReuseModel, AnUnknownAccountUsesThePool)
{
  Learn();
  const AccountId unknown{ "unknown" };
  const double chance = model.ReuseProbability(unknown, 0s, 30min);
  CHECK(chance < model.ReuseProbability(returning, 0s, 30min));
  CHECK(chance > model.ReuseProbability(leaving, 0s, 30min));
}

TEST(ReuseModel, NewObservationsOutweighDecayedOnes)
{
  Learn();
  model.Decay(0.01);
  for (int i = 0; i < 100; ++i) {
    model.Observe(returning, 0s, 4h, false);
  }
  CHECK(model.ReuseProbability(returning, 0s, 30min) < 0.3);
}

TEST(ReuseModel, ProbabilitiesAreBoundedAndGrowWithTime)
{
  CHECK(rc::check([this](const std::vector<std::uint16_t>& aGaps,
                         std::uint16_t aIdle,
                         std::uint16_t aWithin) {
    ReuseModel fresh;
    for (const auto gap : aGaps) {
      fresh.Observe(returning, 0s, gap * 1s, gap % 3 != 0);
    }
    const double chance =
      fresh.ReuseProbability(returning, aIdle * 1s, aWithin * 1s);
    const double later =
      fresh.ReuseProbability(returning, aIdle * 1s, aWithin * 1s + 1min);
    RC_ASSERT(chance >= 0.0);
    RC_ASSERT(later <= 1.0);
    RC_ASSERT(chance <= later);
    RC_ASSERT(fresh.ReuseRate(returning, aIdle * 1s) > 0.0);
  }));
}
