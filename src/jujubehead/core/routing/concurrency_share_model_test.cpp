#include <algorithm> // for max, min
#include <cstddef>   // for size_t
#include <deque>     // for deque
#include <map>       // for multimap
#include <memory>    // for make_shared
#include <optional>  // for optional
#include <random>    // for mt19937
#include <span>      // for span
#include <string>    // for string, to_string
#include <vector>    // for vector

#include <CppUTest/TestHarness.h> // for TEST

#include "jujubehead/core/membership/holder_ring.hpp"    // for HolderRing
#include "jujubehead/core/routing/concurrency_share.hpp" // for ConcurrencyShare
#include "jujubehead/core/routing/load_estimate.hpp"     // for LoadEstimate
#include "jujubehead/core/routing/placement.hpp"         // for PlacementHash

// All instances and all brittle targets of a service in simulated time: targets
// use no queue any more, stop for a second and fall over, callers give up, come
// back at once and arrive in bursts, instances restart and are replaced.

using namespace jujubehead::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kStep = milliseconds(20);
constexpr std::size_t kSecond = seconds(1) / kStep; ///< In steps.
constexpr std::size_t kSteps = 40 * kSecond;
constexpr std::size_t kBrittleFrom = 5 * kSecond;
/// From the first reply that says so; then the targets' queues are used up.
constexpr std::size_t kSettleSteps = 3 * kSecond;
constexpr std::size_t kMaxViewSteps = 6 * kSecond;
constexpr std::size_t kJoinSteps = 10 * kSecond;
constexpr std::size_t kMaxLinger = BrittleSignal::kMaxLinger / kStep;
constexpr std::size_t kDownSteps = 3 * kSecond;
/// Time that a process takes to start again.
constexpr std::size_t kMinStart = kSecond / 2;
constexpr std::size_t kMaxStart = 3 * kSecond;
constexpr std::size_t kTargets = 18;
constexpr std::size_t kQueue = 30;
constexpr std::size_t kMaxRejections = 4; ///< In a second.
/// Falls in one such time, beside a tenth of the targets.
constexpr std::size_t kAllowedFalls = 2;
/// Requests that arrive, of those that the slots can run.
constexpr double kUsualLoad = 0.9;
constexpr double kBurst = 4;
constexpr double kLeastUsed = 0.5;
constexpr std::uint64_t kMaxTokens = 30000;
/// Of the users' prompts with their output.
constexpr double kUsersMean = 4140;
/// A report reaches all within this time.
constexpr std::size_t kMaxReportSteps = kSecond;
constexpr std::size_t kAddedAt = 15 * kSecond;
constexpr std::size_t kMinPause = 2 * kSecond;
constexpr std::size_t kMaxPause = 8 * kSecond;
constexpr unsigned kSeeds = 200;
const Instant kStart{ std::chrono::hours(1) };

enum class Prompts
{
  kUniform, ///< Of any length up to half the memory.
  kUsers,   ///< Three classes; one in four takes a tenth of the memory.
};

enum class Rule
{
  kHolders,   ///< As built.
  kDivided,   ///< Slots divided by all instances, and at least one each.
  kWhole,     ///< Each instance has all slots, until it is rejected.
  kForgetful, ///< As built, but requests given up on are forgotten.
  kAlone,     ///< As built, but instances report nothing to each other.
};

struct Scenario
{
  std::size_t instances = 9;
  std::size_t targets = kTargets;
  TargetCapacity capacity{ 12, 100000 };
  Rule rule = Rule::kHolders;
  std::size_t given_up = 10;     ///< Requests in a hundred.
  std::size_t patience = kSteps; ///< Most steps until they are.
  bool has_faults = true;
  double load = kUsualLoad;
  Prompts prompts = Prompts::kUniform;
  std::size_t alternates =
    kSteps;                ///< Steps until brittle or not brittle again.
  std::size_t added = 0;   ///< Instances, all in one step.
  bool has_pauses = false; ///< Instances that stop for seconds.
};

struct Outcome
{
  std::size_t falls = 0; ///< In one time in which the targets are brittle.
  double used = 0;       ///< Of the slots, on the mean.
};

