// A model of many instances on simulated time, before targets that a poison
// request crashes. Reports between instances are late, lost and repeated;
// instances are cut off, paused and restarted; racks of targets are lost.

#include "jujubehead/core/routing/poison_requests.hpp"

#include <algorithm> // for max, min
#include <map>       // for map
#include <random>    // for mt19937
#include <set>       // for set
#include <utility>   // for move

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for rc::check

#include "jujubehead/core/membership/hubs.hpp"              // for PlanHubs
#include "jujubehead/core/membership/poison_report_log.hpp" // for PoisonReportLog
#include "jujubehead/core/routing/placement.hpp"            // for PlacePrompt
#include "jujubehead/core/routing/probe_grants.hpp"         // for ProbeGrants

using namespace jujubehead;
using core::Duration;
using core::Instant;
using core::RequestFingerprint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kStep = milliseconds(10);
constexpr Duration kDay = seconds(40);
constexpr Duration kTargetDown = seconds(3);
/// From here on the third crash has to be known everywhere.
constexpr Duration kTimeToKnow = seconds(3);
/// Arrivals of the poison request at targets that are allowed after it.
constexpr int kAllowedLate = 3;
constexpr RequestFingerprint kPoison{ 1 };
/// Requests that each instance has in progress, beside the poison request.
constexpr int kInProgress = 3;
constexpr std::size_t kDataCentres = 4;
constexpr std::size_t kRack = 4; ///< Targets.

/// What a variant leaves out.
enum class Without : std::uint8_t
{
  kNothing,
  kExchange,    ///< Instances report nothing to each other.
  kCompletions, ///< Complete answers do not clear suspects.
  kOrder,       ///< Crashes count even if they are at the same time.
  kRecords,     ///< Neither quarantines nor crashes are recorded.
  kCrashRows,   ///< Crashes are not recorded.
  kClaims,      ///< A copy that comes after a quarantine's end is sent.
  kSeparation,  ///< Suspects are placed as all other requests.
};

struct Options
{
  Without without = Without::kNothing;
  unsigned seed = 1;
  int instances = 9;
  double loss = 0.1;        ///< Of messages.
  int shortest_pause = 200; ///< Between copies of the poison request, in ms.
  int longest_pause = 900;  ///< Between copies of the poison request, in ms.
  /// Share of the other requests that have the same content as others, as calls
  /// without a body do.
  double same_content = 0.3;
  std::size_t contents = 3; ///< Of these requests.
  bool has_poison = true;
  bool has_disturbance = true; ///< Of single instances.
  bool loses_racks = false;
  bool restarts_all = false;
  /// Of further restarts of all; 0: none.
  Duration restart_interval{};
  Duration day = kDay;
  Duration first_quarantine = core::PoisonRequestsOptions().first_quarantine;
};

struct Result
{
  int crashes = 0;
  int late = 0; ///< Arrivals of the poison request, from undisturbed senders.
  int refused_innocents = 0;
  int answered = 0;
  std::size_t quarantined_innocents = 0; ///< At the end, by content.
  std::size_t most_sent = 0;     ///< Reports sent upwards by one instance.
  std::size_t most_received = 0; ///< Reports received by one instance.
  int most_claims = 0;           ///< Writes for probes by one instance.
  int probes = 0;
};

struct Attempt
{
  RequestFingerprint fingerprint{};
  std::uint64_t prefix = 0;
  std::size_t instance = 0;
  Instant sent{};
  Instant ends{};
  int crashes_left = 0;             ///< Attempts after a crash.
  std::set<std::size_t> crashed_in; ///< Data centres.
};

struct Target
{
  core::TargetKey key{};
  std::uint64_t name_hash = 0;
  Instant up_at{};
  std::vector<Attempt> runs;
};

struct Instance
{
  core::HubPlan plan;
  core::PoisonRequests poison{ core::PoisonRequestsOptions{} };
  core::PoisonReportLog log{ core::PoisonReportLogOptions{} };
  std::map<std::string, std::uint64_t> acknowledged; ///< By receiver.
  std::map<std::string, std::uint64_t> cursors;      ///< By upstream.
  Instant disturbed_until{};
  Instant cut_until{};
  Instant paused_until{};
  Instant next_send{};
  Instant next_poll{};
  Instant reads_records_at{};
  std::vector<core::CrashReport> crashes; ///< Of its own row.
  bool has_read_crashes = true;
  std::size_t sent = 0;
  std::size_t received = 0;
  core::ProbeGrants probes;
  int claims = 0;
};

