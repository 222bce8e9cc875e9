#include "jujubehead/net/table_service.hpp"

#include <nlohmann/json.hpp> // for json

#include "jujubehead/net/fake_http_client.hpp" // for FakeHttpClient
#include "jujubehead/net/run_awaitable.hpp"    // for RunAwaitable

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::net;
using Json = nlohmann::json;

namespace {

constexpr const char* kItem =
  R"({"pk":{"S":"p"},"sk":{"S":"s"},"rev":{"N":"7"},"body":{"S":"{}"}})";

constexpr const char* kSomeTransaction = R"json(
{"ClientRequestToken":"tok","TransactItems":[
  {"Put":{"TableName":"jujubehead",
    "Item":{"pk":{"S":"p"},"sk":{"S":"a"},"rev":{"N":"8"},"body":{"S":"b"}},
    "ConditionExpression":"#r = :r","ExpressionAttributeNames":{"#r":"rev"},
    "ExpressionAttributeValues":{":r":{"N":"7"}}}},
  {"Put":{"TableName":"jujubehead",
    "Item":{"pk":{"S":"p"},"sk":{"S":"n"},"rev":{"N":"1"},"body":{"S":"c"}},
    "ConditionExpression":"attribute_not_exists(pk)"}},
  {"Delete":{"TableName":"jujubehead",
    "Key":{"pk":{"S":"p"},"sk":{"S":"d"}}}},
  {"ConditionCheck":{"TableName":"jujubehead",
    "Key":{"pk":{"S":"p"},"sk":{"S":"c"}},
    "ConditionExpression":"#r = :r","ExpressionAttributeNames":{"#r":"rev"},
    "ExpressionAttributeValues":{":r":{"N":"2"}}}}]})json";

std::string
Error(const std::string& aKind, const std::string& aMore = "")
{
  return R"({"__type":"com.amazonaws.dynamodb.v20120810#)" + aKind + "\"" +
         aMore + "}";
}

} // namespace

TEST_GROUP(TableService)
{
  boost::asio::io_context context;
  FakeHttpClient client;
  std::unique_ptr<TableService> service =
    TableService::Create(client, "127.0.0.1:9");

  Transaction SomeTransaction() const
  {
    return { "tok",
             { PutItem{ { { "p", "a" }, 8, "b" }, RevIs{ 7 } },
               PutItem{ { { "p", "n" }, 1, "c" }, ItemAbsent{} },
               DeleteItem{ { "p", "d" }, {} },
               CheckItem{ { "p", "c" }, RevIs{ 2 } } } };
  }
  TransactOutcome Transact()
  {
    return RunAwaitable(context, service->Transact(SomeTransaction()));
  }
  TransactOutcome Settled(std::size_t aTries)
  {
    return RunAwaitable(context,
                        TransactSettled(*service, SomeTransaction(), aTries));
  }
  Json Sent(std::size_t aIndex) const
  {
    return Json::parse(client.Calls().at(aIndex).body);
  }
};

TEST(TableService, GetsAnItemOrNone)
{
  client.Next(200, std::string(R"({"Item":)") + kItem + "}");
  client.Next(200, "{}");
  const auto found = RunAwaitable(context, service->Get({ "p", "s" }));
  CHECK(found == Item({ { "p", "s" }, 7, "{}" }));
  CHECK_FALSE(RunAwaitable(context, service->Get({ "p", "x" })).has_value());
  const Json expected = Json::parse(R"({"TableName":"jujubehead",
    "Key":{"pk":{"S":"p"},"sk":{"S":"s"}}})");
  CHECK(Sent(0) == expected);
  CHECK(client.Calls()[0].headers.Find("x-amz-target") ==
        "DynamoDB_20120810.GetItem");
}

TEST(TableService, QueriesInOrder)
{
  client.Next(200, std::string(R"({"Count":1,"Items":[)") + kItem + "]}");
  const auto found = RunAwaitable(context, service->Query("p", "r", 5));
  CHECK_EQUAL(1U, found.size());
  const Json expected = Json::parse(R"({"TableName":"jujubehead","Limit":5,
    "KeyConditionExpression":"pk = :p AND sk > :s",
    "ExpressionAttributeValues":{":p":{"S":"p"},":s":{"S":"r"}}})");
  CHECK(Sent(0) == expected);
}

TEST(TableService, AFailedReadThrows)
{
  client.Next(500, "");
  client.Next(200, "not JSON");
  client.Next(200, R"({"Item":{"pk":{"S":"p"}}})");
  client.NextFails(false);
  for (int i = 0; i < 4; ++i) {
    CHECK_THROWS(TableServiceError,
                 RunAwaitable(context, service->Get({ "p", "s" })));
  }
}

TEST(TableService, WritesAsTheInterfaceHasIt)
{
  client.Next(200, "{}");
  CHECK(std::holds_alternative<Committed>(Transact()));
  const Json expected = Json::parse(kSomeTransaction);
  CHECK(Sent(0) == expected);
}

TEST(TableService, TellsOutcomesApart)
{
  client.Next(400,
              Error("TransactionCanceledException",
                    R"(,"CancellationReasons":[{"Code":"None"},
                      {"Code":"ConditionalCheckFailed"}])"));
  const auto failed = std::get<ConditionFailed>(Transact());
  CHECK(failed.indices == std::vector<std::size_t>{ 1 });
  client.Next(400, Error("ProvisionedThroughputExceededException"));
  CHECK(std::holds_alternative<Throttled>(Transact()));
  client.Next(400, Error("ValidationException"));
  CHECK(std::holds_alternative<NotWritten>(Transact()));
  client.Next(400, "<html>");
  CHECK(std::holds_alternative<UnknownOutcome>(Transact()));
  client.Next(503, "");
  CHECK(std::holds_alternative<UnknownOutcome>(Transact()));
  client.NextFails(true);
  CHECK(std::holds_alternative<UnknownOutcome>(Transact()));
  client.NextFails(false);
  CHECK(std::holds_alternative<NotWritten>(Transact()));
}

TEST(TableService, ALostAnswerIsSettledUnderTheSameToken)
{
  client.NextFails(true);
  client.Next(200, "{}");
  CHECK(std::holds_alternative<Committed>(Settled(3)));
  CHECK(Sent(0) == Sent(1));
}

TEST(TableService, AThrottledRepeatSaysNothingOfTheFirstTry)
{
  client.NextFails(true);
  client.Next(400, Error("ThrottlingException"));
  CHECK(std::holds_alternative<UnknownOutcome>(Settled(2)));
  client.Next(400, Error("ThrottlingException"));
  CHECK(std::holds_alternative<Throttled>(Settled(2)));
}

TEST(TableService, ReadsBackItsOwnBody)
{
  client.Next(200, std::string(R"({"Item":)") + kItem + "}");
  client.Next(200, std::string(R"({"Item":)") + kItem + "}");
  client.Next(200, "{}");
  const auto read_back = [&](std::string aBody) {
    return RunAwaitable(
      context, ReadBack(*service, { { "p", "s" }, 7, std::move(aBody) }));
  };
  CHECK(std::holds_alternative<Committed>(read_back("{}")));
  CHECK(std::holds_alternative<NotWritten>(read_back("other")));
  CHECK(std::holds_alternative<NotWritten>(read_back("{}")));
}
