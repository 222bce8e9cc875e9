#include "jujubehead/node/counted_table_service.hpp"

#include <CppUTest/TestHarness.h> // for TEST

#include "jujubehead/net/fake_platform.hpp" // for FakeTableService
#include "jujubehead/net/run_awaitable.hpp" // for RunAwaitable
#include "jujubehead/node/metrics.hpp"      // for Metrics

using namespace jujubehead::net;
using namespace jujubehead::node;

TEST_GROUP(CountedTableService)
{
  boost::asio::io_context context;
  std::unique_ptr<Metrics> metrics = Metrics::Create();
  FakeTableService* fake = new FakeTableService;
  std::unique_ptr<TableService> service =
    CountCalls(std::unique_ptr<TableService>(fake), metrics->ForThread());

  TransactOutcome Write()
  {
    Transaction transaction;
    transaction.token = "t";
    transaction.items = { PutItem{ { { "p", "s" }, 1, "{}" }, ItemAbsent{} },
                          CheckItem{ { "p", "x" }, ItemAbsent{} } };
    return RunAwaitable(context, service->Transact(std::move(transaction)));
  }
};

TEST(CountedTableService, CallsAreCountedAndPassedOn)
{
  CHECK(std::holds_alternative<Committed>(Write()));
  CHECK_EQUAL(2U, metrics->Total(Counter::kServiceWrites));
  const auto item = RunAwaitable(context, service->Get({ "p", "s" }));
  CHECK_EQUAL(1U, item->rev);
  CHECK_EQUAL(1U, RunAwaitable(context, service->Query("p", "", 9)).size());
  CHECK_EQUAL(2U, metrics->Total(Counter::kServiceReads));
  CHECK_EQUAL(0U, metrics->Total(Counter::kServiceFailures));
}

TEST(CountedTableService, FailuresAreCountedAndThrown)
{
  fake->down = true;
  CHECK(std::holds_alternative<NotWritten>(Write()));
  CHECK_THROWS(TableServiceError,
               RunAwaitable(context, service->Get({ "p", "s" })));
  CHECK_EQUAL(2U, metrics->Total(Counter::kServiceFailures));
}