struct Message
{
  std::size_t to = 0;
  std::vector<core::PoisonReport> reports;
  core::ReportOrigin origin = core::ReportOrigin::kBelow;
};

class World
{
public:
  explicit World(const Options& aOptions)
    : m_options(aOptions)
    , m_random(aOptions.seed)
    , m_targets(static_cast<std::size_t>(2 * aOptions.instances))
  {
    std::vector<core::KnownInstance> all;
    for (int i = 0; i < aOptions.instances; ++i) {
      m_names.push_back("i" + std::to_string(i));
      all.push_back(
        { m_names.back(),
          "",
          1,
          core::DataCentreId(
            "dc" + std::to_string(i % static_cast<int>(kDataCentres))) });
    }
    for (const std::string& name : m_names) {
      m_index[name] = m_instances.size();
      m_instances.push_back(Started(core::PlanHubs(all, name)));
    }
    for (Target& target : m_targets) {
      StartTarget(target);
    }
  }

  Result Run()
  {
    const Instant end = m_now + m_options.day;
    while (m_now < end) {
      m_now += kStep;
      Disturb();
      RunTargets();
      SendRequests();
      for (std::size_t i = 0; i < m_instances.size(); ++i) {
        Exchange(i);
      }
      Deliver();
    }
    for (const Instance& one : m_instances) {
      m_result.most_sent = std::max(m_result.most_sent, one.sent);
      m_result.most_received = std::max(m_result.most_received, one.received);
      m_result.most_claims = std::max(m_result.most_claims, one.claims);
      const std::size_t poison = one.poison.QuarantinedUntil(kPoison) ? 1 : 0;
      m_result.quarantined_innocents = std::max(
        m_result.quarantined_innocents, one.poison.Quarantined() - poison);
    }
    return m_result;
  }

private:
  std::size_t Below(std::size_t aBound) { return m_random() % aBound; }
  bool Happens(double aChance)
  {
    return std::uniform_real_distribution<>(0, 1)(m_random) < aChance;
  }
  Duration Between(int aFromMs, int aToMs)
  {
    return milliseconds(
      std::uniform_int_distribution<>(aFromMs, aToMs)(m_random));
  }

  void StartTarget(Target& aTarget)
  {
    aTarget.key = core::TargetKey{ ++m_last_key };
    aTarget.name_hash = core::PlacementHash(std::to_string(m_last_key));
    aTarget.runs.clear();
  }

  [[nodiscard]] Instance Started(core::HubPlan aPlan) const
  {
    Instance instance;
    core::PoisonRequestsOptions options;
    options.first_quarantine = m_options.first_quarantine;
    instance.poison = core::PoisonRequests(options);
    instance.plan = std::move(aPlan);
    return instance;
  }

  void Restart(std::size_t aInstance)
  {
    Instance& instance = m_instances[aInstance];
    instance = Started(instance.plan);
    instance.reads_records_at = m_now + Between(100, 1000);
    instance.has_read_crashes = false;
    instance.disturbed_until = m_now + kTimeToKnow;
    for (Target& target : m_targets) {
      std::erase_if(target.runs, [&](const auto& aRun) {
        return aRun.instance == aInstance;
      });
    }
  }