struct Request
{
  std::size_t instance = 0;
  std::size_t process = 0; ///< Number of the instance's process.
  std::uint64_t tokens = 0;
  std::size_t work = 0; ///< Steps.
  std::size_t ends = 0; ///< Step; once it runs.
  std::size_t given_up_at = kSteps;
  bool is_given_up = false;
};

class Model
{
public:
  Model(const Scenario& aScenario, unsigned aSeed)
    : m_scenario(aScenario)
    , m_random(aSeed)
    , m_targets(aScenario.targets)
  {
    for (std::size_t i = 0; i < aScenario.instances; ++i) {
      m_ids.push_back("instance-" + std::to_string(i));
    }
    for (std::size_t i = 0; i < aScenario.instances; ++i) {
      m_instances.push_back({});
      m_instances[i].id = i;
      m_instances[i].known_ids = m_ids.size();
      Restart(i);
    }
    // Where memory is the limit, longer prompts take more of it.
    const double mean_prompt =
      m_scenario.prompts == Prompts::kUsers ? kUsersMean : kMaxTokens / 4.0;
    const double mean_tokens = m_scenario.capacity.tokens > 0 ? mean_prompt : 0;
    const double by_memory =
      mean_tokens > 0 ? double(m_scenario.capacity.tokens) / mean_tokens
                      : double(m_scenario.capacity.slots);
    m_room = std::min(double(m_scenario.capacity.slots), by_memory) *
             double(m_scenario.targets);
  }

  Outcome Run()
  {
    for (m_step = 0; m_step < kSteps; ++m_step) {
      m_now = kStart + static_cast<Duration::rep>(m_step) * kStep;
      if (IsBrittle() && BrittleSteps() == 0) {
        m_falls = 0;
      }
      CauseFaults();
      DeliverReports();
      for (Target& target : m_targets) {
        Progress(target);
      }
      ReturnRejected();
      Arrive();
      for (const Target& target : m_targets) {
        m_used += double(target.running.size());
      }
    }
    m_outcome.used = m_used / (m_room * kSteps);
    return m_outcome;
  }

private:
  struct Instance
  {
    std::size_t id = 0;        ///< Index of its id.
    std::size_t known_ids = 0; ///< The first of all ids.
    std::size_t view_due = 0;  ///< Step at which it knows all.
    std::size_t holds_from = 0;
    std::size_t process = 0;
    std::size_t down_until = 0;
    std::size_t paused_until = 0;
    BrittleSignal signal{ kStart };
    std::size_t next_report = 0;          ///< Step.
    std::vector<ConcurrencyShare> shares; ///< By target.
    std::vector<LoadEstimate> loads;
    std::vector<HolderRank> ranks;
  };
  /// Whether the targets are brittle, from one instance to all others.
  struct Report
  {
    std::optional<std::uint32_t> rejections;
    Instant sent{};
  };
  struct Target
  {
    std::vector<Request> running;
    std::deque<Request> waiting;
    std::vector<Request> arrived; ///< Not read yet.
    std::deque<std::size_t> rejections;
    std::size_t down_until = 0;
    std::size_t stopped_until = 0;
  };

  [[nodiscard]] bool IsBrittle() const
  {
    return m_step >= kBrittleFrom &&
           (m_step - kBrittleFrom) / m_scenario.alternates % 2 == 0;
  }
  /// @return for how long the targets have been brittle this time.
  [[nodiscard]] std::size_t BrittleSteps() const
  {
    return (m_step - kBrittleFrom) % m_scenario.alternates;
  }
  /// The targets use their queue until instances know that they are brittle.
  [[nodiscard]] bool IsSettled() const
  {
    return IsBrittle() && BrittleSteps() >= kSettleSteps;
  }
  [[nodiscard]] std::size_t Queue() const { return IsSettled() ? 0 : kQueue; }
  std::size_t Between(std::size_t aFrom, std::size_t aTo)
  {
    return aFrom + m_random() % (aTo - aFrom + 1);
  }

