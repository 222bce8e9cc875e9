// A model of many instances that send to one target which becomes cold by a
// restart or during a planned stop of its data centre. Instances learn of it
// with arbitrary delays; they are cut off, paused and restarted.

#include "target_fleet.hpp"

#include <algorithm> // for max
#include <random>    // for mt19937
#include <variant>   // for variant, visit

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for rc::check

#include "jujubehead/core/routing/data_centre_stops.hpp" // for DataCentreStops
#include "jujubehead/core/routing/placement.hpp"         // for PlacementHash

using namespace jujubehead;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::ServiceId kService("models");
const core::DataCentreId kDataCentre("north");
constexpr core::Duration kStep = milliseconds(50);
constexpr core::Duration kHeartbeat = milliseconds(1200);
constexpr core::Duration kColdTime = seconds(3);
constexpr int kSteps = 600;
constexpr int kStepsPerSecond = 20;
/// Requests per second that a cold target tolerates.
constexpr int kBound = 20;

/// Sends nothing to a cold target.
struct NoneWhileCold
{};
/// The same, but trusts reports alone after a stop.
struct ReportsOnly
{};
/// The instances that rank first for a target among those that the sender
/// knows each send an equal part of the tolerated rate.
struct FewSenders
{
  std::size_t senders = 2;
};
/// Every instance sends its part of the rate, by the members that it knows.
struct EqualShares
{};
using ColdPolicy =
  std::variant<NoneWhileCold, ReportsOnly, FewSenders, EqualShares>;

/// What the target and the operator wrote, by step.
struct World
{
  struct Step
  {
    core::RegisteredTarget row; ///< As last written.
    bool is_stopped = false;
    bool is_cold = false;
    int cold_period = 0; ///< Counts cold periods, from 1.
    int stop = 0;        ///< Counts stops, from 1.
    int row_written = 0; ///< Step of the last write.
  };
  std::vector<Step> steps;
};

World
MakeWorld(std::mt19937& aRandom)
{
  World world;
  World::Step now;
  now.row.service = kService;
  now.row.address = "127.0.0.1:90";
  now.row.data_centre = kDataCentre;
  int starts = 0;
  int cold_until = 0;
  int next_event = 10 + static_cast<int>(aRandom() % 60);
  int stop_ends = 0;
  const auto restart = [&] {
    now.row.id = core::TargetId("t" + std::to_string(++starts));
    now.row.heartbeat = 0;
  };
  const auto become_cold = [&](int aStep) {
    cold_until = aStep + static_cast<int>(kColdTime / kStep);
    ++now.cold_period;
  };
  restart();
  for (int step = 0; step < kSteps; ++step) {
    bool is_written = step % static_cast<int>(kHeartbeat / kStep) == 0;
    if (now.is_stopped && step == stop_ends) {
      now.is_stopped = false;
      if (aRandom() % 2 == 0) {
        become_cold(step);
      }
      next_event = step + 80 + static_cast<int>(aRandom() % 60);
    } else if (!now.is_stopped && step == next_event) {
      if (aRandom() % 2 == 0) {
        now.is_stopped = true;
        ++now.stop;
        stop_ends = step + 40 + static_cast<int>(aRandom() % 80);
      } else {
        restart();
        become_cold(step);
        is_written = true;
        next_event = step + 80 + static_cast<int>(aRandom() % 60);
      }
    }
    now.is_cold = step < cold_until;
    if (is_written) {
      ++now.row.heartbeat;
      now.row.cold_left =
        now.is_cold ? (cold_until - step) * kStep : core::Duration(0);
      now.row_written = step;
    }
    world.steps.push_back(now);
  }
  return world;
}

/// One instance: what it has read, and what it may send.
class Sender
{
public:
  Sender(const ColdPolicy& aPolicy,
         std::string aName,
         std::vector<std::string> aKnownMembers)
    : m_policy(aPolicy)
    , m_name(std::move(aName))
    , m_members(std::move(aKnownMembers))
  {
    Restart();
  }