  void Disturb()
  {
    if (m_options.restarts_all && (m_now == Instant{} + seconds(14) ||
                                   m_now == Instant{} + seconds(27))) {
      for (std::size_t i = 0; i < m_instances.size(); ++i) {
        Restart(i);
      }
    }
    const bool restarts_again =
      m_options.restart_interval > Duration(0) && m_now >= m_next_restart;
    if (restarts_again) {
      m_next_restart = m_now + m_options.restart_interval;
      for (std::size_t i = 0; i < m_instances.size(); ++i) {
        Restart(i);
      }
    }
    if (m_options.loses_racks && m_now >= m_next_rack) {
      m_next_rack = m_now + Between(5000, 9000);
      const std::size_t first = Below(m_targets.size());
      for (std::size_t i = first; i < first + kRack; ++i) {
        const std::size_t lost = i % m_targets.size();
        if (DataCentreOf(m_targets[lost]) == DataCentreOf(m_targets[first])) {
          m_losses.emplace(m_now + Between(0, 200), lost);
        }
      }
    }
    for (; !m_losses.empty() && m_losses.begin()->first <= m_now;
         m_losses.erase(m_losses.begin())) {
      Crash(m_targets[m_losses.begin()->second]);
    }
    if (!m_options.has_disturbance || !Happens(0.005)) {
      return;
    }
    const std::size_t chosen = Below(m_instances.size());
    Instance& instance = m_instances[chosen];
    const Instant until = m_now + Between(200, 4000);
    switch (Below(3)) {
      case 0:
        Restart(chosen);
        return;
      case 1:
        instance.cut_until = until;
        break;
      default:
        instance.paused_until = until;
        break;
    }
    instance.disturbed_until = until + kTimeToKnow;
  }

  [[nodiscard]] static core::DataCentreKey KeyOf(std::size_t aDataCentre)
  {
    return static_cast<core::DataCentreKey>(aDataCentre);
  }

  /// The targets of a rack follow each other.
  [[nodiscard]] std::size_t DataCentreOf(const Target& aTarget) const
  {
    const auto index = static_cast<std::size_t>(&aTarget - m_targets.data());
    return index * kDataCentres / m_targets.size();
  }

  void Crash(Target& aTarget)
  {
    if (aTarget.up_at > m_now) {
      return;
    }
    ++m_result.crashes;
    const std::vector<Attempt> lost = std::move(aTarget.runs);
    const core::TargetKey key = aTarget.key;
    StartTarget(aTarget);
    aTarget.up_at = m_now + kTargetDown;
    bool had_poison = false;
    for (const auto& run : lost) {
      had_poison |= run.fingerprint == kPoison;
      const Instant sent =
        m_options.without == Without::kOrder ? m_now : run.sent;
      Report(
        run.instance,
        core::CrashReport{
          run.fingerprint, key, KeyOf(DataCentreOf(aTarget)), sent, m_now });
    }
    if (had_poison && ++m_poison_crashes == 3) {
      m_third_crash = m_now;
    }
    for (auto run : lost) {
      if (run.fingerprint != kPoison && run.crashes_left-- > 0) {
        run.crashed_in.insert(DataCentreOf(aTarget));
        Send(run);
      }
    }
  }

  void RunTargets()
  {
    for (Target& target : m_targets) {
      bool crashes = false;
      std::vector<Attempt> ended;
      std::erase_if(target.runs, [&](const auto& aRun) {
        if (aRun.ends > m_now) {
          return false;
        }
        crashes |= aRun.fingerprint == kPoison;
        if (aRun.fingerprint != kPoison) {
          ended.push_back(aRun);
        }
        return aRun.fingerprint != kPoison;
      });
      for (const auto& run : ended) {
        ++m_result.answered;
        const Instance& instance = m_instances[run.instance];
        if (instance.poison.NeedsCompletion(run.fingerprint, m_now) &&
            m_options.without != Without::kCompletions) {
          Report(run.instance,
                 core::CompletionReport{ run.fingerprint, m_now });
        }
      }
      if (crashes) {
        Crash(target);
      }
    }
  }

