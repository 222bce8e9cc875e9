#include <algorithm> // for max, min
#include <cstddef>   // for size_t
#include <deque>     // for deque
#include <optional>  // for optional
#include <random>    // for mt19937
#include <span>      // for span
#include <string>    // for string, to_string
#include <vector>    // for vector

#include <CppUTest/TestHarness.h> // for TEST

#include "jujubehead/core/membership/holder_ring.hpp" // for HolderRing
#include "jujubehead/core/routing/placement.hpp"      // for PlacementHash
#include "jujubehead/core/routing/target_limit.hpp"   // for TargetLimit

// All instances and all targets of a service in simulated time: targets name
// limits and end them, while instances restart, are replaced and get no reports
// of each other.

using namespace jujubehead::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kStep = milliseconds(50);
constexpr std::size_t kSteps = 1000;
constexpr std::size_t kWindowSteps = seconds(4) / kStep;
/// What a target may get in kWindowSteps from a moment after it first named a
/// limit of that many requests a second.
constexpr double kAllowedMultiple = 1.5 * 4;
constexpr double kAllowedMore = 5;
constexpr std::size_t kMaxViewSteps = seconds(6) / kStep;
constexpr std::size_t kJoinSteps = seconds(10) / kStep;
constexpr std::size_t kSettleSteps = seconds(3) / kStep;
constexpr std::size_t kLimitedFrom = seconds(5) / kStep;
constexpr std::size_t kLimitedUntil = seconds(40) / kStep;
constexpr std::size_t kTargets = 18;
constexpr double kMinLimit = 0.5; ///< Requests a second.
constexpr double kMaxLimit = 2.0;
/// With one of these, a burst for each holder is more than is allowed.
constexpr double kLargeLimit = 8.0;
constexpr std::size_t kPauseSteps = seconds(4) / kStep;
constexpr std::size_t kPausePeriod = seconds(7) / kStep;
constexpr double kLeastUsed = 0.5;
constexpr unsigned kSeeds = 60;
const Instant kStart{ std::chrono::hours(1) };

enum class Rule
{
  kHolders, ///< As built.
  kDivided, ///< Each instance has the limit divided by all, and one token.
  kWhole,   ///< Each instance has the whole limit.
  kBursts,  ///< As built, but each holder's bucket holds the whole burst.
};

struct Scenario
{
  std::size_t instances = 9;
  std::size_t limited = kTargets; ///< Of the targets.
  Rule rule = Rule::kHolders;
  double max_limit = kMaxLimit;
  /// Callers all pause together, so that buckets are full when they are back.
  bool has_pauses = false;
};

struct Outcome
{
  double most_over = -1e9; ///< Requests in a window beyond those allowed.
  double used = 0;         ///< Of what the limits allow, while there is demand.
};

/// A limit known to one instance, by the rule of the scenario.
class Share
{
public:
  explicit Share(const Scenario& aScenario)
    : m_scenario(&aScenario)
  {
  }

  TargetLimit limit;

  bool TryToSend(Instant aNow)
  {
    if (m_scenario->rule == Rule::kHolders || !limit.PerSecond()) {
      return limit.TryToSend(m_rank, aNow);
    }
    const bool has_bursts = m_scenario->rule == Rule::kBursts;
    if (has_bursts && !limit.IsHeld(m_rank, aNow)) {
      return false;
    }
    const double parts = m_scenario->rule == Rule::kDivided
                           ? static_cast<double>(m_scenario->instances)
                           : 1;
    const double rate =
      has_bursts ? limit.TokensPerSecond() : *limit.PerSecond() / parts;
    const double capacity = has_bursts ? *limit.PerSecond() + 1 : 1;
    const double passed =
      std::chrono::duration<double>(aNow - m_filled_at).count();
    m_tokens = std::min(capacity, m_tokens + rate * passed);
    m_filled_at = aNow;
    if (m_tokens < 1) {
      return false;
    }
    m_tokens -= 1;
    return true;
  }
  void SetRank(std::size_t aRank) { m_rank = aRank; }

private:
  const Scenario* m_scenario;
  std::size_t m_rank = 0;
  double m_tokens = 0;
  Instant m_filled_at = kStart;
};

struct Report
{
  std::size_t due = 0; ///< Step.
  std::size_t target = 0;
  std::size_t from = 0;
  std::optional<double> limit;
  Instant received{};
};

struct Reply
{
  std::size_t due = 0;
  std::size_t instance = 0;
  std::size_t target = 0;
  Instant sent{};
};