  void Restart()
  {
    m_fleet = node::TargetFleet();
    if (!std::holds_alternative<ReportsOnly>(m_policy)) {
      m_fleet.SetColdTimes({ { kService, kColdTime } });
    }
    m_directory = core::TargetDirectory({});
    m_stops = {};
    m_read_cold_period = 0;
    m_read_stop = 0;
    m_is_read = false;
    m_saw_stop = false;
  }

  /// Reads what was written up to a step; never goes back.
  void Read(const World& aWorld, int aStep)
  {
    m_read_step = std::max(m_read_step, aStep);
    const World::Step& read =
      aWorld.steps.at(static_cast<std::size_t>(m_read_step));
    const World::Step& row =
      aWorld.steps.at(static_cast<std::size_t>(read.row_written));
    const core::Instant now = core::RuntimeClock::now();
    if (read.stop > m_read_stop && m_is_read && !read.is_stopped) {
      // A stop began and ended since the last read.
      m_saw_stop = true;
      m_fleet.SetStoppedDataCentres(
        {}, m_stops.Apply({ { kDataCentre, false } }, now).ended);
    }
    ApplyStop(read.is_stopped, now);
    m_directory.Replace({ row.row }, now);
    m_fleet.Update(m_directory.Targets());
    m_read_stop = read.stop;
    m_read_cold_period = std::max(m_read_cold_period, row.cold_period);
    m_is_read = true;
  }

  /// @return whether it sends a request that the running target accepts.
  bool Sends(const World::Step& aTruth)
  {
    const auto target = m_fleet.Find(aTruth.row.id);
    if (!target || target->is_stopped) {
      return false;
    }
    if (!target->cold_start.IsCold(core::RuntimeClock::now())) {
      return true;
    }
    return std::visit(
      [&](const auto& aPolicy) { return SendsToCold(aPolicy, aTruth); },
      m_policy);
  }

  /// @return whether it could know that the target is cold: it has read of the
  /// cold period, or of the stop in which it began.
  [[nodiscard]] bool CouldKnow(const World::Step& aTruth) const
  {
    return m_read_cold_period == aTruth.cold_period ||
           (m_is_read && m_read_stop == aTruth.stop && aTruth.stop != 0 &&
            m_saw_stop);
  }

private:
  void ApplyStop(bool aIsStopped, core::Instant aNow)
  {
    m_saw_stop |= aIsStopped;
    std::vector<core::DataCentreStopChange> all;
    if (aIsStopped) {
      all.push_back({ kDataCentre, true });
    }
    const core::DataCentreStopUpdate update = m_stops.Replace(all, aNow);
    m_fleet.SetStoppedDataCentres(m_stops.Names(), update.ended);
  }

  bool SendsToCold(const NoneWhileCold& /*aPolicy*/,
                   const World::Step& /*aTruth*/)
  {
    return false;
  }
  bool SendsToCold(const ReportsOnly& /*aPolicy*/,
                   const World::Step& /*aTruth*/)
  {
    return false;
  }
  bool SendsToCold(const FewSenders& aPolicy, const World::Step& aTruth)
  {
    std::size_t before = 0;
    const auto score = [&](const std::string& aName) {
      return core::WeightedScore(core::PlacementHash(aTruth.row.id.View()),
                                 core::PlacementHash(aName),
                                 1);
    };
    for (const std::string& member : m_members) {
      before += score(member) > score(m_name) ? 1 : 0;
    }
    return before < aPolicy.senders &&
           TakeToken(kBound / static_cast<double>(aPolicy.senders));
  }
  bool SendsToCold(const EqualShares& /*aPolicy*/,
                   const World::Step& /*aTruth*/)
  {
    return TakeToken(kBound / static_cast<double>(m_members.size() + 1));
  }
  /// A token bucket of one second.
  bool TakeToken(double aPerSecond)
  {
    const core::Instant now = core::RuntimeClock::now();
    const std::chrono::duration<double> passed = now - m_tokens_at;
    m_tokens = std::min(std::max(aPerSecond, 1.0),
                        m_tokens + passed.count() * aPerSecond);
    m_tokens_at = now;
    if (m_tokens < 1) {
      return false;
    }
    --m_tokens;
    return true;
  }