  void SendRequests()
  {
    if (m_options.has_poison && m_now >= m_next_poison) {
      m_next_poison =
        m_now + Between(m_options.shortest_pause, m_options.longest_pause);
      Attempt run;
      run.fingerprint = kPoison;
      run.instance = Below(m_instances.size());
      Send(run);
    }
    std::vector<int> in_progress(m_instances.size(), 0);
    for (const Target& target : m_targets) {
      for (const auto& run : target.runs) {
        ++in_progress[run.instance];
      }
    }
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
      if (in_progress[i] < kInProgress) {
        Attempt run;
        run.fingerprint = RequestFingerprint{ Happens(m_options.same_content)
                                                ? 2 + Below(m_options.contents)
                                                : 100 + ++m_last_request };
        run.prefix = Below(3); // 0 is the poison request's.
        run.instance = i;
        run.crashes_left = 2;
        Send(run);
      }
    }
  }

  void Send(Attempt aRun)
  {
    Instance& instance = m_instances[aRun.instance];
    if (instance.paused_until > m_now) {
      return;
    }
    if (instance.poison.QuarantinedUntil(aRun.fingerprint) &&
        !BecomesProbe(aRun)) {
      m_result.refused_innocents += aRun.fingerprint != kPoison ? 1 : 0;
      return;
    }
    std::vector<Target*> up;
    std::vector<core::PlacementCandidate> candidates;
    for (Target& target : m_targets) {
      if (target.up_at <= m_now &&
          !aRun.crashed_in.contains(DataCentreOf(target))) {
        up.push_back(&target);
        candidates.push_back(
          { target.name_hash, static_cast<double>(target.runs.size()) });
      }
    }
    const bool is_suspect = instance.poison.CrashCount(aRun.fingerprint) > 0 &&
                            m_options.without != Without::kSeparation;
    const auto hash =
      is_suspect ? static_cast<std::uint64_t>(aRun.fingerprint) : aRun.prefix;
    const auto chosen =
      core::PlacePrompt(core::PlacementHash(std::to_string(hash)), candidates);
    if (!chosen) {
      return;
    }
    aRun.sent = m_now;
    const bool is_poison = aRun.fingerprint == kPoison;
    aRun.ends = m_now + (is_poison ? Between(40, 120) : Between(300, 1500));
    up[*chosen]->runs.push_back(aRun);
    const bool is_late =
      m_third_crash != Instant{} && m_now > m_third_crash + kTimeToKnow;
    if (is_poison && is_late && instance.disturbed_until <= m_now) {
      ++m_result.late;
    }
  }

  /// @return whether a request in quarantine is sent nevertheless.
  bool BecomesProbe(const Attempt& aRun)
  {
    Instance& instance = m_instances[aRun.instance];
    const auto next = instance.poison.NextQuarantine(aRun.fingerprint, m_now);
    if (!next || !CanExchange(instance)) {
      return false;
    }
    if (m_options.without == Without::kClaims) {
      return true;
    }
    if (!instance.probes.TryToClaim(aRun.fingerprint, m_now)) {
      return false;
    }
    ++instance.claims;
    core::Quarantine& record = m_records[aRun.fingerprint];
    if (record.until > m_now) {
      return false;
    }
    record = *next;
    instance.poison.OnRecorded(record, m_now);
    for (Instance& other : m_instances) {
      other.reads_records_at = m_now + Between(1, 1000);
    }
    const bool is_probe = instance.poison.AllowsProbe(record);
    m_result.probes += is_probe ? 1 : 0;
    return is_probe;
  }

  void Report(std::size_t aInstance, const core::PoisonReport& aReport)
  {
    Instance& instance = m_instances[aInstance];
    if (instance.paused_until > m_now) {
      return;
    }
    Apply(instance, aReport);
    instance.log.Put(aReport, core::ReportOrigin::kBelow, m_now);
    if (const auto* const crash = std::get_if<core::CrashReport>(&aReport)) {
      instance.crashes.push_back(*crash);
    }
  }

  void ReadCrashes(std::size_t aIndex)
  {
    Instance& instance = m_instances[aIndex];
    instance.has_read_crashes = true;
    for (const auto& [writer, crashes] : m_crash_rows) {
      for (const core::CrashReport& crash : crashes) {
        Apply(instance, crash);
      }
    }
    const auto& own = m_crash_rows[aIndex];
    instance.crashes.insert(instance.crashes.begin(), own.begin(), own.end());
  }

  void WriteCrashes(std::size_t aIndex)
  {
    const Instance& instance = m_instances[aIndex];
    const bool are_recorded = m_options.without != Without::kCrashRows &&
                              m_options.without != Without::kRecords;
    if (are_recorded && instance.has_read_crashes && CanExchange(instance)) {
      m_crash_rows[aIndex] = instance.crashes;
    }
  }

  void Apply(Instance& aInstance, const core::PoisonReport& aReport)
  {
    if (const auto* const one = std::get_if<core::CompletionReport>(&aReport)) {
      std::erase_if(aInstance.crashes, [one](const auto& aCrash) {
        return aCrash.fingerprint == one->fingerprint &&
               aCrash.crashed <= one->completed;
      });
    }
    const auto outcome = aInstance.poison.OnReport(aReport, m_now);
    if (outcome.quarantine && m_options.without != Without::kRecords) {
      Record(*outcome.quarantine);
    }
  }

  /// The first write has effect, and that of a release.
  void Record(const core::Quarantine& aQuarantine)
  {
    core::Quarantine& record = m_records[aQuarantine.fingerprint];
    if (aQuarantine.IsReleased() || aQuarantine.count > record.count ||
        record.IsReleased()) {
      record = aQuarantine;
    }
  }

  /// The transit of a report is not known.
  static void ShiftTimes(core::PoisonReport& aReport, Duration aError)
  {
    if (auto* const crash = std::get_if<core::CrashReport>(&aReport)) {
      crash->sent += aError;
      crash->crashed += aError;
    } else {
      std::get<core::CompletionReport>(aReport).completed -= aError;
    }
  }

  void Receive(std::size_t aInstance,
               const std::vector<core::PoisonReport>& aReports,
               core::ReportOrigin aOrigin)
  {
    Instance& instance = m_instances[aInstance];
    const Duration error = Between(0, 30);
    for (core::PoisonReport report : aReports) {
      ++instance.received;
      ShiftTimes(report, error);
      if (instance.log.Put(report, aOrigin, m_now)) {
        Apply(instance, report);
      }
    }
  }

  bool CanExchange(const Instance& aInstance) const
  {
    return aInstance.cut_until <= m_now && aInstance.paused_until <= m_now;
  }

  void Exchange(std::size_t aIndex)
  {
    Instance& instance = m_instances[aIndex];
    if (instance.reads_records_at != Instant{} &&
        m_now >= instance.reads_records_at) {
      instance.reads_records_at = {};
      for (const auto& entry : m_records) {
        instance.poison.OnRecorded(entry.second, m_now);
      }
      if (!instance.has_read_crashes) {
        ReadCrashes(aIndex);
      }
    }
    WriteCrashes(aIndex);
    if (m_options.without == Without::kExchange || !CanExchange(instance)) {
      return;
    }
    const auto& upstreams = instance.plan.upstreams;
    if (m_now >= instance.next_send) {
      const bool has_failed = SendUp(instance);
      instance.next_send = m_now + (has_failed ? milliseconds(300) : kStep);
    }
    if (!upstreams.empty() && m_now >= instance.next_poll) {
      instance.next_poll = m_now + milliseconds(220);
      Poll(aIndex, upstreams[m_failures % upstreams.size()].id);
    }
  }

  bool SendUp(Instance& aInstance)
  {
    const bool is_reader = aInstance.plan.upstreams.empty();
    std::vector<core::KnownInstance> receivers = aInstance.plan.other_readers;
    if (!is_reader) {
      const auto& upstreams = aInstance.plan.upstreams;
      receivers = { upstreams[m_failures % upstreams.size()] };
    }
    bool has_failed = false;
    for (const core::KnownInstance& receiver : receivers) {
      std::uint64_t& position =
        aInstance.acknowledged[is_reader ? receiver.id : "upstream"];
      const auto page = aInstance.log.After(position, true);
      if (page.reports.empty()) {
        position = page.next;
        continue;
      }
      aInstance.sent += page.reports.size();
      const std::size_t to = m_index.at(receiver.id);
      const bool arrives =
        !Happens(m_options.loss) && CanExchange(m_instances[to]);
      if (arrives) {
        m_messages.emplace(m_now + Between(1, 100),
                           Message{ to,
                                    page.reports,
                                    is_reader ? core::ReportOrigin::kPeer
                                              : core::ReportOrigin::kBelow });
      }
      if (arrives && !Happens(m_options.loss)) {
        position = page.next;
      } else {
        has_failed = true;
        ++m_failures;
      }
    }
    return has_failed;
  }

  void Poll(std::size_t aIndex, const std::string& aHub)
  {
    Instance& instance = m_instances[aIndex];
    const Instance& hub = m_instances[m_index.at(aHub)];
    if (Happens(m_options.loss) || !CanExchange(hub)) {
      ++m_failures;
      return;
    }
    const auto page = hub.log.After(instance.cursors[aHub], false);
    instance.cursors[aHub] = page.next;
    Receive(aIndex, page.reports, core::ReportOrigin::kPeer);
  }

  void Deliver()
  {
    while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
      const Message message = m_messages.begin()->second;
      m_messages.erase(m_messages.begin());
      if (CanExchange(m_instances[message.to])) {
        Receive(message.to, message.reports, message.origin);
      }
    }
  }

  Options m_options;
  std::mt19937 m_random;
  Instant m_now{};
  std::vector<std::string> m_names;
  std::map<std::string, std::size_t> m_index;
  std::vector<Instance> m_instances;
  std::vector<Target> m_targets;
  std::multimap<Instant, Message> m_messages;
  std::map<RequestFingerprint, core::Quarantine> m_records;
  std::map<std::size_t, std::vector<core::CrashReport>> m_crash_rows;
  Instant m_next_poison{ seconds(2) };
  Instant m_next_rack{ seconds(2) };
  Instant m_next_restart{ seconds(4) };
  std::multimap<Instant, std::size_t> m_losses; ///< Of a rack's targets.
  Instant m_third_crash{};
  int m_poison_crashes = 0;
  std::uint64_t m_last_request = 0;
  unsigned m_last_key = 0;
  std::size_t m_failures = 0;
  Result m_result;
};

