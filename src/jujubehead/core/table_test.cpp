#include "jujubehead/core/table.hpp"

#include <string> // for string

#include "jujubehead/core/account_key.hpp" // for HashKey
#include "jujubehead/core/table_diff.hpp"  // for Diff

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

using namespace jujubehead::core;

namespace {

const std::string kHeader = "account,model,version,adapter,weight,max_running,"
                            "max_waiting,priority,deadline_ms,"
                            "recompute_price,key_hash\n";

std::string
FindingsOf(const std::string& aRows)
{
  const auto table = Table::FromCsv("t.csv", kHeader + aRows);
  return table.has_error() ? Render(table.error()) : std::string();
}

Table
Read(const std::string& aRows)
{
  return Table::FromCsv("t.csv", kHeader + aRows).value();
}

const TableRow&
RowOf(const Table& aTable, const char* aAccount, const char* aModel)
{
  const TableRow* row = aTable.Find(AccountId(aAccount), ModelId(aModel));
  CHECK(row != nullptr);
  return *row;
}

} // namespace

TEST_GROUP(Table){};

TEST(Table, EmptyCellsTakeTheModelsValues)
{
  const Table table = Read("*,m,v1,ad,2,8,50,1,9000,3.5,\n"
                           "a,m,,,,,,,,,\n"
                           "b,m,v2,-,5,3,10,-4,100,0,\n");
  const TableRow& inherits = RowOf(table, "a", "m");
  CHECK_EQUAL(std::string("v1"), inherits.version);
  CHECK_EQUAL(std::string("ad"), inherits.adapter);
  CHECK_EQUAL(2U, inherits.weight);
  CHECK_EQUAL(8U, inherits.max_running);
  CHECK(inherits.deadline == std::chrono::seconds(9));
  const TableRow& own = RowOf(table, "b", "m");
  CHECK_EQUAL(std::string("v2"), own.version);
  CHECK_EQUAL(std::string(), own.adapter);
  CHECK_EQUAL(-4, own.priority);
  CHECK_EQUAL(0.0, own.recompute_price);
  CHECK(table.Find(AccountId("c"), ModelId("m")) == nullptr);
  CHECK_EQUAL(1U, table.Models().size());
}

TEST(Table, AChangedModelRowReachesTheAccountsThatInherit)
{
  const Table before = Read("*,m,v1,,1,8,,,,,\na,m,,,,,,,,,\nb,m,,,,2,,,,,\n");
  TableRow defaults = *before.ModelDefaults(ModelId("m"));
  defaults.max_running = 16;
  const Table after = before.With(std::span(&defaults, 1), {});
  CHECK_EQUAL(16U, RowOf(after, "a", "m").max_running);
  CHECK_EQUAL(2U, RowOf(after, "b", "m").max_running);
  CHECK_EQUAL(8U, RowOf(before, "a", "m").max_running);
  CHECK_EQUAL(1U, Diff(before, after).size());
}

TEST(Table, CsvRoundTripGivesTheSameTable)
{
  const std::string rows =
    "*,m,v1,,1,8,64,0,20000,0.25,\n"
    "a,m,,-,3,,,,,,h1.c2FsdHNhbHQ.0123456789abcdef012345\n"
    "*,service:s,,,,5,,,,,\n";
  const Table table = Read(rows);
  const Table again = Table::FromCsv("again", table.ToCsv()).value();
  CHECK(Diff(table, again).empty());
  CHECK_EQUAL(table.ToCsv(), again.ToCsv());
}

TEST(Table, AnAccountsKeyMayBeInAnyOfItsRows)
{
  const std::string hash = HashKey("secret", "c2FsdHNhbHQ");
  const Table table = Read("*,m,v1,,,8,,,,,\n*,n,v1,,,8,,,,,\n"
                           "a,m,,,,,,,,,\na,n,,,,,,,,," +
                           hash + "\n");
  CHECK(table.KeyHash(AccountId("a")) == hash);
  CHECK(table.KeyHash(AccountId("b")).empty());
  CHECK_EQUAL(2U, table.RowsOf(AccountId("a")).size());
}

TEST(Table, EveryFindingHasRowColumnAndExpectedForm)
{
  const std::string found = FindingsOf("*,m,v1,,1,8,,,,,\n"
                                       "a,m,,,0,9,x,1001,0,-1,plain\n"
                                       "\n"
                                       "b!,m,,,,,,,,,\n"
                                       "c,n,,,,,,,,,\n"
                                       "a,m,,,,,,,,,\n"
                                       "d,m\n");
  const std::string expected =
    "t.csv:3:5: weight is '0' (expected a whole number from 1 to 1000000)\n"
    "t.csv:3:7: max_waiting is 'x' (expected a whole number from 0 to 100000)\n"
    "t.csv:3:8: priority is '1001' (expected a whole number from -1000 to "
    "1000)\n"
    "t.csv:3:9: deadline_ms is '0' (expected a whole number from 1 to "
    "86400000)\n"
    "t.csv:3:10: recompute_price is '-1' (expected a number from 0 to 1000000, "
    "such as 250 or 0.5)\n"
    "t.csv:3:11: key_hash is 'plain' (expected 'h1.<salt>.<hash>' as "
    "`jujubehead key ACCOUNT` prints it)\n"
    "t.csv:5:1: account is 'b!' (expected '*' or 1 to 64 of the letters a-z "
    "A-Z 0-9 - _ .)\n"
    "t.csv:6:2: model 'n' has no row of account '*' (expected a row "
    "'*,n,...' with the model's limits)\n"
    "t.csv:7:1: account 'a' has another row of model 'm' in row 3 (expected "
    "one row for each account and model)\n"
    "t.csv:8: the row has 2 cells (expected 11, as many as the first line)\n";
  STRCMP_EQUAL(expected.c_str(), found.c_str());
}

