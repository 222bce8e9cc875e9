#include "standin/table_model.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::standin;
using nlohmann::json;

namespace {

json
KeyJson(const std::string& aSortKey)
{
  return { { "pk", { { "S", "p" } } }, { "sk", { { "S", aSortKey } } } };
}

json
Put(const std::string& aSortKey, int aRevision)
{
  json item = KeyJson(aSortKey);
  item["rev"] = { { "N", std::to_string(aRevision) } };
  item["body"] = { { "S", "{}" } };
  return { { "Put", { { "TableName", "jujubehead" }, { "Item", item } } } };
}

json
IfAbsent(json aPut)
{
  aPut["Put"]["ConditionExpression"] = "attribute_not_exists(pk)";
  return aPut;
}

json
IfRevision(json aPut, int aRevision)
{
  aPut["Put"]["ConditionExpression"] = "#r = :r";
  aPut["Put"]["ExpressionAttributeNames"] = { { "#r", "rev" } };
  aPut["Put"]["ExpressionAttributeValues"] = {
    { ":r", { { "N", std::to_string(aRevision) } } }
  };
  return aPut;
}

} // namespace

TEST_GROUP(TableModel)
{
  TableModel table{ TableOptions{} };

  TableReply Transact(const json& aItems, const std::string& aToken = "")
  {
    return table.Call(
      "TransactWriteItems",
      { { "ClientRequestToken", aToken }, { "TransactItems", aItems } },
      1000);
  }
  bool Has(const std::string& aSortKey)
  {
    return table.Call("GetItem", { { "Key", KeyJson(aSortKey) } }, 1000)
      .body.contains("Item");
  }
};

TEST(TableModel, ATransactionIsAllOrNothing)
{
  LONGS_EQUAL(200, Transact(json::array({ Put("a", 1) })).status);
  const TableReply reply = Transact({ Put("b", 1), IfAbsent(Put("a", 2)) });
  LONGS_EQUAL(400, reply.status);
  const json& reasons = reply.body.at("CancellationReasons");
  CHECK(reasons.at(0).at("Code") == "None");
  CHECK(reasons.at(1).at("Code") == "ConditionalCheckFailed");
  CHECK(!Has("b"));
}

TEST(TableModel, ARevisionIsCompared)
{
  Transact(json::array({ Put("a", 1) }));
  LONGS_EQUAL(400,
              Transact(json::array({ IfRevision(Put("a", 3), 2) })).status);
  LONGS_EQUAL(200,
              Transact(json::array({ IfRevision(Put("a", 2), 1) })).status);
  LONGS_EQUAL(400,
              Transact(json::array({ IfRevision(Put("new", 1), 1) })).status);
}

TEST(TableModel, ARepeatedTokenWritesOnce)
{
  const json items = json::array({ IfAbsent(Put("a", 1)) });
  LONGS_EQUAL(200, Transact(items, "t1").status);
  LONGS_EQUAL(200, Transact(items, "t1").status);
  LONGS_EQUAL(400, Transact(items, "t2").status);
  LONGS_EQUAL(1, table.Stats()["items_written"].get<int>());
}

TEST(TableModel, AQueryGoesOnWhereItsLimitEnded)
{
  Transact({ Put("a", 1), Put("b", 1), Put("c", 1) });
  json query{ { "KeyConditionExpression", "pk = :p AND sk > :s" },
              { "ExpressionAttributeValues",
                { { ":p", { { "S", "p" } } }, { ":s", { { "S", "" } } } } },
              { "Limit", 2 } };
  const json first = table.Call("Query", query, 1000).body;
  LONGS_EQUAL(2, first.at("Count").get<int>());
  query["ExpressionAttributeValues"][":s"] =
    first.at("LastEvaluatedKey").at("sk");
  const json rest = table.Call("Query", query, 1000).body;
  CHECK(rest.at("Items").at(0).at("sk").at("S") == "c");
  CHECK(!rest.contains("LastEvaluatedKey"));
}

TEST(TableModel, AboveItsRateItThrottles)
{
  table = TableModel(TableOptions{ 2, 0 });
  LONGS_EQUAL(200, Transact(json::array({ Put("a", 1), Put("b", 1) })).status);
  LONGS_EQUAL(400, Transact(json::array({ Put("c", 1) })).status);
}

TEST(TableModel, OtherConditionsAreRefused)
{
  json put = Put("a", 1);
  put["Put"]["ConditionExpression"] = "size(pk) > 3";
  const TableReply reply = Transact(json::array({ put }));
  LONGS_EQUAL(400, reply.status);
  CHECK(!Has("a"));
}