Result
RunDay(const Options& aOptions)
{
  return World(aOptions).Run();
}

/// @return the sums over several seeds.
Result
SumOf(Options aOptions)
{
  constexpr unsigned kSeeds = 10;
  Result sum;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    aOptions.seed = seed;
    const Result one = RunDay(aOptions);
    sum.crashes += one.crashes;
    sum.late += one.late;
    sum.refused_innocents += one.refused_innocents;
    sum.answered += one.answered;
    sum.quarantined_innocents += one.quarantined_innocents;
    sum.most_sent += one.most_sent;
    sum.most_received += one.most_received;
  }
  return sum;
}

} // namespace

TEST_GROUP(PoisonRequestsModel){};

TEST(PoisonRequestsModel, AfterThreeCrashesNoInstanceThatCouldKnowSendsIt)
{
  CHECK(rc::check("quarantined", [] {
    Options options;
    options.seed = *rc::gen::arbitrary<unsigned>();
    options.instances = *rc::gen::inRange(2, 40);
    options.loss = *rc::gen::element(0.0, 0.1, 0.3);
    options.restarts_all = *rc::gen::arbitrary<bool>();
    options.shortest_pause = *rc::gen::element(20, 200);
    options.longest_pause =
      options.shortest_pause + *rc::gen::element(40, 700, 3800);
    const Result day = RunDay(options);
    RC_ASSERT(day.late <= kAllowedLate);
    RC_ASSERT(day.answered > 0);
  }));
}

