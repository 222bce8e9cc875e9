#include <map>    // for map
#include <random> // for mt19937_64
#include <string> // for string, to_string

#include <CppUTest/TestHarness.h> // for TEST

#include "jujubehead/core/permit_scheduler.hpp" // for PermitScheduler

using namespace jujubehead::core;
using namespace std::chrono_literals;

namespace {

const InstanceId kEntry("entry");
constexpr Duration kStep = 10ms;

/// Simulates one target under load in steps of 10 ms.
class TargetSimulation
{
public:
  struct Account
  {
    std::uint32_t weight = 1;
    double per_second = 0; ///< Request rate.
    int run_ms = 500;      ///< Mean; uniform from 0.5 to 1.5 times this.
    Duration start_timeout = 2s;
  };

  explicit TargetSimulation(std::uint32_t aLimit)
    : m_scheduler(PermitScheduler::ForEpoch(1, aLimit))
    , m_limit(aLimit)
  {
  }

  void Set(const std::string& aName, Account aAccount)
  {
    m_scheduler.SetShare({ AccountId(aName), aAccount.weight, m_limit, 200 });
    m_accounts[aName] = aAccount;
  }

  void RunFor(Duration aTime)
  {
    m_busy.clear();
    m_finished = 0;
    const Instant end = m_now + aTime;
    for (; m_now < end; m_now += kStep) {
      Step();
    }
  }

  /// @return the account's share of the time that slots were occupied.
  double Share(const std::string& aName)
  {
    double all = 0;
    for (const auto& [name, busy] : m_busy) {
      all += busy;
    }
    return m_busy[aName] / all;
  }

  [[nodiscard]] int Finished() const { return m_finished; }

private:
  struct Run
  {
    std::string account;
    Instant end;
  };

  void Step()
  {
    for (auto it = m_runs.begin(); it != m_runs.end();) {
      if (it->second.end <= m_now) {
        m_scheduler.Release(it->first, m_now);
        ++m_finished;
        it = m_runs.erase(it);
      } else {
        m_busy[it->second.account] += 1;
        ++it;
      }
    }
    for (const auto& [name, account] : m_accounts) {
      Offer(name, account);
    }
    for (const auto& [request, waiting] : m_waiting) {
      m_scheduler.Request(waiting, m_now);
    }
    for (const PermitDecision& decision : m_scheduler.Decide(m_now)) {
      Apply(decision);
    }
  }

  void Offer(const std::string& aName, const Account& aAccount)
  {
    const double probability =
      aAccount.per_second * std::chrono::duration<double>(kStep).count();
    if (static_cast<double>(m_random() % 10000) >= probability * 10000) {
      return;
    }
    const RequestId request(aName + std::to_string(m_offered++));
    m_waiting[request] = {
      request, kEntry, AccountId(aName), 0, m_now + aAccount.start_timeout, 1,
      0,       0
    };
  }

  void Apply(const PermitDecision& aDecision)
  {
    const auto* grant = std::get_if<PermitGranted>(&aDecision);
    if (grant == nullptr) {
      m_waiting.erase(std::get<PermitRefused>(aDecision).request);
      return;
    }
    const auto found = m_waiting.find(grant->request);
    if (found == m_waiting.end()) {
      return;
    }
    const std::string name = found->second.account.Text();
    m_waiting.erase(found);
    const int mean = m_accounts.at(name).run_ms;
    const auto span = static_cast<std::uint64_t>(mean);
    const int run = mean / 2 + static_cast<int>(m_random() % span);
    m_runs[grant->permit] = { name, m_now + std::chrono::milliseconds(run) };
    m_scheduler.Started(grant->permit, m_now);
  }

  PermitScheduler m_scheduler;
  std::uint32_t m_limit;
  Instant m_now{ 1h };
  std::mt19937_64 m_random{ 20261202 };
  std::map<std::string, Account> m_accounts;
  std::map<RequestId, PermitRequest> m_waiting;
  std::map<PermitId, Run> m_runs;
  std::map<std::string, double> m_busy;
  int m_finished = 0;
  int m_offered = 0;
};

} // namespace

TEST_GROUP(PermitShares){};

TEST(PermitShares, MatchWeightsWithinFivePointsOverTenSeconds)
{
  TargetSimulation simulation(8);
  simulation.Set("one", { 1, 60, 200 });
  simulation.Set("three", { 3, 60, 600 });
  simulation.RunFor(10s);
  for (int window = 0; window < 10; ++window) {
    simulation.RunFor(10s);
    DOUBLES_EQUAL(0.25, simulation.Share("one"), 0.05);
  }
}

TEST(PermitShares, AnIdleShareIsUsedByOthersAndReturnedWithinSeconds)
{
  TargetSimulation simulation(8);
  simulation.Set("one", { 1, 60, 500 });
  simulation.Set("three", { 3, 0, 500 });
  simulation.RunFor(10s);
  DOUBLES_EQUAL(1, simulation.Share("one"), 0.01);
  simulation.Set("three", { 3, 60, 500 });
  simulation.RunFor(2s);
  simulation.RunFor(10s);
  DOUBLES_EQUAL(0.25, simulation.Share("one"), 0.05);
}

TEST(PermitShares, ThroughputRecoversAfterABurstOfThreeTimesTheCapacity)
{
  TargetSimulation simulation(8);
  simulation.Set("a", { 1, 12, 500 });
  simulation.RunFor(60s);
  const int before = simulation.Finished();
  simulation.Set("a", { 1, 48, 500 });
  simulation.RunFor(60s);
  CHECK(simulation.Finished() > before);
  simulation.Set("a", { 1, 12, 500 });
  simulation.RunFor(10s);
  simulation.RunFor(60s);
  CHECK(simulation.Finished() > before * 95 / 100);
}
