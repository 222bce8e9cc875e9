#include "bench/agreement/table_run.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::bench;

TEST_GROUP(TableRun){};

TEST(TableRun, ChangesComeInForceEverywhereAndNeverRevert)
{
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    TableRunOptions options;
    options.accounts = 20;
    options.seed = seed;
    const TableRunFigures figures = RunTable(options);
    CHECK(figures.accepted > 80);
    CHECK_EQUAL(0U, figures.reverts);
    CHECK_EQUAL(0U, figures.half_applied);
    CHECK_EQUAL(0U, figures.doubled);
    CHECK(figures.in_force_s_p99 < 2);
  }
}

TEST(TableRun, TheSameSeedGivesTheSameFigures)
{
  TableRunOptions options;
  options.accounts = 20;
  const TableRunFigures one = RunTable(options);
  const TableRunFigures other = RunTable(options);
  CHECK_EQUAL(one.accepted, other.accepted);
  CHECK_EQUAL(one.in_force_s_p99, other.in_force_s_p99);
  CHECK_EQUAL(one.bytes_per_second_per_node, other.bytes_per_second_per_node);
}
