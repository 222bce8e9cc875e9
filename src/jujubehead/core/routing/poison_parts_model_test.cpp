// All instances and all model targets in simulated time. No two requests are
// alike, but one part of some prompts crashes each target that begins to answer
// it, with dozens of sound requests on board, of several instances.

#include <algorithm> // for any_of, max, min
#include <cstddef>   // for size_t
#include <map>       // for map, multimap
#include <optional>  // for optional
#include <random>    // for mt19937
#include <set>       // for set
#include <vector>    // for vector

#include <CppUTest/TestHarness.h> // for TEST

#include "jujubehead/core/routing/poison_requests.hpp" // for PoisonRequests

using namespace jujubehead::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kStep = milliseconds(10);
constexpr Duration kDay = seconds(40);
constexpr Duration kPoisonFrom = seconds(5);
/// From the fifth crash on; instances that were disturbed in it are excused.
constexpr Duration kTimeToDetect = seconds(3);
constexpr int kCrashesToDetect = 5;
constexpr int kAllowedAfter = 3;
/// Share of sound requests of the same first part that begin at once.
constexpr double kLeastShare = 0.5;
constexpr int kRequestsPerTarget = 8; ///< In a second.
constexpr double kPoisonPerSecond = 2.5;
constexpr std::size_t kDataCentres = 4;
constexpr int kFirstParts = 12;
constexpr int kSecondParts = 600;
/// Ids: first parts from 1, second ones, bad ones, then those of one request.
constexpr std::uint64_t kSecondPart = 1000;
constexpr std::uint64_t kBadPart = 5000;
constexpr std::uint64_t kOwnPart = 10000;
constexpr int kBadFirstPart = 3; ///< Of the requests with a bad second part.
constexpr int kMaxTargets = 2;   ///< Of one request at an instance.
constexpr unsigned kSeeds = 30;

enum class Rule
{
  kParts,         ///< As built.
  kWholeRequests, ///< Parts are not reported.
  kAllParts,      ///< All parts of three crashes are blamed.
  kAlone,         ///< Instances report nothing to each other.
};

struct Scenario
{
  std::size_t instances = 9;
  Rule rule = Rule::kParts;
  std::uint64_t bad_parts = 1;
  double per_second = kPoisonPerSecond; ///< Requests with each of these.
  bool is_first_part = false;           ///< The bad one.
  bool has_other_crashes = false;
  bool has_rolls = false;    ///< Of targets.
  bool restarts_all = false; ///< Instances, twice.
  bool has_store = true;
  Duration first_quarantine = seconds(60);
};

struct Outcome
{
  int crashes = 0;             ///< Under bad parts.
  int late = 0;                ///< Arrivals of one bad part that are too late.
  double share = 1;            ///< See kLeastShare.
  std::size_t quarantined = 0; ///< Sound parts, at one instance.
  std::size_t reports = 0;     ///< Received by one instance, a crash.
};

struct Request
{
  std::size_t instance = 0;
  std::size_t process = 0;
  std::vector<std::uint64_t> parts;
  std::uint64_t bad = 0; ///< Part that crashes its targets; 0: sound.
  Instant sent{};
  Instant ends{};
  int targets = 0; ///< To which it was sent, at this instance.
  int tries = 0;   ///< Of its caller.
};

class World
{
public:
  World(const Scenario& aScenario, unsigned aSeed)
    : m_scenario(aScenario)
    , m_random(aSeed)
    , m_targets(2 * aScenario.instances)
  {
    for (Target& target : m_targets) {
      target.key = TargetKey{ ++m_last_key };
    }
    for (std::size_t i = 0; i < aScenario.instances; ++i) {
      m_instances.push_back({ Started(), 1, {}, {}, {} });
    }
  }

