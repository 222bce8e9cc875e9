#include "jujubehead/core/routing/load_news.hpp"

#include <memory> // for make_shared
#include <random> // for mt19937
#include <string> // for to_string
#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST

#include "jujubehead/core/routing/placement.hpp" // for PlacePrompt

using namespace jujubehead::core;
using std::chrono::milliseconds;

namespace {

const Instant kNow = Instant(std::chrono::hours(1));

HeardLoad
Heard(const std::string& aTarget, std::uint32_t aWaiting, Instant aHeard)
{
  return { KeyOf(TargetId(aTarget)), { 12, aWaiting, 12 }, aHeard };
}

/// 74 instances place prompts at 140 targets, whose requests last a second;
/// each hears a target's load only with its own answers, and, when told, from
/// one hub in four questions a second.
/// @return the mean over time of requests above a target's twelve places.
double
OverfullPlaces(bool aIsTold)
{
  constexpr std::size_t kInstances = 74;
  constexpr std::size_t kTargets = 140;
  constexpr std::size_t kSteps = 240;
  constexpr std::size_t kStepMs = 50;
  constexpr std::size_t kLastsSteps = 20;
  constexpr std::size_t kRequestsInStep = 62;
  constexpr std::size_t kAskSteps = 5;
  std::mt19937 random(3);
  const auto usual = std::make_shared<UsualLoad>();
  std::vector<std::vector<LoadEstimate>> estimates(
    kInstances, std::vector<LoadEstimate>(kTargets, LoadEstimate(usual)));
  std::vector<std::uint64_t> names;
  for (std::size_t t = 0; t < kTargets; ++t) {
    names.push_back(PlacementHash("t" + std::to_string(t)));
  }
  std::vector<std::uint32_t> load(kTargets, 0);
  std::vector<std::vector<std::pair<std::size_t, std::size_t>>> ends(
    kSteps + kLastsSteps + 1);
  LoadNews hub;
  double over = 0;
  for (std::size_t step = 0; step < kSteps; ++step) {
    const Instant now = kNow + milliseconds(kStepMs * step);
    for (const auto& [instance, target] : ends[step]) {
      estimates[instance][target].OnEnd(milliseconds(kStepMs * kLastsSteps));
      --load[target];
      const ReportedLoad told{ std::min(load[target], 12U),
                               load[target] > 12 ? load[target] - 12 : 0,
                               12 };
      estimates[instance][target].OnReport(told, now);
      hub.Put({ static_cast<TargetKey>(target), told, now });
    }
    if (aIsTold && step % kAskSteps == 0) {
      for (const HeardLoad& one : hub.Busiest(now)) {
        for (auto& estimate : estimates) {
          estimate[static_cast<std::size_t>(one.target)].OnTold(one.load,
                                                                one.heard);
        }
      }
    }
    for (std::size_t i = 0; i < kRequestsInStep; ++i) {
      const std::size_t instance = random() % kInstances;
      std::vector<PlacementCandidate> candidates;
      for (std::size_t t = 0; t < kTargets; ++t) {
        candidates.push_back(
          { names[t], estimates[instance][t].Requests(now), 1, false });
      }
      const std::size_t target = *PlacePrompt(
        PlacementHash("p" + std::to_string(random() % 2462)), candidates);
      estimates[instance][target].OnBegin();
      ++load[target];
      ends[step + kLastsSteps].push_back({ instance, target });
    }
    for (const std::uint32_t requests : load) {
      over += requests > 12 ? requests - 12 : 0;
    }
  }
  return over / kSteps;
}

} // namespace

TEST_GROUP(LoadNews){};

TEST(LoadNews, TheNewestWordCounts)
{
  LoadNews news;
  news.Put(Heard("a", 3, kNow));
  news.Put(Heard("a", 9, kNow - milliseconds(10)));
  LONGS_EQUAL(3, news.Busiest(kNow).at(0).load.waiting);
  news.Put(Heard("a", 1, kNow + milliseconds(10)));
  LONGS_EQUAL(1, news.Busiest(kNow).at(0).load.waiting);
}

TEST(LoadNews, TheBusiestAreToldAndOldWordsForgotten)
{
  LoadNewsOptions options;
  options.most = 2;
  LoadNews news(options);
  news.Put(Heard("a", 1, kNow));
  news.Put(Heard("b", 7, kNow));
  news.Put(Heard("c", 4, kNow));
  news.Put(Heard("d", 9, kNow - milliseconds(1501)));
  const auto busiest = news.Busiest(kNow);
  LONGS_EQUAL(2, busiest.size());
  CHECK(busiest.at(0).target == KeyOf(TargetId("b")));
  CHECK(busiest.at(1).target == KeyOf(TargetId("c")));
  LONGS_EQUAL(2, news.TakeBusiest(kNow).size());
  LONGS_EQUAL(0, news.Busiest(kNow).size());
}

TEST(LoadNews, ManyInstancesThatTellEachOtherFillTargetsEvenly)
{
  const double alone = OverfullPlaces(false);
  const double told = OverfullPlaces(true);
  // Measured: 52 and 39.
  CHECK(alone > 20);
  CHECK(told < 0.85 * alone);
}

TEST(LoadNews, ATargetThatIsGoneGoesBeforeAllLoads)
{
  LoadNews news;
  news.Put(Heard("a", 40, kNow));
  news.Put(GoneTarget(TargetId("b"), kNow));
  const auto busiest = news.Busiest(kNow);
  CHECK(busiest.at(0).is_gone && busiest.at(0).target == KeyOf(TargetId("b")));
  // It answered another instance since.
  news.Put(Heard("b", 0, kNow + milliseconds(10)));
  CHECK_FALSE(news.Busiest(kNow).at(1).is_gone);
}
