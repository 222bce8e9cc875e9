#include "jujubehead/core/weights/coordinator_lease.hpp"

#include <string> // for string
#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

using namespace jujubehead::core;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kInstances = 3;

/// How far a writer may overestimate, and a reader underestimate, the store's
/// clock within the bounds of RemoteClock.
constexpr milliseconds kClockUncertainty{ 300 };

/// One instance's step: it may first be paused, restart, skip reading the row,
/// or lose the answer to its write.
struct Step
{
  std::size_t instance = 0;
  int pause_ms = 0;
  bool restarts = false;
  bool reads = false;
  bool answer_lost = false;
  int write_delay_ms = 0;
};

struct Command
{
  std::string holder; ///< One run of an instance.
  Instant when;
  std::uint64_t token = 0;
};

/// Simulates the row and the instances that compete for it.
class Simulation
{
public:
  /// @param aBackdates whether writers record a time before they began: an
  /// injected fault.
  explicit Simulation(CoordinatorLeaseOptions aOptions, bool aBackdates = false)
    : m_options(aOptions)
    , m_backdates(aBackdates)
  {
    for (std::size_t i = 0; i < kInstances; ++i) {
      leases.push_back(NewLease(i));
    }
  }

  void Run(const Step& aStep)
  {
    now += milliseconds(aStep.pause_ms);
    CoordinatorLease& lease = leases[aStep.instance];
    if (aStep.restarts) {
      lease = NewLease(aStep.instance);
    }
    if (aStep.reads) {
      lease.OnRow(holder, version, now, begun);
    }
    if (lease.MayAcquire(now) && lease.IsRenewalDue(now)) {
      Write(aStep, lease);
    }
    if (lease.Holds(now)) {
      commands.push_back({ lease.Self(), now, lease.FencingToken() });
    }
  }

  std::vector<CoordinatorLease> leases;
  std::vector<Command> commands;
  Instant now{ std::chrono::seconds(100) };
  std::string holder;
  std::uint64_t version = 0;
  std::optional<Instant> begun; ///< As recorded in the row.

private:
  CoordinatorLease NewLease(std::size_t aInstance)
  {
    const std::string run = std::to_string(++m_runs);
    return { "i" + std::to_string(aInstance) + "/" + run, m_options };
  }

  void Write(const Step& aStep, CoordinatorLease& aLease)
  {
    const Instant began = now;
    now += milliseconds(aStep.write_delay_ms);
    if (aLease.RowVersion() != version) {
      return;
    }
    holder = aLease.Self();
    ++version;
    begun = began + (aStep.write_delay_ms % 2 == 0 ? kClockUncertainty
                                                   : milliseconds(0));
    if (m_backdates) {
      begun = began - std::chrono::seconds(4);
    }
    if (!aStep.answer_lost) {
      aLease.OnWritten(version, began);
    }
  }

  CoordinatorLeaseOptions m_options;
  bool m_backdates;
  std::size_t m_runs = 0;
};

/// @return the instance, at its address, of which a holder is one run.
std::string
InstanceOf(const std::string& aHolder)
{
  return aHolder.substr(0, aHolder.rfind('/'));
}

/// Runs of one instance follow each other, so only their tokens have to differ;
/// commands of two instances are separated by time as well.
bool
AreSeparated(const std::vector<Command>& aCommands, Duration aGap)
{
  for (std::size_t i = 1; i < aCommands.size(); ++i) {
    const Command& before = aCommands[i - 1];
    const Command& after = aCommands[i];
    if (before.holder == after.holder) {
      continue;
    }
    const bool is_same = InstanceOf(before.holder) == InstanceOf(after.holder);
    if ((!is_same && after.when - before.when < aGap) ||
        after.token <= before.token) {
      return false;
    }
  }
  return true;
}

std::vector<Step>
AnySteps()
{
  return *rc::gen::resize(
    200,
    rc::gen::container<std::vector<Step>>(rc::gen::build(
      rc::gen::construct<Step>(),
      rc::gen::set(&Step::instance,
                   rc::gen::inRange<std::size_t>(0, kInstances)),
      rc::gen::set(&Step::pause_ms,
                   rc::gen::weightedOneOf<int>(
                     { { 8, rc::gen::inRange(0, 400) },
                       { 1, rc::gen::inRange(400, 9000) } })),
      rc::gen::set(&Step::restarts,
                   rc::gen::map(rc::gen::inRange(0, 12),
                                [](int aDraw) { return aDraw == 0; })),
      rc::gen::set(&Step::reads, rc::gen::arbitrary<bool>()),
      rc::gen::set(&Step::answer_lost,
                   rc::gen::map(rc::gen::inRange(0, 5),
                                [](int aDraw) { return aDraw == 0; })),
      rc::gen::set(&Step::write_delay_ms, rc::gen::inRange(0, 900)))));
}

bool
HoldsForAnySteps(const CoordinatorLeaseOptions& aOptions,
                 Duration aGap,
                 bool aBackdates = false)
{
  return rc::check("commands of two holders are separated", [&] {
    Simulation simulation(aOptions, aBackdates);
    for (const Step& step : AnySteps()) {
      simulation.Run(step);
    }
    RC_ASSERT(AreSeparated(simulation.commands, aGap));
  });
}

} // namespace

TEST_GROUP(CoordinatorLease){};

TEST(CoordinatorLease, CommandsOfTwoHoldersAreSeparatedUnderDelays)
{
  const CoordinatorLeaseOptions options;
  CHECK(HoldsForAnySteps(options, options.gap));
}

