#include "jujubehead/core/weights/order_lease.hpp"

#include <string> // for string
#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

using namespace jujubehead::core;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kInstances = 3;

/// One instance's turn: it may first be paused, read the row late, or lose the
/// answer of its write.
struct Turn
{
  std::size_t instance = 0;
  int pause_ms = 0;
  bool reads = false;
  bool answer_lost = false;
  int write_delay_ms = 0;
};

struct Order
{
  std::size_t holder = 0;
  Instant when;
  std::uint64_t token = 0;
};

/// The row, and what instances do about it.
class World
{
public:
  explicit World(OrderLeaseOptions aOptions)
  {
    for (std::size_t i = 0; i < kInstances; ++i) {
      leases.emplace_back("i" + std::to_string(i), aOptions);
    }
  }

  void Take(const Turn& aTurn)
  {
    now += milliseconds(aTurn.pause_ms);
    OrderLease& lease = leases[aTurn.instance];
    if (aTurn.reads) {
      lease.OnRow(holder, version, now);
    }
    if (lease.MayTake(now) && lease.IsRenewalDue(now)) {
      Write(aTurn, lease);
    }
    if (lease.Holds(now)) {
      orders.push_back({ aTurn.instance, now, lease.FencingToken() });
    }
  }

  std::vector<OrderLease> leases;
  std::vector<Order> orders;
  Instant now{ std::chrono::seconds(100) };
  std::string holder;
  std::uint64_t version = 0;

private:
  void Write(const Turn& aTurn, OrderLease& aLease)
  {
    const Instant begun = now;
    now += milliseconds(aTurn.write_delay_ms);
    if (aLease.RowVersion() != version) {
      return;
    }
    holder = aLease.Self();
    ++version;
    if (!aTurn.answer_lost) {
      aLease.OnWritten(version, begun);
    }
  }
};

bool
KeepApart(const std::vector<Order>& aOrders, Duration aGap)
{
  for (std::size_t i = 1; i < aOrders.size(); ++i) {
    const Order& before = aOrders[i - 1];
    const Order& after = aOrders[i];
    if (before.holder == after.holder) {
      continue;
    }
    if (after.when - before.when < aGap || after.token <= before.token) {
      return false;
    }
  }
  return true;
}

std::vector<Turn>
AnyTurns()
{
  return *rc::gen::resize(
    200,
    rc::gen::container<std::vector<Turn>>(rc::gen::build(
      rc::gen::construct<Turn>(),
      rc::gen::set(&Turn::instance,
                   rc::gen::inRange<std::size_t>(0, kInstances)),
      rc::gen::set(&Turn::pause_ms,
                   rc::gen::weightedOneOf<int>(
                     { { 8, rc::gen::inRange(0, 400) },
                       { 1, rc::gen::inRange(400, 9000) } })),
      rc::gen::set(&Turn::reads, rc::gen::arbitrary<bool>()),
      rc::gen::set(&Turn::answer_lost,
                   rc::gen::map(rc::gen::inRange(0, 5),
                                [](int aDraw) { return aDraw == 0; })),
      rc::gen::set(&Turn::write_delay_ms, rc::gen::inRange(0, 900)))));
}

bool
SurvivesAnyTurns(const OrderLeaseOptions& aOptions, Duration aGap)
{
  return rc::check("orders of two holders keep apart", [&] {
    World world(aOptions);
    for (const Turn& turn : AnyTurns()) {
      world.Take(turn);
    }
    RC_ASSERT(KeepApart(world.orders, aGap));
  });
}

} // namespace

TEST_GROUP(OrderLease){};

TEST(OrderLease, OrdersOfTwoHoldersKeepApartWhateverComesLate)
{
  const OrderLeaseOptions options;
  CHECK(SurvivesAnyTurns(options, options.gap));
}

TEST(OrderLease, TheCheckFindsALeaseThatIsTakenTooSoon)
{
  OrderLeaseOptions broken;
  const Duration gap = broken.gap;
  broken.gap = Duration(0);
  broken.margin = Duration(0);
  // The property prints its counterexample; it has to find one.
  CHECK_FALSE(SurvivesAnyTurns(broken, gap));
}

TEST(OrderLease, IsNotTakenBeforeTheRowWasSeen)
{
  const OrderLease lease("i1", {});
  CHECK_FALSE(lease.MayTake(Instant(std::chrono::hours(1))));
}

TEST(OrderLease, ItsLastHolderTakesItAgainWithANewToken)
{
  const Instant now{ std::chrono::seconds(10) };
  OrderLease lease("i1", {});
  lease.OnRow("", 0, now);
  lease.OnWritten(7, now);
  CHECK(lease.Holds(now));
  const Instant later = now + std::chrono::seconds(10);
  CHECK_FALSE(lease.Holds(later));
  CHECK(lease.MayTake(later));
  lease.OnWritten(12, later);
  LONGS_EQUAL(12, lease.FencingToken());
}

TEST(OrderLease, AnInstanceThatEndsDoesNotTakeItButGoesOnWithIt)
{
  const Instant now{ std::chrono::seconds(10) };
  OrderLease idle("i1", {});
  idle.OnRow("", 0, now);
  idle.Retire();
  CHECK_FALSE(idle.MayTake(now));
  OrderLease holder("i2", {});
  holder.OnRow("", 0, now);
  holder.OnWritten(7, now);
  holder.Retire();
  CHECK(holder.MayTake(now + milliseconds(500)));
  CHECK_FALSE(holder.MayTake(now + milliseconds(1600)));
}

TEST(OrderLease, ARenewalKeepsTheToken)
{
  const Instant now{ std::chrono::seconds(10) };
  OrderLease lease("i1", {});
  lease.OnRow("", 0, now);
  lease.OnWritten(7, now);
  lease.OnWritten(8, now + milliseconds(500));
  LONGS_EQUAL(7, lease.FencingToken());
  lease.OnRow("i2", 9, now + milliseconds(600));
  CHECK_FALSE(lease.Holds(now + milliseconds(600)));
}