  void Restart(std::size_t aInstance)
  {
    Instance& instance = m_instances[aInstance];
    ++instance.process;
    const std::size_t start = m_step > 0 ? Between(kMinStart, kMaxStart) : 0;
    instance.down_until = m_step + start;
    instance.signal =
      BrittleSignal(m_now + static_cast<Duration::rep>(start) * kStep);
    instance.shares.assign(m_scenario.targets, ConcurrencyShare());
    instance.loads.assign(m_scenario.targets,
                          LoadEstimate(std::make_shared<ServiceLoadAverage>()));
    UpdateRanks(instance);
    // Its connections are gone; the targets notice after a while.
    for (Target& target : m_targets) {
      for (Request& request : target.running) {
        if (request.instance == aInstance) {
          request.ends =
            std::min(request.ends, m_step + Between(0, kMaxLinger));
        }
      }
      std::erase_if(target.waiting, [&](const Request& aRequest) {
        return aRequest.instance == aInstance;
      });
    }
  }
  void UpdateRanks(Instance& aInstance)
  {
    const std::span<const std::string> known(m_ids.data(), aInstance.known_ids);
    const HolderRing ring(known, m_ids[aInstance.id]);
    aInstance.ranks.clear();
    for (std::size_t target = 0; target < m_scenario.targets; ++target) {
      const auto hash = PlacementHash("target-" + std::to_string(target));
      const bool holds = m_step >= aInstance.holds_from;
      aInstance.ranks.push_back(
        { holds ? ring.RankOf(hash) : HolderRing::kMaxRank, ring.Size() });
    }
  }
  /// Another machine takes the place of an instance. The others know its row
  /// some time later, that of the old one stays.
  void Replace(std::size_t aInstance)
  {
    m_ids.push_back("instance-" + std::to_string(m_ids.size()));
    for (Instance& one : m_instances) {
      one.view_due = m_step + 1 + Between(0, kMaxViewSteps);
    }
    Instance& replaced = m_instances[aInstance];
    replaced.id = m_ids.size() - 1;
    replaced.known_ids = m_ids.size();
    replaced.holds_from = m_step + kJoinSteps;
    Restart(aInstance);
  }