// Each instance sends the next copy of a poison request when its quarantine
// ends, so that a fleet crashes as many targets as it has instances.
TEST(PoisonRequestsModel, AQuarantineThatEndsCostsFewTargetsInAnyFleet)
{
  Options options;
  options.day = std::chrono::minutes(8); // Beyond the second quarantine.
  options.shortest_pause = 20;
  options.longest_pause = 60;
  options.has_disturbance = false;
  constexpr int kEnds = 2; // Of quarantines.
  for (const int instances : { 9, 18, 36 }) {
    options.instances = instances;
    options.without = Without::kNothing;
    const Result day = RunDay(options);
    CHECK(day.late <= kAllowedLate);
    LONGS_EQUAL(kEnds, day.probes);
    CHECK(day.most_claims <= kEnds);
    options.without = Without::kClaims;
    CHECK(RunDay(options).late > kAllowedLate);
  }
}

// Reports are late, and instances restart, pause and are cut off around the end
// of each quarantine, or all restart at once.
TEST(PoisonRequestsModel, OverSeveralQuarantinesItIsSentToFewTargets)
{
  CHECK(rc::check("probes", [] {
    Options options;
    options.seed = *rc::gen::arbitrary<unsigned>();
    options.instances = *rc::gen::inRange(2, 20);
    options.loss = *rc::gen::element(0.0, 0.1, 0.3);
    options.restarts_all = *rc::gen::arbitrary<bool>();
    options.shortest_pause = *rc::gen::element(20, 200);
    options.longest_pause = options.shortest_pause + 400;
    options.first_quarantine = seconds(3);
    options.day = seconds(150);
    RC_ASSERT(RunDay(options).late <= kAllowedLate);
  }));
}

