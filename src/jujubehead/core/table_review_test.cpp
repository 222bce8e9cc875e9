#include "jujubehead/core/table_review.hpp"

#include <CppUTest/TestHarness.h> // for TEST

#include "jujubehead/core/table_publish.hpp" // for ChangesBetween

using namespace jujubehead::core;

namespace {

Table
Read(const std::string& aRows)
{
  return Table::FromCsv(
           "t.csv",
           "account,model,version,adapter,weight,max_running,max_waiting,"
           "priority,deadline_ms,recompute_price,key_hash\n" +
             aRows)
    .value();
}

} // namespace

TEST_GROUP(TableReview){};

TEST(TableReview, RendersRowsAndShareChanges)
{
  const Table old = Read("*,m,v1,,1,8,,,,,\n"
                         "big,m,,,6,,,,,,\n"
                         "gone,m,,,2,4,,,,,\n"
                         "same,m,,,2,,,,,,\n");
  const Table now =
    Read("*,m,v2,,1,8,,,,,\n"
         "big,m,,,2,,,,,,h1.c2FsdHNhbHQ.0123456789abcdef012345\n"
         "new,m,,,,,,,,,\n"
         "same,m,,,2,,,,,,\n");
  const std::string expected =
    "model m\n"
    "  ~ *                    version v1 -> v2\n"
    "  ~ big                  weight 6 -> 2, key_hash none -> set; share "
    "60.0% -> 40.0%\n"
    "  - gone                 weight 2, max_running 4; share 20.0% -> 0.0%\n"
    "  + new                  all as the model's; share 0.0% -> 20.0%\n"
    "    same: share 20.0% -> 40.0%, by the others\n"
    "4 rows differ: 1 added, 1 removed, 2 changed\n";
  STRCMP_EQUAL(expected.c_str(), RenderReview(old, now).c_str());
  STRCMP_EQUAL("no row differs\n", RenderReview(now, now).c_str());
}

TEST(TableReview, ABarredAccountHasNoShare)
{
  const Table table = Read("*,m,v1,,1,8,,,,,\na,m,,,3,0,,,,,\nb,m,,,1,,,,,,\n");
  CHECK_EQUAL(0.0, SharePercent(table, AccountId("a"), ModelId("m")));
  CHECK_EQUAL(100.0, SharePercent(table, AccountId("b"), ModelId("m")));
  CHECK_EQUAL(0.0, SharePercent(table, AccountId("b"), ModelId("n")));
}

TEST(TableReview, ListsRowsChangedSinceTheBase)
{
  const Table base =
    Read("*,m,v1,,1,8,,,,,\na,m,,,1,,,,,,\nb,m,,,1,,,,,,\nc,m,,,1,,,,,,\n");
  const Table wanted = Read("*,m,v1,,1,8,,,,,\na,m,,,2,,,,,,\nb,m,,,2,,,,,,\n");
  TableSnapshot current;
  current.table = Read("*,m,v1,,1,8,,,,,\na,m,,,7,,,,,,\nb,m,,,2,,,,,,\n");
  const auto moved = ChangedSince(base, current, ChangesBetween(base, wanted));
  CHECK_EQUAL(1U, moved.size());
  CHECK_EQUAL(std::string("row a,m"), moved[0]);
}