  Outcome Run()
  {
    const double usual = kRequestsPerTarget * double(m_targets.size());
    while (m_now < kBegin + kDay) {
      m_now += kStep;
      Disturb();
      Deliver();
      for (std::size_t i = 0; i < m_targets.size(); ++i) {
        Progress(i);
      }
      ReturnCallers();
      for (std::size_t n = Arrivals(usual); n > 0; --n) {
        Call(Sound());
      }
      for (std::uint64_t bad = 0; bad < m_scenario.bad_parts; ++bad) {
        if (m_now >= kBegin + kPoisonFrom) {
          for (std::size_t n = Arrivals(m_scenario.per_second); n > 0; --n) {
            Call(Bad(kBadPart + bad));
          }
        }
      }
    }
    Conclude();
    return m_outcome;
  }

private:
  static constexpr Instant kBegin{ std::chrono::hours(1) };

  struct Instance
  {
    PoisonRequests poison;
    std::size_t process = 0;
    Instant disturbed_until{};
    std::optional<Instant> reads_rows_at;                ///< After a restart.
    std::map<std::uint64_t, std::set<TargetKey>> blamed; ///< Rule::kAllParts.
    std::size_t received = 0;
  };
  struct Target
  {
    TargetKey key{};
    Instant up_at{};
    std::vector<Request> runs;
  };
  struct Message
  {
    std::size_t to = 0;
    std::size_t process = 0;
    std::vector<PoisonReport> reports;
  };

  [[nodiscard]] PoisonRequests Started() const
  {
    PoisonRequestsOptions options;
    options.first_quarantine = m_scenario.first_quarantine;
    return PoisonRequests(options);
  }
  std::size_t Below(std::size_t aBound) { return m_random() % aBound; }
  Duration Between(int aFromMs, int aToMs)
  {
    return milliseconds(
      std::uniform_int_distribution<>(aFromMs, aToMs)(m_random));
  }
  std::size_t Arrivals(double aPerSecond)
  {
    const double steps = double(kStep.count()) / Duration(seconds(1)).count();
    return std::poisson_distribution<std::size_t>(aPerSecond * steps)(m_random);
  }

  Request Sound()
  {
    Request request;
    const std::uint64_t second = Below(kSecondParts);
    request.parts = { 1 + second % kFirstParts,
                      kSecondPart + second,
                      kOwnPart + ++m_last_own };
    return request;
  }
  Request Bad(std::uint64_t aPart)
  {
    Request request = Sound();
    request.bad = aPart;
    if (m_scenario.is_first_part) {
      request.parts[0] = aPart;
    } else {
      request.parts[0] = kBadFirstPart;
      request.parts[1] = aPart;
    }
    return request;
  }
  static RequestFingerprint KeyOf(std::uint64_t aPart)
  {
    return static_cast<RequestFingerprint>(aPart);
  }

  [[nodiscard]] std::optional<std::uint64_t> QuarantinedPart(
    const Request& aRequest)
  {
    Instance& instance = m_instances[aRequest.instance];
    if (m_scenario.rule == Rule::kAllParts) {
      for (std::size_t i = 0; i + 1 < aRequest.parts.size(); ++i) {
        if (instance.blamed[aRequest.parts[i]].size() >= 3) {
          return aRequest.parts[i];
        }
      }
      return std::nullopt;
    }
    for (const Quarantine& begun : instance.poison.Decide(m_now)) {
      Record(begun);
    }
    for (const std::uint64_t part : aRequest.parts) {
      if (instance.poison.QuarantinedUntil(KeyOf(part))) {
        return part;
      }
    }
    return std::nullopt;
  }
  /// The row reaches all instances.
  void Record(const Quarantine& aBegun)
  {
    if (!m_scenario.has_store) {
      return;
    }
    auto [row, is_new] = m_rows.try_emplace(aBegun.fingerprint, aBegun);
    if (!is_new && row->second.count >= aBegun.count) {
      return;
    }
    row->second = aBegun;
    m_row_updates.emplace(m_now + Between(300, 1200), aBegun);
  }