class Model
{
public:
  Model(const Scenario& aScenario, unsigned aSeed)
    : m_scenario(aScenario)
    , m_random(aSeed)
    , m_arrived(kTargets, std::vector<double>(kSteps, 0))
    , m_limits(kTargets)
    , m_cut_until(aScenario.instances, 0)
  {
    for (std::size_t i = 0; i < aScenario.instances; ++i) {
      m_ids.push_back("instance-" + std::to_string(i));
    }
    for (std::size_t i = 0; i < aScenario.instances; ++i) {
      m_instances.push_back({ i, m_ids.size(), 0, 0, {} });
      Restart(i);
    }
  }

  Outcome Run()
  {
    for (m_step = 0; m_step < kSteps; ++m_step) {
      m_now = kStart + static_cast<Duration::rep>(m_step) * kStep;
      ChangeLimits();
      CauseFaults();
      Deliver();
      SendAll();
    }
    return Result();
  }

private:
  struct Instance
  {
    std::size_t id = 0;        ///< Index of its id.
    std::size_t known_ids = 0; ///< The first of all ids.
    std::size_t view_due = 0;  ///< Step at which it knows all.
    std::size_t holds_from = 0;
    std::vector<Share> shares; ///< By target.
  };

  /// The process knows no limits.
  void Restart(std::size_t aInstance)
  {
    m_instances[aInstance].shares.assign(kTargets, Share(m_scenario));
    UpdateRanks(m_instances[aInstance]);
  }
  void UpdateRanks(Instance& aInstance)
  {
    const std::span<const std::string> known(m_ids.data(), aInstance.known_ids);
    const HolderRing ring(known, m_ids[aInstance.id]);
    for (std::size_t target = 0; target < kTargets; ++target) {
      aInstance.shares[target].SetRank(m_step < aInstance.holds_from
                                         ? HolderRing::kMaxRank
                                         : ring.RankOf(HashOf(target)));
    }
  }
  /// Another machine takes the place of an instance. The others know its row
  /// some time later, that of the old one stays.
  void Replace(std::size_t aInstance)
  {
    m_ids.push_back("instance-" + std::to_string(m_ids.size()));
    for (Instance& one : m_instances) {
      one.view_due = m_step + m_random() % kMaxViewSteps;
    }
    Instance& replaced = m_instances[aInstance];
    replaced.id = m_ids.size() - 1;
    replaced.known_ids = m_ids.size();
    replaced.holds_from = m_step + kJoinSteps;
    Restart(aInstance);
  }
  void UpdateViews()
  {
    for (Instance& one : m_instances) {
      const bool is_due =
        one.view_due == m_step && one.known_ids < m_ids.size();
      one.known_ids = is_due ? m_ids.size() : one.known_ids;
      if (is_due || one.holds_from == m_step) {
        UpdateRanks(one);
      }
    }
  }
  static std::uint64_t HashOf(std::size_t aTarget)
  {
    return PlacementHash("target-" + std::to_string(aTarget));
  }

  void ChangeLimits()
  {
    std::uniform_real_distribution<> rate(kMinLimit, m_scenario.max_limit);
    for (std::size_t target = 0; target < m_scenario.limited; ++target) {
      if (m_step == kLimitedFrom) {
        m_named[target] = rate(m_random);
        m_limits[target] = m_named[target];
      } else if (m_step == kLimitedUntil) {
        m_limits[target].reset();
      }
    }
  }

  void CauseFaults()
  {
    std::uniform_int_distribution<std::size_t> any(0, m_scenario.instances - 1);
    std::uniform_int_distribution<int> chance(0, 199);
    if (chance(m_random) == 0) {
      Restart(any(m_random));
    }
    if (chance(m_random) == 0) {
      Replace(any(m_random));
    }
    UpdateViews();
    if (chance(m_random) == 0) { // Gets no reports.
      m_cut_until[any(m_random)] = m_step + seconds(6) / kStep;
    }
  }

  void Deliver()
  {
    while (!m_replies.empty() && m_replies.front().due <= m_step) {
      const Reply reply = m_replies.front();
      m_replies.pop_front();
      const auto limit = m_limits[reply.target];
      TargetLimit& known =
        m_instances[reply.instance].shares[reply.target].limit;
      const bool has_changed = known.OnReply(limit, reply.sent, m_now);
      if (limit || has_changed) {
        m_reports.push_back({ m_step + 1 + m_random() % 16,
                              reply.target,
                              reply.instance,
                              limit,
                              m_now });
      }
    }
    std::erase_if(m_reports, [&](const Report& aReport) {
      if (aReport.due > m_step) {
        return false;
      }
      for (std::size_t i = 0; i < m_scenario.instances; ++i) {
        if (i != aReport.from && m_cut_until[i] <= m_step) {
          m_instances[i].shares[aReport.target].limit.OnReport(
            aReport.limit, aReport.received);
        }
      }
      return true;
    });
  }

