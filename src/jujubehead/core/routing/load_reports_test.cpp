#include "jujubehead/core/routing/load_reports.hpp"

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

TargetLoadReport
ReportOf(const std::string& aTarget, std::uint32_t aWaiting, Instant aWhen)
{
  return { KeyOf(TargetId(aTarget)), { 12, aWaiting, 12 }, aWhen };
}

/// 74 instances place prompts at 140 targets, where requests last a second.
/// Each instance gets load reports with its own responses and, with exchange,
/// from one hub that it polls four times a second.
/// @return the mean over time of the requests beyond the targets' 12 slots.
double
MeanOverload(bool aIsExchanged)
{
  constexpr std::size_t kInstances = 74;
  constexpr std::size_t kTargets = 140;
  constexpr std::size_t kSteps = 240;
  constexpr std::size_t kStepMs = 50;
  constexpr std::size_t kLastsSteps = 20;
  constexpr std::size_t kRequestsInStep = 62;
  constexpr std::size_t kPollSteps = 5;
  std::mt19937 random(3);
  const auto average = std::make_shared<ServiceLoadAverage>();
  std::vector<std::vector<LoadEstimate>> estimates(
    kInstances, std::vector<LoadEstimate>(kTargets, LoadEstimate(average)));
  std::vector<std::uint64_t> names;
  for (std::size_t t = 0; t < kTargets; ++t) {
    names.push_back(PlacementHash("t" + std::to_string(t)));
  }
  std::vector<std::uint32_t> load(kTargets, 0);
  std::vector<std::vector<std::pair<std::size_t, std::size_t>>> ends(
    kSteps + kLastsSteps + 1);
  LoadReports hub;
  double over = 0;
  for (std::size_t step = 0; step < kSteps; ++step) {
    const Instant now = kNow + milliseconds(kStepMs * step);
    for (const auto& [instance, target] : ends[step]) {
      estimates[instance][target].OnEnd(milliseconds(kStepMs * kLastsSteps));
      --load[target];
      const ReportedLoad report{ std::min(load[target], 12U),
                                 load[target] > 12 ? load[target] - 12 : 0,
                                 12 };
      estimates[instance][target].OnReport(report, now);
      hub.Put({ static_cast<TargetKey>(target), report, now });
    }
    if (aIsExchanged && step % kPollSteps == 0) {
      for (const TargetLoadReport& one : hub.Busiest(now)) {
        for (auto& estimate : estimates) {
          estimate[static_cast<std::size_t>(one.target)].OnRelayedReport(
            one.load, one.reported_at);
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

TEST_GROUP(LoadReports){};

TEST(LoadReports, KeepsTheNewestReport)
{
  LoadReports news;
  news.Put(ReportOf("a", 3, kNow));
  news.Put(ReportOf("a", 9, kNow - milliseconds(10)));
  LONGS_EQUAL(3, news.Busiest(kNow).at(0).load.waiting);
  news.Put(ReportOf("a", 1, kNow + milliseconds(10)));
  LONGS_EQUAL(1, news.Busiest(kNow).at(0).load.waiting);
}

TEST(LoadReports, ReturnsTheBusiestTargetsAndDropsOldReports)
{
  LoadReportsOptions options;
  options.max_reports = 2;
  LoadReports news(options);
  news.Put(ReportOf("a", 1, kNow));
  news.Put(ReportOf("b", 7, kNow));
  news.Put(ReportOf("c", 4, kNow));
  news.Put(ReportOf("d", 9, kNow - milliseconds(1501)));
  const auto busiest = news.Busiest(kNow);
  LONGS_EQUAL(2, busiest.size());
  CHECK(busiest.at(0).target == KeyOf(TargetId("b")));
  CHECK(busiest.at(1).target == KeyOf(TargetId("c")));
  LONGS_EQUAL(2, news.TakeBusiest(kNow).size());
  LONGS_EQUAL(0, news.Busiest(kNow).size());
}

// Sent with every poll for as long as they were valid, 224 reports took the
// whole of what an instance may receive, and left out most targets of a large
// fleet.
TEST(LoadReports, EachReportIsSentOnce)
{
  LoadReports reports;
  reports.Put(ReportOf("a", 1, kNow));
  const LoadReports::Page first = reports.BusiestAfter(0, kNow);
  LONGS_EQUAL(1, first.reports.size());
  CHECK(reports.BusiestAfter(first.next, kNow).reports.empty());
  reports.Put(ReportOf("a", 2, kNow + milliseconds(1)));
  reports.Put(ReportOf("b", 2, kNow + milliseconds(1)));
  LONGS_EQUAL(2, reports.BusiestAfter(first.next, kNow).reports.size());
}

// What a follower receives must not grow with the fleet: requests, and so
// reports, do.
TEST(LoadReports, ReportsReceivedAreBounded)
{
  constexpr milliseconds kPoll{ 220 };
  constexpr int kPolls = 20;
  const LoadReportsOptions options;
  for (const std::size_t per_poll : { 600U, 1200U, 2400U }) {
    LoadReports reports;
    std::uint64_t next = 0;
    std::size_t target = 0;
    for (int poll = 0; poll < kPolls; ++poll) {
      const Instant now = kNow + poll * kPoll;
      for (std::size_t i = 0; i < per_poll; ++i) {
        const std::uint32_t waiting = i == 0 ? 9 : 0;
        reports.Put(ReportOf("t" + std::to_string(++target), waiting, now));
      }
      const LoadReports::Page page = reports.BusiestAfter(next, now);
      next = page.next;
      LONGS_EQUAL(options.max_reports, page.reports.size());
      LONGS_EQUAL(9, page.reports.front().load.waiting);
    }
  }
}

TEST(LoadReports, ExchangedReportsSpreadLoadMoreEvenly)
{
  const double separate = MeanOverload(false);
  const double exchanged = MeanOverload(true);
  // Usual values: 52 and 39.
  CHECK(separate > 20);
  CHECK(exchanged < 0.85 * separate);
}

TEST(LoadReports, ATargetThatIsGoneRanksAboveAllLoads)
{
  LoadReports news;
  news.Put(ReportOf("a", 40, kNow));
  news.Put(GoneTargetReport(TargetId("b"), kNow));
  const auto busiest = news.Busiest(kNow);
  CHECK(busiest.at(0).is_gone && busiest.at(0).target == KeyOf(TargetId("b")));
  // It has since responded to another instance.
  news.Put(ReportOf("b", 0, kNow + milliseconds(10)));
  CHECK_FALSE(news.Busiest(kNow).at(1).is_gone);
}