  /// Instances join the fleet in one step.
  void Add(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      m_ids.push_back("instance-" + std::to_string(m_ids.size()));
    }
    for (Instance& one : m_instances) {
      one.view_due = m_step + 1 + Between(0, kMaxViewSteps);
    }
    for (std::size_t i = 0; i < aCount; ++i) {
      m_instances.push_back({});
      m_instances.back().id = m_ids.size() - aCount + i;
      m_instances.back().known_ids = m_ids.size();
      m_instances.back().holds_from = m_step + kJoinSteps;
      Restart(m_instances.size() - 1);
    }
  }
  /// An instance stops and goes on with the ranks that it had.
  void Pause(Instance& aInstance)
  {
    aInstance.paused_until = m_step + Between(kMinPause, kMaxPause);
    if (aInstance.known_ids < m_ids.size()) {
      aInstance.view_due = std::max(aInstance.view_due, aInstance.paused_until);
    }
  }

  void CauseFaults()
  {
    if (m_scenario.added > 0 && m_step == kAddedAt) {
      Add(m_scenario.added);
    }
    for (Instance& one : m_instances) {
      const bool is_due =
        one.view_due == m_step && one.known_ids < m_ids.size();
      one.known_ids = is_due ? m_ids.size() : one.known_ids;
      if (is_due || (one.holds_from == m_step && m_step > 0)) {
        UpdateRanks(one);
      }
    }
    if (!m_scenario.has_faults) {
      return;
    }
    const std::size_t any = Between(0, m_instances.size() - 1);
    if (m_scenario.has_pauses && Between(0, 200) == 0) {
      Pause(m_instances[any]);
    }
    switch (Between(0, 1200)) {
      case 0:
      case 1:
      case 2:
        Restart(any);
        break;
      case 3:
        Replace(any);
        break;
      case 4:
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
          Restart(i);
        }
        break;
      case 5:
      case 6:
        m_targets[Between(0, m_scenario.targets - 1)].stopped_until =
          m_step + Between(kSecond / 2, 3 * kSecond / 2);
        break;
      case 7:
      case 8: // A neighbour ends, whatever was rejected.
        Fall(m_targets[Between(0, m_scenario.targets - 1)]);
        break;
      case 9:
        m_burst_until = m_step + 3 * kSecond;
        break;
      default:
        break;
    }
  }

  ConcurrencyShare* ShareOf(const Request& aRequest, const Target& aTarget)
  {
    Instance& instance = m_instances[aRequest.instance];
    return instance.process == aRequest.process
             ? &instance.shares[std::size_t(&aTarget - m_targets.data())]
             : nullptr;
  }
  void OnReply(const Request& aRequest, const Target& aTarget)
  {
    Instance& instance = m_instances[aRequest.instance];
    if (instance.process == aRequest.process) {
      const std::optional<std::uint32_t> rejections(kMaxRejections);
      const bool has_changed = instance.signal.OnReply(
        IsBrittle() ? rejections : std::nullopt, m_now, m_now);
      const bool is_due =
        instance.signal.IsBrittle() && m_step >= instance.next_report;
      if ((has_changed || is_due) && m_scenario.rule != Rule::kAlone) {
        instance.next_report = m_step + kSecond;
        m_reports.emplace(m_step + Between(1, kMaxReportSteps),
                          Report{ instance.signal.MaxRejections(), m_now });
      }
      ReportedLoad load;
      load.running = static_cast<std::uint32_t>(aTarget.running.size());
      load.waiting = static_cast<std::uint32_t>(aTarget.waiting.size());
      load.slots = m_scenario.capacity.slots;
      instance.loads[std::size_t(&aTarget - m_targets.data())].OnReport(load,
                                                                        m_now);
    }
  }
  void DeliverReports()
  {
    for (; !m_reports.empty() && m_reports.begin()->first <= m_step;
         m_reports.erase(m_reports.begin())) {
      const Report& report = m_reports.begin()->second;
      for (Instance& one : m_instances) {
        if (std::max(one.down_until, one.paused_until) <= m_step) {
          one.signal.OnReply(report.rejections, report.sent, m_now);
        }
      }
    }
  }
  void OnEnd(const Request& aRequest, const Target& aTarget)
  {
    auto* const share = ShareOf(aRequest, aTarget);
    if (share != nullptr && !aRequest.is_given_up) {
      share->OnEnd(aRequest.tokens);
    }
  }
  void Fall(Target& aTarget)
  {
    for (const Request& request : aTarget.running) {
      OnEnd(request, aTarget);
    }
    for (const Request& request : aTarget.waiting) {
      OnEnd(request, aTarget);
    }
    for (const Request& request : aTarget.arrived) {
      OnEnd(request, aTarget);
    }
    // Their callers come back at once.
    m_returning += aTarget.running.size();
    aTarget.running.clear();
    aTarget.waiting.clear();
    aTarget.arrived.clear();
    aTarget.rejections.clear();
    aTarget.down_until = m_step + kDownSteps;
  }

  [[nodiscard]] bool HasRoom(const Target& aTarget,
                             const Request& aRequest) const
  {
    std::uint64_t tokens = aRequest.tokens;
    for (const Request& request : aTarget.running) {
      tokens += request.tokens;
    }
    const bool has_memory =
      m_scenario.capacity.tokens == 0 || tokens <= m_scenario.capacity.tokens;
    return has_memory && aTarget.running.size() < m_scenario.capacity.slots;
  }
  void Begin(Target& aTarget, Request aRequest)
  {
    aRequest.ends = m_step + aRequest.work;
    OnReply(aRequest, aTarget);
    if (Between(1, 100) <= m_scenario.given_up) {
      aRequest.given_up_at =
        m_step + 1 + Between(0, std::min(aRequest.work, m_scenario.patience));
    }
    aTarget.running.push_back(aRequest);
  }
  void GiveUp(Target& aTarget, Request& aRequest)
  {
    auto* const share = ShareOf(aRequest, aTarget);
    if (share != nullptr && m_scenario.rule == Rule::kForgetful) {
      share->OnEnd(aRequest.tokens);
    } else if (share != nullptr) {
      share->OnAbandoned(
        aRequest.tokens, m_now + kMaxLinger * kStep + kStep, m_now);
    }
    aRequest.is_given_up = true;
    aRequest.ends = std::min(aRequest.ends, m_step + Between(0, kMaxLinger));
  }
  void Reject(Target& aTarget, const Request& aRequest)
  {
    OnEnd(aRequest, aTarget);
    OnReply(aRequest, aTarget);
    if (auto* const share = ShareOf(aRequest, aTarget)) {
      m_rejected.push_back(share);
    }
    aTarget.rejections.push_back(m_step);
    ++m_returning;
  }
  void Progress(Target& aTarget)
  {
    for (Request& request : aTarget.running) {
      if (request.given_up_at == m_step) {
        GiveUp(aTarget, request);
      }
    }
    if (m_step < std::max(aTarget.down_until, aTarget.stopped_until)) {
      return;
    }
    std::erase_if(aTarget.running, [&](const Request& aRequest) {
      const bool is_over = aRequest.ends <= m_step;
      if (is_over) {
        OnEnd(aRequest, aTarget);
      }
      return is_over;
    });
    while (!aTarget.waiting.empty() &&
           HasRoom(aTarget, aTarget.waiting.front())) {
      Begin(aTarget, aTarget.waiting.front());
      aTarget.waiting.pop_front();
    }
    std::vector<Request> arrived;
    arrived.swap(aTarget.arrived);
    for (const Request& request : arrived) {
      if (aTarget.waiting.empty() && HasRoom(aTarget, request)) {
        Begin(aTarget, request);
      } else if (aTarget.waiting.size() < Queue()) {
        aTarget.waiting.push_back(request);
      } else {
        Reject(aTarget, request);
      }
    }
    while (!aTarget.rejections.empty() &&
           aTarget.rejections.front() + kSecond <= m_step) {
      aTarget.rejections.pop_front();
    }
    if (IsBrittle() && aTarget.rejections.size() > kMaxRejections) {
      m_falls += IsSettled() ? 1 : 0;
      m_outcome.falls = std::max(m_outcome.falls, m_falls);
      Fall(aTarget);
    }
  }
  void ReturnRejected()
  {
    for (ConcurrencyShare* const share : m_rejected) {
      share->OnRejected(m_now);
    }
    m_rejected.clear();
  }

  void Arrive()
  {
    constexpr double kMeanWork = 0.75 * kSecond;
    const double load = m_step < m_burst_until ? kBurst : m_scenario.load;
    std::poisson_distribution<std::size_t> arrivals(load * m_room / kMeanWork);
    const std::size_t count = arrivals(m_random) + m_returning;
    m_returning = 0;
    for (std::size_t i = 0; i < count; ++i) {
      Request request;
      request.instance = Between(0, m_instances.size() - 1);
      const Instance& instance = m_instances[request.instance];
      if (std::max(instance.down_until, instance.paused_until) > m_step) {
        ++m_returning;
        continue;
      }
      request.process = instance.process;
      request.work = Between(kSecond / 10, 14 * kSecond / 10);
      if (m_scenario.capacity.tokens > 0) {
        request.tokens = Tokens();
      }
      Send(request);
    }
  }
  std::uint64_t Tokens()
  {
    if (m_scenario.prompts == Prompts::kUniform) {
      const std::uint64_t tokens = Between(500, kMaxTokens / 2);
      return tokens * (Between(0, 19) == 0 ? 2 : 1);
    }
    const std::size_t kind = Between(1, 146); // By their rates.
    if (kind <= 36) {
      return Between(9000, 15000);
    }
    return kind <= 93 ? Between(600, 1200) : Between(1500, 3200);
  }
  void Send(const Request& aRequest)
  {
    const std::size_t first = Between(0, m_scenario.targets - 1);
    for (std::size_t n = 0; n < m_scenario.targets; ++n) {
      const std::size_t index = (first + n) % m_scenario.targets;
      Target& target = m_targets[index];
      ConcurrencyShare& share = m_instances[aRequest.instance].shares[index];
      if (m_step >= target.down_until && MaySend(aRequest, index, share)) {
        share.OnBegin(aRequest.tokens);
        target.arrived.push_back(aRequest);
        return;
      }
    }
  }
  [[nodiscard]] bool MaySend(const Request& aRequest,
                             std::size_t aTarget,
                             const ConcurrencyShare& aShare) const
  {
    const Instance& instance = m_instances[aRequest.instance];
    TargetCapacity capacity = m_scenario.capacity;
    HolderRank rank = instance.ranks[aTarget];
    const SharingMode mode = instance.signal.ModeAt(m_now);
    if (mode == SharingMode::kUnlimited) {
      capacity.slots += kQueue;
      rank = { 0, 1 };
    } else if (mode == SharingMode::kCautious) {
      return aShare.InFlight(m_now) == 0 &&
             (ConcurrencyShare::Slots(capacity, rank) > 0 || HasNone(instance));
    } else if (mode == SharingMode::kNone) {
      return false;
    } else if (m_scenario.rule == Rule::kWhole) {
      rank = { 0, 1 };
    } else if (m_scenario.rule == Rule::kDivided) {
      const auto instances = std::uint32_t(m_scenario.instances);
      capacity.slots = std::max(capacity.slots / instances, 1U);
      rank = { 0, 1 };
    }
    const bool has_queue = mode == SharingMode::kShare &&
                           instance.loads[aTarget].Waiting(m_now) >= 1;
    return !has_queue && aShare.MaySend(capacity, rank, aRequest.tokens, m_now);
  }

  /// Whether an instance has neither requests nor shares.
  [[nodiscard]] bool HasNone(const Instance& aInstance) const
  {
    for (std::size_t i = 0; i < m_scenario.targets; ++i) {
      if (aInstance.shares[i].InFlight(m_now) > 0 ||
          ConcurrencyShare::Slots(m_scenario.capacity, aInstance.ranks[i]) >
            0) {
        return false;
      }
    }
    return true;
  }

  const Scenario& m_scenario;
  std::mt19937 m_random;
  std::vector<std::string> m_ids;
  std::vector<Instance> m_instances;
  std::vector<Target> m_targets;
  std::multimap<std::size_t, Report> m_reports; ///< By the step of arrival.
  std::vector<ConcurrencyShare*> m_rejected; ///< Their replies are under way.
  std::size_t m_returning = 0; ///< Callers that come back in this step.
  std::size_t m_burst_until = 0;
  double m_room = 0; ///< Requests that all targets can run.
  double m_used = 0;
  std::size_t m_falls = 0; ///< In this time in which the targets are brittle.
  std::size_t m_step = 0;
  Instant m_now{};
  Outcome m_outcome;
};

