#include "jujubehead/core/weights/order_lease.hpp"

#include <string> // for string
#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

using namespace jujubehead::core;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kInstances = 3;

/// How far ahead of its moment a writer may think the store's clock to be, and
/// a reader behind: what the bounds of RemoteClock allow.
constexpr milliseconds kClockDoubt{ 300 };

/// One instance's turn: it may first be paused, start anew, read the row late,
/// or lose the answer of its write.
struct Turn
{
  std::size_t instance = 0;
  int pause_ms = 0;
  bool restarts = false;
  bool reads = false;
  bool answer_lost = false;
  int write_delay_ms = 0;
};

struct Order
{
  std::string holder; ///< This start of an instance.
  Instant when;
  std::uint64_t token = 0;
};

/// The row, and what instances do about it.
class World
{
public:
  /// @param aTellsEarly whether writers tell a moment before they began: a
  /// fault.
  explicit World(OrderLeaseOptions aOptions, bool aTellsEarly = false)
    : m_options(aOptions)
    , m_tells_early(aTellsEarly)
  {
    for (std::size_t i = 0; i < kInstances; ++i) {
      leases.push_back(NewLease(i));
    }
  }

  void Take(const Turn& aTurn)
  {
    now += milliseconds(aTurn.pause_ms);
    OrderLease& lease = leases[aTurn.instance];
    if (aTurn.restarts) {
      lease = NewLease(aTurn.instance);
    }
    if (aTurn.reads) {
      lease.OnRow(holder, version, now, begun);
    }
    if (lease.MayTake(now) && lease.IsRenewalDue(now)) {
      Write(aTurn, lease);
    }
    if (lease.Holds(now)) {
      orders.push_back({ lease.Self(), now, lease.FencingToken() });
    }
  }

  std::vector<OrderLease> leases;
  std::vector<Order> orders;
  Instant now{ std::chrono::seconds(100) };
  std::string holder;
  std::uint64_t version = 0;
  std::optional<Instant> begun; ///< As the row tells it.

private:
  OrderLease NewLease(std::size_t aInstance)
  {
    const std::string start = std::to_string(++m_starts);
    return { "i" + std::to_string(aInstance) + "/" + start, m_options };
  }

  void Write(const Turn& aTurn, OrderLease& aLease)
  {
    const Instant began = now;
    now += milliseconds(aTurn.write_delay_ms);
    if (aLease.RowVersion() != version) {
      return;
    }
    holder = aLease.Self();
    ++version;
    begun =
      began + (aTurn.write_delay_ms % 2 == 0 ? kClockDoubt : milliseconds(0));
    if (m_tells_early) {
      begun = began - std::chrono::seconds(4);
    }
    if (!aTurn.answer_lost) {
      aLease.OnWritten(version, began);
    }
  }

  OrderLeaseOptions m_options;
  bool m_tells_early;
  std::size_t m_starts = 0;
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
      rc::gen::set(&Turn::restarts,
                   rc::gen::map(rc::gen::inRange(0, 12),
                                [](int aDraw) { return aDraw == 0; })),
      rc::gen::set(&Turn::reads, rc::gen::arbitrary<bool>()),
      rc::gen::set(&Turn::answer_lost,
                   rc::gen::map(rc::gen::inRange(0, 5),
                                [](int aDraw) { return aDraw == 0; })),
      rc::gen::set(&Turn::write_delay_ms, rc::gen::inRange(0, 900)))));
}

bool
SurvivesAnyTurns(const OrderLeaseOptions& aOptions,
                 Duration aGap,
                 bool aTellsEarly = false)
{
  return rc::check("orders of two holders keep apart", [&] {
    World world(aOptions, aTellsEarly);
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

TEST(OrderLease, TheCheckFindsARowThatTellsAMomentBeforeItsWrite)
{
  const OrderLeaseOptions options;
  CHECK_FALSE(SurvivesAnyTurns(options, options.gap, true));
}

TEST(OrderLease, AfterARestartOnlyTheRestOfTheTimeIsWaited)
{
  const OrderLeaseOptions options;
  const Duration whole = options.term + options.gap + options.margin;
  const Instant begun{ std::chrono::seconds(10) };
  const Instant now = begun + whole - milliseconds(100);
  OrderLease lease("i2", options);
  lease.OnRow("i1", 7, now, begun);
  CHECK_FALSE(lease.MayTake(now));
  CHECK(lease.MayTake(now + milliseconds(100)));
  // Without the moment, or with one ahead, it is waited out from the reading.
  OrderLease other("i3", options);
  other.OnRow("i1", 7, now);
  CHECK_FALSE(other.MayTake(now + whole - milliseconds(1)));
  OrderLease third("i4", options);
  third.OnRow("i1", 7, now, now + milliseconds(500));
  CHECK_FALSE(third.MayTake(now + whole - milliseconds(1)));
  CHECK(third.MayTake(now + whole));
}

TEST(OrderLease, ItsRowIsReadBackAndOtherTextNamesAHolder)
{
  const LeaseRow row = LeaseRowOf(ToText(LeaseRow{ "i1/a", 42 }));
  STRCMP_EQUAL("i1/a", row.holder.c_str());
  LONGS_EQUAL(42, *row.begun);
  CHECK_FALSE(LeaseRowOf(ToText(LeaseRow{ "i1/a", {} })).begun.has_value());
  const LeaseRow other = LeaseRowOf("i9/x");
  STRCMP_EQUAL("i9/x", other.holder.c_str());
  CHECK_FALSE(other.begun.has_value());
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