  /// Each instance gets far more requests than the limits allow.
  void SendAll()
  {
    if (m_scenario.has_pauses && m_step % kPausePeriod < kPauseSteps) {
      return;
    }
    std::uniform_int_distribution<std::size_t> any(0, kTargets - 1);
    for (std::size_t i = 0; i < m_scenario.instances; ++i) {
      for (std::size_t offset = any(m_random), n = 0; n < kTargets; ++n) {
        const std::size_t target = (offset + n) % kTargets;
        const bool is_known =
          m_instances[i].shares[target].limit.PerSecond().has_value();
        // Without a limit, the usual few requests.
        if (!is_known && m_random() % (m_scenario.instances * 4) != 0) {
          continue;
        }
        if (m_instances[i].shares[target].TryToSend(m_now)) {
          m_arrived[target][m_step] += 1;
          m_replies.push_back({ m_step + 4, i, target, m_now });
        }
      }
    }
  }

  [[nodiscard]] Outcome Result() const
  {
    Outcome outcome;
    double arrived = 0;
    double allowed = 0;
    for (std::size_t target = 0; target < m_scenario.limited; ++target) {
      const double limit = m_named[target];
      for (std::size_t from = kLimitedFrom + kSettleSteps;
           from + kWindowSteps <= kLimitedUntil;
           ++from) {
        double got = 0;
        for (std::size_t i = from; i < from + kWindowSteps; ++i) {
          got += m_arrived[target][i];
        }
        outcome.most_over = std::max(
          outcome.most_over, got - (kAllowedMultiple * limit + kAllowedMore));
        arrived += got;
        allowed += 4 * limit;
      }
    }
    outcome.used = arrived / allowed;
    return outcome;
  }

  const Scenario& m_scenario;
  std::mt19937 m_random;
  std::vector<std::string> m_ids;
  std::vector<Instance> m_instances;
  std::vector<std::vector<double>> m_arrived; ///< By target and step.
  std::vector<std::optional<double>> m_limits;
  std::vector<double> m_named = std::vector<double>(kTargets, 0);
  std::vector<std::size_t> m_cut_until; ///< Step, by instance.
  std::deque<Reply> m_replies;
  std::vector<Report> m_reports;
  std::size_t m_step = 0;
  Instant m_now{};
};

/// @return the worst outcome of all seeds.
Outcome
WorstOf(const Scenario& aScenario, unsigned aSeeds)
{
  Outcome worst;
  worst.used = 1;
  for (unsigned seed = 1; seed <= aSeeds; ++seed) {
    const Outcome outcome = Model(aScenario, seed).Run();
    worst.most_over = std::max(worst.most_over, outcome.most_over);
    worst.used = std::min(worst.used, outcome.used);
  }
  return worst;
}

} // namespace

TEST_GROUP(TargetLimitModel){};

// A target that names a limit gets requests from instances that don't know of
// each other's; their sum must keep it in a fleet of any size.
TEST(TargetLimitModel, AllInstancesTogetherKeepALimitInAnyFleet)
{
  for (const std::size_t instances : { 9UL, 18UL, 36UL }) {
    Scenario scenario;
    scenario.instances = instances;
    const Outcome worst = WorstOf(scenario, kSeeds);
    CHECK(worst.most_over <= 0);
    CHECK(worst.used >= kLeastUsed);
  }
}

// After a pause all buckets are full, and empty at once.
TEST(TargetLimitModel, CallersThatPauseDoNotExceedALimit)
{
  for (const std::size_t instances : { 9UL, 18UL, 36UL }) {
    Scenario scenario;
    scenario.instances = instances;
    scenario.has_pauses = true;
    scenario.max_limit = kLargeLimit;
    CHECK(WorstOf(scenario, kSeeds / 3).most_over <= 0);
  }
}

TEST(TargetLimitModel, AWholeBurstForEachHolderExceedsIt)
{
  Scenario scenario;
  scenario.rule = Rule::kBursts;
  scenario.has_pauses = true;
  scenario.max_limit = kLargeLimit;
  CHECK(WorstOf(scenario, 2).most_over > 0);
}

TEST(TargetLimitModel, HundredsOfInstancesKeepALimit)
{
  Scenario scenario;
  scenario.instances = 370;
  scenario.limited = 2;
  const Outcome worst = WorstOf(scenario, 1);
  CHECK(worst.most_over <= 0);
}

// The limit divided by the instances, with one token at each, does not hold.
TEST(TargetLimitModel, DividingTheLimitExceedsItInALargerFleet)
{
  Scenario scenario;
  scenario.rule = Rule::kDivided;
  scenario.instances = 36;
  CHECK(WorstOf(scenario, 2).most_over > 0);
}

TEST(TargetLimitModel, TheWholeLimitAtEachInstanceExceedsIt)
{
  Scenario scenario;
  scenario.rule = Rule::kWhole;
  CHECK(WorstOf(scenario, 2).most_over > 0);
}