TEST(CoordinatorLease, CheckDetectsEarlyAcquisition)
{
  CoordinatorLeaseOptions broken;
  const Duration gap = broken.gap;
  broken.gap = Duration(0);
  broken.margin = Duration(0);
  // The property must fail; it prints its counterexample.
  CHECK_FALSE(HoldsForAnySteps(broken, gap));
}

TEST(CoordinatorLease, CheckDetectsBackdatedRow)
{
  const CoordinatorLeaseOptions options;
  CHECK_FALSE(HoldsForAnySteps(options, options.gap, true));
}

TEST(CoordinatorLease, RestartWaitsOnlyForTheRemainingTime)
{
  const CoordinatorLeaseOptions options;
  const Duration whole = options.term + options.gap + options.margin;
  const Instant begun{ std::chrono::seconds(10) };
  const Instant now = begun + whole - milliseconds(100);
  CoordinatorLease lease("i2", options);
  lease.OnRow("i1", 7, now, begun);
  CHECK_FALSE(lease.MayAcquire(now));
  CHECK(lease.MayAcquire(now + milliseconds(100)));
  // Without a write time, or with one in the future, the wait counts from the
  // read.
  CoordinatorLease other("i3", options);
  other.OnRow("i1", 7, now);
  CHECK_FALSE(other.MayAcquire(now + whole - milliseconds(1)));
  CoordinatorLease third("i4", options);
  third.OnRow("i1", 7, now, now + milliseconds(500));
  CHECK_FALSE(third.MayAcquire(now + whole - milliseconds(1)));
  CHECK(third.MayAcquire(now + whole));
}

TEST(CoordinatorLease, RowRoundTripsAndOtherTextNamesAHolder)
{
  const LeaseRow row = LeaseRowOf(ToText(LeaseRow{ "i1/a", 42 }));
  STRCMP_EQUAL("i1/a", row.holder.c_str());
  LONGS_EQUAL(42, *row.begun);
  CHECK_FALSE(LeaseRowOf(ToText(LeaseRow{ "i1/a", {} })).begun.has_value());
  const LeaseRow other = LeaseRowOf("i9/x");
  STRCMP_EQUAL("i9/x", other.holder.c_str());
  CHECK_FALSE(other.begun.has_value());
}

TEST(CoordinatorLease, IsNotAcquiredBeforeTheRowWasRead)
{
  const CoordinatorLease lease("i1", {});
  CHECK_FALSE(lease.MayAcquire(Instant(std::chrono::hours(1))));
}

TEST(CoordinatorLease, LastHolderReacquiresWithNewToken)
{
  const Instant now{ std::chrono::seconds(10) };
  CoordinatorLease lease("i1", {});
  lease.OnRow("", 0, now);
  lease.OnWritten(7, now);
  CHECK(lease.Holds(now));
  const Instant later = now + std::chrono::seconds(10);
  CHECK_FALSE(lease.Holds(later));
  CHECK(lease.MayAcquire(later));
  lease.OnWritten(12, later);
  LONGS_EQUAL(12, lease.FencingToken());
}

// A coordinator that was killed and restarted waited for its own previous run
// as another instance has to: 5 s a kill, of the 11 s that a roll-out may take.
TEST(CoordinatorLease, NewRunDoesNotWaitForItsPreviousRun)
{
  const Instant now{ std::chrono::seconds(10) };
  CoordinatorLease lease("i1@a:1/second", {});
  lease.OnRow("i1@a:1/first", 7, now, now);
  CHECK(lease.MayAcquire(now));
  CHECK_FALSE(lease.Holds(now));
  lease.OnWritten(8, now);
  CHECK(lease.Holds(now));
  LONGS_EQUAL(8, lease.FencingToken());
}

// An instance that was moved to another address may still run at the old one,
// cut off from whoever moved it.
TEST(CoordinatorLease, RunAtAnotherAddressOrOfAnotherInstanceWaits)
{
  const Instant now{ std::chrono::seconds(10) };
  for (const char* self : { "i1@b:1/second", "i11@a:1/second", "i1/second" }) {
    CoordinatorLease lease(self, {});
    lease.OnRow("i1@a:1/first", 7, now, now);
    CHECK_FALSE(lease.MayAcquire(now + milliseconds(4999)));
    CHECK(lease.MayAcquire(now + milliseconds(5000)));
  }
}

TEST(CoordinatorLease, RetiredInstanceRenewsButDoesNotAcquire)
{
  const Instant now{ std::chrono::seconds(10) };
  CoordinatorLease idle("i1", {});
  idle.OnRow("", 0, now);
  idle.Retire();
  CHECK_FALSE(idle.MayAcquire(now));
  CoordinatorLease holder("i2", {});
  holder.OnRow("", 0, now);
  holder.OnWritten(7, now);
  holder.Retire();
  CHECK(holder.MayAcquire(now + milliseconds(500)));
  CHECK_FALSE(holder.MayAcquire(now + milliseconds(1600)));
}

TEST(CoordinatorLease, RenewalKeepsTheToken)
{
  const Instant now{ std::chrono::seconds(10) };
  CoordinatorLease lease("i1", {});
  lease.OnRow("", 0, now);
  lease.OnWritten(7, now);
  lease.OnWritten(8, now + milliseconds(500));
  LONGS_EQUAL(7, lease.FencingToken());
  lease.OnRow("i2", 9, now + milliseconds(600));
  CHECK_FALSE(lease.Holds(now + milliseconds(600)));
}
