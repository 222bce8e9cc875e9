// A model of instances that send to a target which drains, pushes back and
// restarts, and to one beside it that does neither. The registry is late and
// loses entries, answers are late and lost, instances restart and freeze.

#include "target_fleet.hpp"

#include <algorithm> // for max, min
#include <cstdint>   // for uint8_t, uint64_t
#include <map>       // for map
#include <random>    // for mt19937

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for rc::check

using namespace jujubehead;
using std::chrono::milliseconds;

namespace {

constexpr core::Duration kStep = milliseconds(50);
constexpr int kSteps = 800;
constexpr int kMaxRegistryDelay = 300; ///< Steps.
constexpr int kMaxAnswerDelay = 8;     ///< Steps.
/// Steps from an answer of a draining target until requests are too late.
constexpr int kDrainSteps = 40;
/// Steps after a pushback in which requests may still be under way, and those
/// that may arrive between these and the end of the backoff.
constexpr int kUnderWaySteps = 10;
constexpr int kAllowedArrivals = 2;
const core::TargetId kBeside("beside");

enum class Policy : std::uint8_t
{
  kKept,             ///< What answers said is kept, as TargetFleet does.
  kRegistryOnly,     ///< What answers say is ignored.
  kDroppedAtUpdates, ///< A change of the registry starts anew.
  kReplaced,         ///< Each answer's backoff replaces that before.
  kShared,           ///< All instances honour a backoff that one was asked for.
};

/// The target at one step.
struct Truth
{
  core::RegisteredTarget row;
  bool is_listed = true; ///< Its entry is in the registry.
  bool is_draining = false;
  core::Duration backoff{}; ///< That it asks of whoever sends; 0: serves.
};

std::vector<Truth>
MakeWorld(std::mt19937& aRandom)
{
  std::vector<Truth> world;
  Truth now;
  now.row.service = core::ServiceId("models");
  now.row.address = "127.0.0.1:90";
  int drains_at = 0;
  int ends_at = 0;
  int push_until = 0;
  int unlisted_until = 0;
  for (int step = 0; step < kSteps; ++step) {
    if (step == ends_at) {
      now.row.id = core::TargetId("t" + std::to_string(step));
      drains_at = step + 100 + static_cast<int>(aRandom() % 200);
      ends_at = drains_at + 100 + static_cast<int>(aRandom() % 200);
    }
    now.row.heartbeat = static_cast<std::uint64_t>(step);
    now.is_draining = step >= drains_at;
    now.row.leaving = now.is_draining;
    push_until = aRandom() % 100 == 0 ? step + 100 : push_until;
    const bool asks_for_long = aRandom() % 3 == 0;
    now.backoff = step >= push_until ? milliseconds(0)
                                     : milliseconds(asks_for_long ? 4000 : 300);
    unlisted_until = aRandom() % 100 == 0 ? step + 20 : unlisted_until;
    now.is_listed = step >= unlisted_until;
    world.push_back(now);
  }
  return world;
}

struct Answer
{
  int at = 0; ///< Step at which it arrives.
  std::shared_ptr<node::FleetTarget> from;
  bool is_draining = false;
  core::Duration backoff{};
};

/// What a target expects of an instance that it pushed back.
struct Promise
{
  core::TargetId target;
  int from = 0;
  int until = 0;
  int arrivals = 0;
};

struct Faults
{
  int late = 0;     ///< Requests at a target known to drain.
  int excess = 0;   ///< Arrivals beyond those allowed in a backoff.
  int needless = 0; ///< Steps without a target that takes requests.
};

class Sender
{
public:
  explicit Sender(Policy aPolicy)
    : m_policy(aPolicy)
  {
  }

  void Restart() { *this = Sender(m_policy); }
  /// Sends nothing for a while; what was promised before binds no more.
  void Freeze(int aUntil)
  {
    m_frozen_until = aUntil;
    m_promises.clear();
    m_told_at.clear();
  }
  bool IsFrozen(int aStep) const { return aStep < m_frozen_until; }

  void ReadRegistry(const std::vector<Truth>& aWorld, int aStep)
  {
    m_read = std::max(m_read, aStep);
    const Truth& read = aWorld.at(static_cast<std::size_t>(m_read));
    core::RegisteredTarget beside = read.row;
    beside.id = kBeside;
    beside.address = "127.0.0.1:91";
    beside.leaving = false;
    std::vector<core::RegisteredTarget> rows{ beside };
    if (read.is_listed) {
      rows.push_back(read.row);
    }
    if (m_policy == Policy::kDroppedAtUpdates) {
      m_fleet = node::TargetFleet();
    }
    m_fleet.Update(rows);
  }

  void ApplyAnswers(int aStep, std::vector<Sender>& aAll)
  {
    std::erase_if(m_answers, [&](const Answer& aAnswer) {
      if (aAnswer.at > aStep) {
        return false;
      }
      if (aAnswer.is_draining) {
        const auto& id = aAnswer.from->target.id;
        m_told_at[id] =
          std::min(m_told_at.try_emplace(id, kSteps).first->second, aStep);
      }
      Apply(aAnswer, *aAnswer.from);
      for (Sender& sender : aAll) {
        const auto target = sender.m_fleet.Find(aAnswer.from->target.id);
        if (m_policy == Policy::kShared && target) {
          sender.Apply(aAnswer, *target);
        }
      }
      core::Instant& end = m_asked_until[aAnswer.from->target.id];
      end = std::max(end, core::RuntimeClock::now() + aAnswer.backoff);
      return true;
    });
  }