/// @return the worst outcome of all seeds.
Outcome
WorstOf(const Scenario& aScenario, unsigned aSeeds)
{
  Outcome worst;
  worst.used = 1;
  for (unsigned seed = 1; seed <= aSeeds; ++seed) {
    const Outcome outcome = Model(aScenario, seed).Run();
    worst.falls = std::max(worst.falls, outcome.falls);
    worst.used = std::min(worst.used, outcome.used);
  }
  return worst;
}

std::size_t
AllowedFalls(const Scenario& aScenario)
{
  return kAllowedFalls + aScenario.targets / 10;
}

} // namespace

TEST_GROUP(ConcurrencyShareModel){};

// When brittle targets are full, one request too many from each instance pushes
// them over, before any instance has seen a rejection.
TEST(ConcurrencyShareModel, AllInstancesTogetherLeaveBrittleTargetsStanding)
{
  for (const std::size_t instances : { 9UL, 18UL, 36UL }) {
    Scenario scenario;
    scenario.instances = instances;
    const Outcome worst = WorstOf(scenario, kSeeds);
    CHECK(worst.falls <= AllowedFalls(scenario));
  }
}

// A bound that leaves the targets idle would hold as well.
TEST(ConcurrencyShareModel, BrittleTargetsAreUsed)
{
  for (const std::size_t instances : { 9UL, 18UL, 36UL }) {
    Scenario scenario;
    scenario.instances = instances;
    scenario.has_faults = false;
    scenario.load = kBurst;
    CHECK(WorstOf(scenario, 10).used >= kLeastUsed);
  }
}