  /// A caller's try.
  void Call(Request aRequest)
  {
    aRequest.instance = Below(m_instances.size());
    aRequest.process = m_instances[aRequest.instance].process;
    aRequest.targets = 0;
    ++aRequest.tries;
    const bool begins = Send(aRequest);
    if (aRequest.bad == 0 && aRequest.tries == 1 &&
        aRequest.parts[0] == kBadFirstPart) {
      m_firsts.emplace(m_now, begins);
    }
  }
  bool Send(Request aRequest)
  {
    const auto part = QuarantinedPart(aRequest);
    const bool is_probe =
      part && aRequest.targets == 0 && ClaimsProbe(aRequest, *part);
    if (part && !is_probe) {
      return false;
    }
    for (int i = 0; i < 20; ++i) {
      // Requests that share the second part mostly go to the same target.
      const std::size_t index = i == 0 && aRequest.targets == 0 && Below(10) < 7
                                  ? aRequest.parts[1] % m_targets.size()
                                  : Below(m_targets.size());
      Target& target = m_targets[index];
      if (target.up_at > m_now) {
        continue;
      }
      ++aRequest.targets;
      aRequest.sent = m_now;
      const Duration begins = Between(20, 300);
      aRequest.ends =
        m_now + begins +
        (aRequest.bad != 0 ? Between(50, 150) : Between(200, 1500));
      CountArrival(aRequest);
      target.runs.push_back(std::move(aRequest));
      return true;
    }
    return false;
  }
  bool ClaimsProbe(const Request& aRequest, std::uint64_t aPart)
  {
    PoisonRequests& poison = m_instances[aRequest.instance].poison;
    const auto next = poison.NextQuarantine(KeyOf(aPart), m_now);
    const auto row = m_rows.find(KeyOf(aPart));
    if (!next || !m_scenario.has_store || row == m_rows.end() ||
        row->second.count >= next->count) {
      return false;
    }
    Record(*next);
    poison.OnRecorded(*next, m_now);
    return poison.AllowsProbe(*next);
  }
  void CountArrival(const Request& aRequest)
  {
    if (aRequest.bad == 0) {
      return;
    }
    const std::vector<Instant>& crashes = m_crashes[aRequest.bad];
    const bool is_late =
      crashes.size() >= kCrashesToDetect &&
      m_now > crashes[kCrashesToDetect - 1] + kTimeToDetect &&
      m_instances[aRequest.instance].disturbed_until <= m_now;
    m_late[aRequest.bad] += is_late ? 1 : 0;
  }

