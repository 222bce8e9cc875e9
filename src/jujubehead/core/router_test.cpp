#include "jujubehead/core/router.hpp"

#include <rapidcheck.h> // for rc::check

// Last: its macros change the meaning of new.
#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using namespace std::chrono_literals;

namespace {

constexpr double kRate = 1000;

TargetView
Target(const char* aName, Duration aWait, std::uint32_t aCached)
{
  return {
    TargetId(aName), DataCentreId("d"), aWait, kRate, aCached, true, 0, 8
  };
}

/// A copy whose blocks transfer in a tenth of the time to compute them.
StoredCopy
Copy(std::uint32_t aBlocks, Duration aLinkWait)
{
  return { StoreId("s"), "h", 1, aBlocks, aLinkWait, 1000, 10 };
}

RouteQuery
Query()
{
  return { 10, 100, 50, 0, DataCentreId("d") };
}

} // namespace

TEST_GROUP(Router){};

TEST(Router, PrefersTheTargetWithTheCachedContext)
{
  const std::vector targets{ Target("empty", 0ms, 0),
                             Target("has", 500ms, 10) };
  const auto plans = RankRoutes(Query(), targets, {});
  CHECK_EQUAL(2, plans.size());
  CHECK(plans[0].target == TargetId("has"));
  CHECK(plans[0].expected_first_token == 550ms);
  CHECK_EQUAL(0, plans[0].recomputed_blocks);
}

TEST(Router, AvoidsACachedTargetWhoseQueueCostsMoreThanComputing)
{
  const std::vector targets{ Target("empty", 0ms, 0), Target("has", 2s, 10) };
  CHECK(RankRoutes(Query(), targets, {})[0].target == TargetId("empty"));
}

TEST(Router, ARecomputePriceAcceptsALongerWait)
{
  const std::vector targets{ Target("empty", 0ms, 0), Target("has", 2s, 10) };
  RouteQuery query = Query();
  query.recompute_price = 0.002;
  CHECK(RankRoutes(query, targets, {})[0].target == TargetId("has"));
}

TEST(Router, ImportsWhenTheLinkIsFasterThanComputing)
{
  const std::vector targets{ Target("t", 0ms, 2) };
  const std::vector copies{ Copy(8, 100ms) };
  const auto plan = RankRoutes(Query(), targets, copies)[0];
  CHECK_EQUAL(2, plan.cached_blocks);
  CHECK_EQUAL(6, plan.imported_blocks);
  CHECK_EQUAL(2, plan.recomputed_blocks);
  CHECK(plan.import == copies[0]);
}

TEST(Router, RecomputesWhenTheLinkIsBusy)
{
  const std::vector targets{ Target("t", 0ms, 0) };
  const std::vector copies{ Copy(10, 10s) };
  const auto plan = RankRoutes(Query(), targets, copies)[0];
  CHECK_EQUAL(10, plan.recomputed_blocks);
  CHECK(!plan.import);
}

TEST(Router, OverASlowLinkImportsOnlyDuringTheWait)
{
  const std::vector targets{ Target("t", 1s, 0) };
  StoredCopy slow = Copy(10, 0ms);
  slow.bytes_per_second = 50; // 0.2 s a block, against 0.1 s to compute it
  const auto plan = RankRoutes(Query(), targets, std::vector{ slow })[0];
  CHECK_EQUAL(5, plan.imported_blocks);
  CHECK_EQUAL(5, plan.recomputed_blocks);
  CHECK(plan.expected_first_token == 1550ms);
}

TEST(Router, ComputesFirstBlocksWhileLaterOnesAreImported)
{
  std::vector targets{ Target("t", 0ms, 0) };
  const std::vector copies{ Copy(10, 300ms) };
  const auto whole = RankRoutes(Query(), targets, copies)[0];
  CHECK_EQUAL(10, whole.imported_blocks);
  CHECK_EQUAL(0, whole.import_from);
  targets[0].computes_during_import = true;
  const auto mixed = RankRoutes(Query(), targets, copies)[0];
  CHECK_EQUAL(3, mixed.import_from);
  CHECK_EQUAL(7, mixed.imported_blocks);
  CHECK_EQUAL(3, mixed.recomputed_blocks);
  CHECK(mixed.expected_first_token < whole.expected_first_token);
}

TEST(Router, ABusyLinkMakesAnImportMoreExpensive)
{
  const std::vector targets{ Target("t", 0ms, 0), Target("has", 300ms, 10) };
  std::vector copies{ Copy(10, 0ms) };
  CHECK(RankRoutes(Query(), targets, copies)[0].target == TargetId("t"));
  copies[0].link_use = 0.8;
  CHECK(RankRoutes(Query(), targets, copies)[0].target == TargetId("has"));
}

TEST(Router, EqualCostsKeepTheOrderGiven)
{
  const std::vector targets{ Target("z", 0ms, 0), Target("a", 0ms, 0) };
  CHECK(RankRoutes(Query(), targets, {})[0].target == TargetId("z"));
}

TEST(Router, ATargetThatDoesNotAdmitGetsNoPlan)
{
  auto full = Target("t", 0ms, 10);
  full.admits = false;
  CHECK(RankRoutes(Query(), std::vector{ full }, {}).empty());
}

TEST(Router, EveryPlanCoversThePromptExactly)
{
  CHECK(rc::check([](std::uint8_t aBlocks,
                     std::uint8_t aCached,
                     std::uint8_t aCopied,
                     std::uint16_t aWaitMs,
                     std::uint16_t aLinkWaitMs,
                     std::uint16_t aRate) {
    RouteQuery query = Query();
    query.blocks = aBlocks;
    auto copy = Copy(aCopied, aLinkWaitMs * 1ms);
    copy.bytes_per_second = aRate;
    const std::vector targets{ Target("t", aWaitMs * 1ms, aCached) };
    const auto plan = RankRoutes(query, targets, std::vector{ copy })[0];
    RC_ASSERT(plan.cached_blocks + plan.imported_blocks +
                plan.recomputed_blocks ==
              query.blocks);
    RC_ASSERT(plan.cached_blocks + plan.imported_blocks <=
              std::max<std::uint32_t>(aCached, aCopied));
    RC_ASSERT(plan.import.has_value() == (plan.imported_blocks > 0));
    const auto without = RankRoutes(query, targets, {})[0];
    RC_ASSERT(plan.cost <= without.cost);
  }));
}
