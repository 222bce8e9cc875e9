#include "jujubehead/core/routing/patience.hpp"

#include <random> // for mt19937, exponential_distribution

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::milliseconds;

TEST_GROUP(Patience)
{
  SilenceInput input{ milliseconds(800), std::nullopt, true };
};

TEST(Patience, BesideOtherStreamsSilenceSoonMeansSomething)
{
  CHECK(StreamPatience(input) == milliseconds(1200));
  input.predicted = milliseconds(5000);
  CHECK(StreamPatience(input) == milliseconds(1200));
  input.objective = milliseconds(100);
  CHECK(StreamPatience(input) == milliseconds(1000));
}

TEST(Patience, AloneItWaitsForWhatIsUsual)
{
  input.others_stream = false;
  CHECK(StreamPatience(input) == milliseconds(2400));
  input.predicted = milliseconds(2000);
  CHECK(StreamPatience(input) == milliseconds(4000));
}

// The load of a day on which a quarter of the targets is lost: 74 instances, so
// that each has one stream at a target, and waits of 1.2 s in the mean.
TEST(Patience, FewWaitsInALoadedQueueAreTakenForDeath)
{
  std::mt19937 random(11);
  std::exponential_distribution<double> wait(1 / 1.2);
  input.others_stream = false;
  input.predicted = milliseconds(1200);
  const SilenceInput beside{ milliseconds(800), milliseconds(1200), true };
  int given_up = 0;
  int given_up_beside = 0;
  constexpr int kWaits = 10000;
  for (int i = 0; i < kWaits; ++i) {
    const std::chrono::duration<double> one(wait(random));
    given_up += one > StreamPatience(input) ? 1 : 0;
    given_up_beside += one > StreamPatience(beside) ? 1 : 0;
  }
  CHECK(given_up < kWaits * 15 / 100);
  CHECK(given_up_beside > kWaits * 30 / 100);
}