  void Progress(std::size_t aTarget)
  {
    Target& target = m_targets[aTarget];
    std::uint64_t bad = 0;
    std::vector<Request> answered;
    std::erase_if(target.runs, [&](const Request& aRun) {
      if (aRun.ends > m_now) {
        return false;
      }
      bad = aRun.bad != 0 ? aRun.bad : bad;
      if (aRun.bad == 0) {
        answered.push_back(aRun);
      }
      return aRun.bad == 0;
    });
    for (const Request& run : answered) {
      OnAnswered(run);
    }
    if (bad != 0) {
      m_crashes[bad].push_back(m_now);
      ++m_outcome.crashes;
      Crash(aTarget);
    }
  }
  void OnAnswered(const Request& aRun)
  {
    Instance& instance = m_instances[aRun.instance];
    if (instance.process != aRun.process) {
      return;
    }
    std::vector<PoisonReport> reports;
    for (const std::uint64_t part : aRun.parts) {
      if (instance.poison.NeedsCompletion(KeyOf(part), m_now)) {
        reports.emplace_back(CompletionReport{ KeyOf(part), m_now });
      }
    }
    Report(aRun.instance, reports);
  }
  void Crash(std::size_t aTarget)
  {
    Target& target = m_targets[aTarget];
    const auto data_centre =
      static_cast<DataCentreKey>(aTarget * kDataCentres / m_targets.size());
    std::vector<Request> lost;
    lost.swap(target.runs);
    const TargetKey key = target.key;
    target.key = TargetKey{ ++m_last_key };
    target.up_at = m_now + Between(3000, 4000);
    std::map<std::size_t, std::vector<PoisonReport>> reports;
    for (const Request& run : lost) {
      if (m_instances[run.instance].process != run.process) {
        continue;
      }
      for (std::size_t i = 0; i < run.parts.size(); ++i) {
        const bool is_own = i + 1 == run.parts.size();
        if (m_scenario.rule == Rule::kWholeRequests && !is_own) {
          continue;
        }
        const auto depth = is_own ? 0 : static_cast<std::uint32_t>(i + 1);
        reports[run.instance].emplace_back(CrashReport{
          KeyOf(run.parts[i]), key, data_centre, run.sent, m_now, depth });
      }
    }
    for (const auto& [instance, own] : reports) {
      Report(instance, own);
    }
    for (Request& run : lost) {
      const Instance& instance = m_instances[run.instance];
      const bool may_crash_more = std::any_of(
        run.parts.begin(), run.parts.end() - 1, [&](std::uint64_t aPart) {
          return instance.poison.UnexplainedCrashes(KeyOf(aPart)) > 1;
        });
      const bool may_resend = instance.process == run.process &&
                              run.targets < kMaxTargets && !may_crash_more;
      if (may_resend && Send(run)) {
        continue;
      }
      if (run.tries < 2) {
        m_returning.emplace(m_now + Between(50, 400), run);
      }
    }
  }
  void ReturnCallers()
  {
    while (!m_returning.empty() && m_returning.begin()->first <= m_now) {
      const Request request = m_returning.begin()->second;
      m_returning.erase(m_returning.begin());
      Call(request);
    }
  }