// The crashes of a request were counted in memory only, so that each loss of
// all instances between them allowed as many again.
TEST(PoisonRequestsModel, LossesOfAllInstancesForgetNoCrash)
{
  Options options;
  options.shortest_pause = 1700;
  options.longest_pause = 1900;
  options.day = seconds(120);
  options.first_quarantine = std::chrono::minutes(10);
  int most_forgotten = 0;
  for (const int instances : { 3, 9, 36 }) {
    for (const Duration interval : { milliseconds(4000), milliseconds(7000) }) {
      options.instances = instances;
      options.restart_interval = interval;
      options.without = Without::kNothing;
      CHECK(RunDay(options).late <= kAllowedLate);
      options.without = Without::kCrashRows;
      most_forgotten = std::max(most_forgotten, RunDay(options).late);
    }
  }
  CHECK(most_forgotten > kAllowedLate);
}

// Targets that are lost by other causes must not make their requests suspects
// for long, whatever their content.
TEST(PoisonRequestsModel, WithoutAPoisonRequestNothingIsRefused)
{
  CHECK(rc::check("innocent", [] {
    Options options;
    options.seed = *rc::gen::arbitrary<unsigned>();
    options.instances = *rc::gen::inRange(4, 40);
    options.has_poison = false;
    options.loses_racks = true;
    RC_ASSERT(RunDay(options).refused_innocents == 0);
  }));
}

TEST(PoisonRequestsModel, WithoutReportsEachInstanceLearnsForItself)
{
  Options options;
  options.without = Without::kExchange;
  CHECK(SumOf(options).late > 10 * kAllowedLate);
}

TEST(PoisonRequestsModel, WithoutRecordsARestartOfAllForgets)
{
  Options options;
  options.restarts_all = true;
  options.longest_pause = 4000;
  const Result recorded = SumOf(options);
  options.without = Without::kRecords;
  CHECK(SumOf(options).late > recorded.late + 10);
}

TEST(PoisonRequestsModel, WithoutCompletionsInnocentRequestsAreRefused)
{
  Options options;
  options.without = Without::kCompletions;
  options.has_poison = false;
  options.loses_racks = true;
  CHECK(SumOf(options).refused_innocents > 0);
}

TEST(PoisonRequestsModel, CountingCrashesAtTheSameTimeRefusesInnocentRequests)
{
  Options options;
  options.same_content = 0.9;
  options.contents = 1;
  options.has_poison = false;
  options.loses_racks = true;
  LONGS_EQUAL(0, SumOf(options).refused_innocents);
  options.without = Without::kOrder;
  CHECK(SumOf(options).refused_innocents > 0);
}

TEST(PoisonRequestsModel, PlacedTogetherOtherRequestsCrashWithThePoisonRequest)
{
  Options options;
  options.same_content = 0;
  options.longest_pause = 250;
  const std::size_t apart = SumOf(options).quarantined_innocents;
  options.without = Without::kSeparation;
  const std::size_t together = SumOf(options).quarantined_innocents;
  CHECK(together > 3 * apart);
}

// What an instance sends and receives must not grow with the fleet.
TEST(PoisonRequestsModel, ReportsOfAnInstanceDoNotGrowWithTheFleet)
{
  Options options;
  options.has_disturbance = false;
  options.loss = 0;
  double last = 0;
  for (const int instances : { 40, 80, 160 }) {
    options.instances = instances;
    const Result day = SumOf(options);
    const double received =
      static_cast<double>(day.most_received) / static_cast<double>(day.crashes);
    CHECK(last == 0 || received < 1.5 * last);
    last = received;
  }
}