  void Send(const Truth& aTruth, int aStep, std::mt19937& aRandom, Faults& aSum)
  {
    const core::Instant now = core::RuntimeClock::now();
    const auto beside = m_fleet.Find(kBeside);
    aSum.needless += beside && !beside->Accepts(now) ? 1 : 0;
    const core::TargetId& id = aTruth.row.id;
    const auto target = m_fleet.Find(id);
    if (!target) {
      return;
    }
    if (!target->Accepts(now)) {
      aSum.needless += target->IsLeaving() || now < m_asked_until[id] ? 0 : 1;
      return;
    }
    const auto told = m_told_at.try_emplace(id, kSteps).first->second;
    aSum.late += aStep > told + kDrainSteps ? 1 : 0;
    for (Promise& promise : m_promises) {
      const bool counts =
        promise.target == id && aStep >= promise.from && aStep <= promise.until;
      promise.arrivals += counts ? 1 : 0;
      aSum.excess += counts && promise.arrivals > kAllowedArrivals ? 1 : 0;
    }
    if (aRandom() % 20 == 0) {
      return; // The answer is lost, and with it what it says.
    }
    const int delay = 1 + static_cast<int>(aRandom() % kMaxAnswerDelay);
    m_answers.push_back(
      { aStep + delay, target, aTruth.is_draining, aTruth.backoff });
    if (aTruth.backoff > core::Duration(0)) {
      const int end = aStep + static_cast<int>(aTruth.backoff / kStep);
      m_promises.push_back({ id, aStep + kUnderWaySteps, end });
    }
  }

private:
  void Apply(const Answer& aAnswer, node::FleetTarget& aTarget)
  {
    const core::Instant now = core::RuntimeClock::now();
    if (m_policy == Policy::kRegistryOnly) {
      return;
    }
    if (aAnswer.is_draining) {
      aTarget.OnDraining(now);
    }
    if (m_policy == Policy::kReplaced) {
      aTarget.backoff = {};
    }
    aTarget.backoff.OnRequested(now, aAnswer.backoff);
  }

  Policy m_policy;
  node::TargetFleet m_fleet;
  std::vector<Answer> m_answers;
  std::vector<Promise> m_promises;
  std::map<core::TargetId, int> m_told_at;
  std::map<core::TargetId, core::Instant> m_asked_until;
  int m_read = 0;
  int m_frozen_until = 0;
};

/// Adds the faults of one schedule.
void
Run(Policy aPolicy, unsigned aSeed, std::size_t aInstances, Faults& aSum)
{
  std::mt19937 random(aSeed);
  const auto world = MakeWorld(random);
  std::vector<Sender> senders(aInstances, Sender(aPolicy));
  for (int step = 0; step < kSteps; ++step) {
    core::RuntimeClock::Advance(kStep);
    for (Sender& sender : senders) {
      const auto event = random() % 600;
      if (event == 0) {
        sender.Restart();
      } else if (event == 1) {
        sender.Freeze(step + static_cast<int>(random() % 60));
      }
      if (sender.IsFrozen(step)) {
        continue;
      }
      if (random() % 8 == 0) {
        const int delay = static_cast<int>(random() % kMaxRegistryDelay);
        sender.ReadRegistry(world, std::max(0, step - delay));
      }
      sender.ApplyAnswers(step, senders);
      sender.Send(world.at(static_cast<std::size_t>(step)), step, random, aSum);
    }
  }
}

/// @return the faults of several schedules.
Faults
FaultsOf(Policy aPolicy)
{
  Faults sum;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    Run(aPolicy, seed, 10, sum);
  }
  return sum;
}

struct PausedClock : Utest
{
  void setup() override { core::RuntimeClock::Pause(); }
  void teardown() override { core::RuntimeClock::Resume(); }
};

} // namespace

TEST_GROUP_BASE(TargetSignalsModel, PausedClock){};

// Requests reach a target that said that it wants none, or a target is left out
// for longer than it asked, by the order of answers and registry updates.
TEST(TargetSignalsModel, InstancesDoWhatTargetsAskAndNoMore)
{
  CHECK(rc::check("signals are kept", [] {
    const auto seed = *rc::gen::arbitrary<unsigned>();
    const auto instances = *rc::gen::inRange<std::size_t>(1, 20);
    Faults faults;
    Run(Policy::kKept, seed, instances, faults);
    RC_ASSERT(faults.late == 0);
    RC_ASSERT(faults.excess == 0);
    RC_ASSERT(faults.needless == 0);
  }));
}

// The model would not notice an instance that forgets what targets said, or
// takes it for more than it is.
TEST(TargetSignalsModel, TellsBrokenVariantsApart)
{
  const Faults registry_only = FaultsOf(Policy::kRegistryOnly);
  CHECK(registry_only.late > 0 && registry_only.excess > 0);
  const Faults dropped = FaultsOf(Policy::kDroppedAtUpdates);
  CHECK(dropped.late > 0 && dropped.excess > 0);
  CHECK(FaultsOf(Policy::kReplaced).excess > 0);
  CHECK(FaultsOf(Policy::kShared).needless > 0);
}