  ColdPolicy m_policy;
  std::string m_name;
  std::vector<std::string> m_members;
  node::TargetFleet m_fleet;
  core::TargetDirectory m_directory{ {} };
  core::DataCentreStops m_stops;
  int m_read_step = 0;
  int m_read_cold_period = 0;
  int m_read_stop = 0;
  bool m_is_read = false;
  bool m_saw_stop = false;
  double m_tokens = 1;
  core::Instant m_tokens_at{};
};

struct Arrivals
{
  int most_in_a_second = 0; ///< At the cold target, of senders that could know.
  int at_cold = 0;
};

/// Runs all instances, each as eager to send as it can be.
Arrivals
Run(const ColdPolicy& aPolicy, unsigned aSeed, int aInstances)
{
  std::mt19937 random(aSeed);
  const World world = MakeWorld(random);
  std::vector<Sender> senders;
  for (int i = 0; i < aInstances; ++i) {
    std::vector<std::string> known;
    for (int j = 0; j < aInstances; ++j) {
      if (j != i && random() % 3 != 0) {
        known.push_back("i" + std::to_string(j));
      }
    }
    senders.emplace_back(aPolicy, "i" + std::to_string(i), std::move(known));
  }
  std::vector<int> absent_until(senders.size(), 0);
  std::vector<int> paused_until(senders.size(), 0);
  std::vector<int> arrivals(kSteps, 0);
  Arrivals result;
  for (int step = 0; step < kSteps; ++step) {
    core::RuntimeClock::Advance(kStep);
    const World::Step& truth = world.steps.at(static_cast<std::size_t>(step));
    for (std::size_t i = 0; i < senders.size(); ++i) {
      const auto event = random() % 400;
      if (event == 0) {
        senders[i].Restart();
      } else if (event == 1) {
        absent_until[i] = step + static_cast<int>(random() % 100);
      } else if (event == 2) {
        paused_until[i] = step + static_cast<int>(random() % 100);
      }
      if (step < paused_until[i]) {
        continue;
      }
      if (step >= absent_until[i] && random() % 4 == 0) {
        senders[i].Read(world,
                        std::max(0, step - static_cast<int>(random() % 20)));
      }
      if (senders[i].Sends(truth) && truth.is_cold &&
          senders[i].CouldKnow(truth)) {
        ++arrivals[static_cast<std::size_t>(step)];
        ++result.at_cold;
      }
    }
    int in_second = 0;
    for (int k = std::max(0, step - kStepsPerSecond + 1); k <= step; ++k) {
      in_second += arrivals[static_cast<std::size_t>(k)];
    }
    result.most_in_a_second = std::max(result.most_in_a_second, in_second);
  }
  return result;
}

/// @return the most requests in a second over several schedules.
int
WorstOf(const ColdPolicy& aPolicy)
{
  constexpr int kSchedules = 20;
  constexpr int kInstances = 60;
  int worst = 0;
  for (unsigned seed = 1; seed <= kSchedules; ++seed) {
    worst = std::max(worst, Run(aPolicy, seed, kInstances).most_in_a_second);
  }
  return worst;
}

} // namespace

TEST_GROUP(ColdTargetModel){ void setup() override{ core::RuntimeClock::Pause();
}
void
teardown() override
{
  core::RuntimeClock::Resume();
}
}
;

TEST(ColdTargetModel, NoInstanceThatCouldKnowSendsToAColdTarget)
{
  CHECK(rc::check("none while cold", [] {
    const auto seed = *rc::gen::arbitrary<unsigned>();
    const int instances = *rc::gen::inRange(1, 40);
    RC_ASSERT(Run(NoneWhileCold{}, seed, instances).at_cold == 0);
  }));
}

// Instances know different members, so each believes to be among the senders,
// or to have a larger share.
TEST(ColdTargetModel, DividingTheToleratedRateExceedsIt)
{
  CHECK(WorstOf(FewSenders{}) > kBound);
  CHECK(WorstOf(EqualShares{}) > kBound);
  LONGS_EQUAL(0, WorstOf(NoneWhileCold{}));
}

// The report of a cold period may arrive after that of the stop's end.
TEST(ColdTargetModel, TrustingReportsAloneAfterAStopExceedsTheRate)
{
  CHECK(WorstOf(ReportsOnly{}) > kBound);
}