TEST(ConcurrencyShareModel, SoDoTheyWithoutModelsOnTheTargets)
{
  for (const std::size_t instances : { 9UL, 18UL, 36UL }) {
    Scenario scenario;
    scenario.instances = instances;
    scenario.targets = 4;
    scenario.capacity = { 6, 0 };
    CHECK(WorstOf(scenario, kSeeds).falls <= AllowedFalls(scenario));
  }
}

TEST(ConcurrencyShareModel, HundredsOfInstancesLeaveBrittleTargetsStanding)
{
  Scenario scenario;
  scenario.instances = 370;
  const Outcome worst = WorstOf(scenario, 2);
  CHECK(worst.falls <= AllowedFalls(scenario));
}

// With the users' prompts ten requests fill a target's memory, or twelve its
// slots, and a few plain targets stand behind instances by the dozen.
TEST(ConcurrencyShareModel, UsersTargetsAreLeftStanding)
{
  Scenario small;
  small.capacity = { 64, 115382 };
  small.prompts = Prompts::kUsers;
  Scenario grown = small;
  grown.instances = 74;
  grown.targets = 140;
  grown.capacity = { 12, 92059 };
  Scenario plain;
  plain.instances = 74;
  plain.targets = 4;
  plain.capacity = { 6, 0 };
  CHECK(WorstOf(small, 30).falls <= AllowedFalls(small));
  CHECK(WorstOf(grown, 2).falls <= AllowedFalls(grown));
  CHECK(WorstOf(plain, 30).falls <= AllowedFalls(plain));
}