  /// Applies the reports here and sends them to all others; a tenth of the
  /// messages are lost and sent again.
  void Report(std::size_t aFrom, const std::vector<PoisonReport>& aReports)
  {
    std::vector<PoisonReport> fresh;
    for (const PoisonReport& report : aReports) {
      if (Apply(aFrom, report)) {
        fresh.push_back(report);
      }
    }
    if (fresh.empty() || m_scenario.rule == Rule::kAlone) {
      return;
    }
    m_log.insert(m_log.end(), fresh.begin(), fresh.end());
    const int longest = m_instances.size() > 40 ? 600 : 350;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
      if (i != aFrom) {
        const Duration again = Below(10) == 0 ? milliseconds(300) : Duration(0);
        m_messages.emplace(m_now + again + Between(5, longest),
                           Message{ i, m_instances[i].process, fresh });
      }
    }
  }
  bool Apply(std::size_t aAt, const PoisonReport& aReport)
  {
    Instance& instance = m_instances[aAt];
    if (const auto* const crash = std::get_if<CrashReport>(&aReport)) {
      instance.blamed[std::uint64_t(crash->fingerprint)].insert(crash->target);
    }
    const auto outcome = instance.poison.OnReport(aReport, m_now);
    if (outcome.quarantine && !outcome.quarantine->IsReleased()) {
      Record(*outcome.quarantine);
    }
    return outcome.is_new;
  }
  void Deliver()
  {
    for (; !m_messages.empty() && m_messages.begin()->first <= m_now;
         m_messages.erase(m_messages.begin())) {
      const Message& message = m_messages.begin()->second;
      Instance& to = m_instances[message.to];
      if (to.process != message.process) {
        continue;
      }
      to.received += message.reports.size();
      const Duration transit = Between(0, 50);
      for (PoisonReport report : message.reports) {
        if (auto* const crash = std::get_if<CrashReport>(&report)) {
          crash->sent += transit;
          crash->crashed += transit;
        } else {
          std::get<CompletionReport>(report).completed -= transit;
        }
        Apply(message.to, report);
      }
    }
    for (; !m_row_updates.empty() && m_row_updates.begin()->first <= m_now;
         m_row_updates.erase(m_row_updates.begin())) {
      for (Instance& one : m_instances) {
        one.poison.OnRecorded(m_row_updates.begin()->second, m_now);
      }
    }
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
      ReadRows(i);
    }
  }
  void ReadRows(std::size_t aInstance)
  {
    Instance& instance = m_instances[aInstance];
    if (!instance.reads_rows_at || *instance.reads_rows_at > m_now) {
      return;
    }
    instance.reads_rows_at.reset();
    for (const auto& [fingerprint, row] : m_rows) {
      instance.poison.OnRecorded(row, m_now);
    }
    for (const PoisonReport& report : m_log) {
      Apply(aInstance, report);
    }
  }

  void Restart(std::size_t aInstance)
  {
    Instance& instance = m_instances[aInstance];
    instance.poison = Started();
    instance.blamed.clear();
    ++instance.process;
    instance.reads_rows_at = m_now + Between(100, 1000);
    instance.disturbed_until = m_now + kTimeToDetect;
  }
  void Disturb()
  {
    const Duration at = m_now - kBegin;
    if (m_scenario.restarts_all && (at == seconds(6) || at == seconds(14))) {
      m_log.clear();
      for (std::size_t i = 0; i < m_instances.size(); ++i) {
        Restart(i);
      }
    }
    if (m_scenario.has_rolls && at % milliseconds(500) == Duration(0)) {
      Target& target = m_targets[m_next_roll++ % m_targets.size()];
      if (target.runs.empty()) {
        target.key = TargetKey{ ++m_last_key };
      }
    }
    if (!m_scenario.has_other_crashes) {
      return;
    }
    const bool is_wave = at % seconds(4) == Duration(0);
    const bool is_kill = at % seconds(2) == Duration(0);
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
      const bool ends =
        (is_wave && Below(4) == 0) || (is_kill && Below(m_targets.size()) == 0);
      if (ends && m_targets[i].up_at <= m_now) {
        Crash(i);
      }
    }
  }

  void Conclude()
  {
    Instant fifth = Instant::min();
    for (const auto& [bad, crashes] : m_crashes) {
      m_outcome.late = std::max(m_outcome.late, m_late[bad]);
      const std::size_t last =
        std::min<std::size_t>(crashes.size(), kCrashesToDetect);
      fifth = std::max(fifth, crashes[last - 1]);
    }
    int all = 0;
    int begun = 0;
    for (auto at = m_firsts.upper_bound(fifth + 2 * kTimeToDetect);
         at != m_firsts.end();
         ++at) {
      ++all;
      begun += at->second ? 1 : 0;
    }
    m_outcome.share = all > 0 ? double(begun) / all : 1;
    for (const Instance& one : m_instances) {
      std::size_t sound = 0;
      for (std::uint64_t part = 1; part < kBadPart; ++part) {
        sound += one.poison.QuarantinedUntil(KeyOf(part)) ? 1 : 0;
      }
      m_outcome.quarantined = std::max(m_outcome.quarantined, sound);
      m_outcome.reports =
        std::max(m_outcome.reports,
                 one.received / std::size_t(std::max(m_outcome.crashes, 1)));
    }
  }

  const Scenario& m_scenario;
  std::mt19937 m_random;
  std::vector<Target> m_targets;
  std::vector<Instance> m_instances;
  Instant m_now = kBegin;
  std::uint32_t m_last_key = 0;
  std::uint64_t m_last_own = 0;
  std::size_t m_next_roll = 0;
  std::vector<PoisonReport> m_log; ///< What instances that start are sent.
  std::multimap<Instant, Message> m_messages;
  std::multimap<Instant, Request> m_returning;
  std::map<RequestFingerprint, Quarantine> m_rows; ///< Of the shared table.
  std::multimap<Instant, Quarantine> m_row_updates;
  std::map<std::uint64_t, std::vector<Instant>> m_crashes; ///< By bad part.
  std::map<std::uint64_t, int> m_late;
  std::multimap<Instant, bool> m_firsts; ///< Whether first tries began.
  Outcome m_outcome;
};