TEST(Table, ChecksRowsAgainstEachOther)
{
  const std::string hash = HashKey("s", "c2FsdHNhbHQ");
  const std::string found =
    FindingsOf("*,m,v1,,1,8,4,,,,\n*,n,,,,,,,,," + hash +
               "\n*,service:s,v1,a,,0,,,,,\na,m,,,,9,5,,,," + hash +
               "\na,service:s,,,,,,,,,h1.c2FsdHNhbHQ.0123456789abcdef012345\n");
  const std::string expected =
    "t.csv:3:3: no version (expected a weight version)\n"
    "t.csv:3:6: no limit of the whole target (expected a whole number from 1)\n"
    "t.csv:3:11: a model's row has a key (expected an empty cell; keys belong "
    "to accounts)\n"
    "t.csv:4:3: the row of a plain service names a value for version (expected "
    "an empty cell)\n"
    "t.csv:4:4: the row of a plain service names a value for adapter (expected "
    "an empty cell)\n"
    "t.csv:4:6: the limit of the whole target is 0 (expected a whole number "
    "from 1; bar single accounts by 0 in their rows)\n"
    "t.csv:5:6: 9 is more than the whole target may run (expected at most 8, "
    "the limit of row '*,m')\n"
    "t.csv:5:7: 5 is more than may wait before the whole target (expected at "
    "most 4, the limit of row '*,m')\n"
    "t.csv:6:11: account 'a' has another key in row 5 (expected the same key "
    "in all rows of an account, or in one of them)\n";
  STRCMP_EQUAL(expected.c_str(), found.c_str());
}

TEST(Table, ReportsATooHighSumOfWeightsOnce)
{
  std::string rows = "*,m,v1,,,8,,,,,\n";
  for (int i = 0; i < 1002; ++i) {
    rows += "a" + std::to_string(i) + ",m,,,1000000,,,,,,\n";
  }
  STRCMP_EQUAL("t.csv:1003:5: the weights of model 'm' add up to more than "
               "1000000000 from this row on (expected smaller weights; only "
               "their ratios count)\n",
               FindingsOf(rows).c_str());
}

TEST(Table, ColumnsMayBeInAnyOrderButEachOnce)
{
  const auto swapped = Table::FromCsv(
    "t.csv",
    "model,account,version,adapter,weight,max_running,max_waiting,priority,"
    "deadline_ms,recompute_price,key_hash\r\nm,*,v1,,,8,,,,,\r\n");
  CHECK(swapped.has_value());
  const auto wrong = Table::FromCsv(
    "t.csv",
    "account,model,version,adapter,weight,max_runing,max_waiting,priority,"
    "weight,recompute_price,key_hash\n");
  const std::string found = Render(wrong.error());
  CHECK(found.find("t.csv:1:6: unknown column 'max_runing'") !=
        std::string::npos);
  CHECK(found.find("t.csv:1:9: column 'weight' appears twice, first in column "
                   "5") != std::string::npos);
  CHECK(found.find("t.csv:1: no column 'max_running'") != std::string::npos);
  CHECK(found.find("t.csv:1: no column 'deadline_ms'") != std::string::npos);
}

TEST(Table, MalformedCsvIsAFindingWithItsLine)
{
  CHECK(FindingsOf("*,m,v\"1,,,8,,,,,\n").starts_with("t.csv:2: not comma"));
  const auto empty = Table::FromCsv("t.csv", "\n\n");
  CHECK(Render(empty.error()).starts_with("t.csv:1: the table is empty"));
}

TEST(Table, ReportsAnUnterminatedQuote)
{
  CHECK(FindingsOf("*,m,v1,,,8,,,,,\n\"a,m,,,,,,,,,\n") // the quote never ends
          .starts_with("t.csv:3: not comma"));
}

TEST(Table, AnyTextGivesATableOrFindingsWithPlaces)
{
  CHECK(rc::check([] {
    std::string text =
      kHeader + "*,m,v1,,1,8,64,0,20000,0.25,\n\"a\",m,,-,3,,,,,,\n";
    const auto edits = *rc::gen::inRange(0, 6);
    for (int i = 0; i < edits; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      const auto length = *rc::gen::inRange<std::size_t>(0, 4);
      text.replace(at,
                   length,
                   *rc::gen::container<std::string>(rc::gen::element(
                     '"', ',', '\n', '\r', '*', '9', '-', 'a', '\0', ' ')));
    }
    const auto table = Table::FromCsv("t.csv", text);
    if (table.has_error()) {
      RC_ASSERT(!table.error().empty());
      for (const Finding& finding : table.error()) {
        RC_ASSERT(finding.place.row >= 1);
        RC_ASSERT(finding.place.row <= text.size() + 1);
      }
    } else {
      RC_ASSERT(table->Check("t").empty());
      RC_ASSERT(
        Diff(*table, Table::FromCsv("again", table->ToCsv()).value()).empty());
    }
  }));
}