// Targets that are brittle again find instances that have used the queue, and
// instances that have joined or stopped meanwhile know other ranks.
TEST(ConcurrencyShareModel, SoAreTargetsThatAreBrittleAgain)
{
  Scenario models;
  models.capacity = { 64, 115382 };
  models.prompts = Prompts::kUsers;
  models.alternates = 10 * kSecond;
  models.added = 9;
  models.has_pauses = true;
  Scenario plain = models;
  plain.instances = 74;
  plain.targets = 4;
  plain.capacity = { 6, 0 };
  plain.added = 13;
  CHECK(WorstOf(models, 30).falls <= AllowedFalls(models));
  CHECK(WorstOf(plain, 30).falls <= AllowedFalls(plain));
}

TEST(ConcurrencyShareModel, AllSlotsForEachInstancePushTargetsOver)
{
  Scenario scenario;
  scenario.rule = Rule::kWhole;
  CHECK(WorstOf(scenario, 2).falls > AllowedFalls(scenario));
}

TEST(ConcurrencyShareModel, OneRequestOfEachInstancePushesTargetsOver)
{
  Scenario scenario;
  scenario.rule = Rule::kDivided;
  scenario.instances = 36;
  CHECK(WorstOf(scenario, 2).falls > AllowedFalls(scenario));
}

// Targets go on with requests whose callers have left, so that others in their
// places are too many.
TEST(ConcurrencyShareModel, RequestsGivenUpOnCountWhileTheyMayRun)
{
  Scenario scenario;
  scenario.given_up = 80;
  scenario.patience = kSecond / 10;
  scenario.load = kBurst;
  CHECK(WorstOf(scenario, 40).falls <= AllowedFalls(scenario));
  scenario.rule = Rule::kForgetful;
  CHECK(WorstOf(scenario, 40).falls > AllowedFalls(scenario));
}

// An instance that is told nothing uses the queue of targets from which it got
// no reply since they are brittle.
TEST(ConcurrencyShareModel, InstancesThatReportNothingPushTargetsOver)
{
  Scenario scenario;
  scenario.rule = Rule::kAlone;
  scenario.instances = 74;
  scenario.targets = 4;
  scenario.capacity = { 6, 0 };
  CHECK(WorstOf(scenario, 40).falls > AllowedFalls(scenario));
}