/// @return the worst of each figure over all seeds.
Outcome
WorstOf(const Scenario& aScenario, unsigned aSeeds)
{
  Outcome worst;
  for (unsigned seed = 1; seed <= aSeeds; ++seed) {
    const Outcome one = World(aScenario, seed).Run();
    worst.crashes = std::max(worst.crashes, one.crashes);
    worst.late = std::max(worst.late, one.late);
    worst.share = std::min(worst.share, one.share);
    worst.quarantined = std::max(worst.quarantined, one.quarantined);
    worst.reports = std::max(worst.reports, one.reports);
  }
  return worst;
}

void
CheckHolds(const Scenario& aScenario, unsigned aSeeds)
{
  const Outcome worst = WorstOf(aScenario, aSeeds);
  CHECK(worst.late <= kAllowedAfter);
  CHECK(worst.share >= kLeastShare);
}

} // namespace

TEST_GROUP(PoisonPartsModel){};

// Nobody sends the same request twice, so whole requests say nothing.
TEST(PoisonPartsModel, APartThatCrashesItsTargetsIsSentToNoMore)
{
  for (const std::size_t instances : { 9UL, 18UL, 36UL }) {
    Scenario scenario;
    scenario.instances = instances;
    CheckHolds(scenario, kSeeds * 9 / static_cast<unsigned>(instances));
  }
}

TEST(PoisonPartsModel, SoItIsAmongHundredsOfInstances)
{
  Scenario scenario;
  scenario.instances = 148;
  CheckHolds(scenario, 2);
}

TEST(PoisonPartsModel, SoIsAFirstPart)
{
  Scenario scenario;
  scenario.is_first_part = true;
  CheckHolds(scenario, kSeeds);
}

// The second part's crashes are not those of the first.
TEST(PoisonPartsModel, SoAreTwoParts)
{
  Scenario scenario;
  scenario.instances = 18;
  scenario.bad_parts = 2;
  CheckHolds(scenario, kSeeds);
  scenario.instances = 9;
  scenario.per_second = kPoisonPerSecond / 2;
  CheckHolds(scenario, kSeeds);
}

// Sound parts are on board of crashes that have nothing to do with them.
TEST(PoisonPartsModel, SoItIsBesideOtherCrashesAndRolls)
{
  Scenario scenario;
  scenario.has_other_crashes = true;
  scenario.has_rolls = true;
  CheckHolds(scenario, kSeeds);
}

TEST(PoisonPartsModel, SoItIsWithoutTheSharedTable)
{
  Scenario scenario;
  scenario.has_store = false;
  CheckHolds(scenario, kSeeds);
}

TEST(PoisonPartsModel, SoItIsOverRestartsOfAllInstances)
{
  Scenario scenario;
  scenario.restarts_all = true;
  CheckHolds(scenario, 4 * kSeeds);
}

// Probes at the end of a quarantine count as well.
TEST(PoisonPartsModel, SoItIsBeyondItsFirstQuarantines)
{
  Scenario scenario;
  scenario.first_quarantine = seconds(6);
  CheckHolds(scenario, kSeeds);
}

TEST(PoisonPartsModel, WholeRequestsAloneFindNoPart)
{
  Scenario scenario;
  scenario.rule = Rule::kWholeRequests;
  CHECK(WorstOf(scenario, 2).late > kAllowedAfter);
}

TEST(PoisonPartsModel, BlamingAllPartsOfACrashRefusesSoundRequests)
{
  Scenario scenario;
  scenario.rule = Rule::kAllParts;
  CHECK(WorstOf(scenario, 2).share < kLeastShare);
}

// Each instance would have to see the crashes itself.
TEST(PoisonPartsModel, OneInstancesViewIsNotEnough)
{
  Scenario scenario;
  scenario.rule = Rule::kAlone;
  scenario.instances = 36;
  CHECK(WorstOf(scenario, 5).late > kAllowedAfter);
}
