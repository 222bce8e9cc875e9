#include "table_service_codec.hpp"

#include <charconv> // for from_chars
#include <utility>  // for move

#include <nlohmann/json.hpp> // for json

namespace jujubehead::net::detail {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kTableName = "jujubehead";
constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;

Json
TextValue(std::string_view aText)
{
  return { { "S", aText } };
}

Json
KeyJson(const ItemKey& aKey)
{
  return { { "pk", TextValue(aKey.pk) }, { "sk", TextValue(aKey.sk) } };
}

Json
ItemJson(const Item& aItem)
{
  Json json = KeyJson(aItem.key);
  json["rev"] = { { "N", std::to_string(aItem.rev) } };
  json["body"] = TextValue(aItem.body);
  return json;
}

std::string
TextOf(const Json& aItem, const char* aName)
{
  return aItem.at(aName).at("S").get<std::string>();
}

std::uint64_t
NumberOf(const Json& aItem, const char* aName)
{
  const auto& text = aItem.at(aName).at("N").get_ref<const std::string&>();
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end) {
    throw TableServiceError("the table service's '" + std::string(aName) +
                            "' is no whole number: " + text);
  }
  return number;
}

Item
ItemOf(const Json& aJson)
{
  return { { TextOf(aJson, "pk"), TextOf(aJson, "sk") },
           NumberOf(aJson, "rev"),
           TextOf(aJson, "body") };
}

/// Adds a condition to an action of a transaction.
struct AddCondition
{
  Json& action;

  void operator()(std::monostate /*aNone*/) const {}
  void operator()(ItemAbsent /*aCondition*/) const
  {
    action["ConditionExpression"] = "attribute_not_exists(pk)";
  }
  void operator()(RevIs aCondition) const
  {
    action["ConditionExpression"] = "#r = :r";
    action["ExpressionAttributeNames"] = { { "#r", "rev" } };
    action["ExpressionAttributeValues"] = {
      { ":r", { { "N", std::to_string(aCondition.rev) } } }
    };
  }
};

struct ActionJson
{
  Json operator()(const PutItem& aAction) const
  {
    return Action("Put", "Item", ItemJson(aAction.item), aAction.condition);
  }
  Json operator()(const DeleteItem& aAction) const
  {
    return Action("Delete", "Key", KeyJson(aAction.key), aAction.condition);
  }
  Json operator()(const CheckItem& aAction) const
  {
    return Action(
      "ConditionCheck", "Key", KeyJson(aAction.key), aAction.condition);
  }

private:
  static Json Action(const char* aKind,
                     const char* aSubjectName,
                     Json aSubject,
                     const Condition& aCondition)
  {
    Json action = { { "TableName", kTableName } };
    action[aSubjectName] = std::move(aSubject);
    std::visit(AddCondition{ action }, aCondition);
    Json json = Json::object();
    json[aKind] = std::move(action);
    return json;
  }
};

/// @return the kind of error, without its namespace.
std::string
ErrorKind(const Json& aBody)
{
  const std::string type = aBody.value("__type", "");
  return type.substr(type.find('#') + 1);
}

bool
IsThrottle(std::string_view aKind)
{
  return aKind == "ProvisionedThroughputExceededException" ||
         aKind == "ThrottlingException" || aKind == "RequestLimitExceeded";
}

TransactOutcome
OutcomeOfCancelled(const Json& aBody)
{
  ConditionFailed failed;
  const Json& reasons = aBody.at("CancellationReasons");
  for (std::size_t i = 0; i < reasons.size(); ++i) {
    if (reasons[i].at("Code") == "ConditionalCheckFailed") {
      failed.indices.push_back(i);
    }
  }
  if (failed.indices.empty()) {
    return NotWritten{ "the table service cancelled the transaction" };
  }
  return failed;
}

TransactOutcome
OutcomeOfError(const Json& aBody)
{
  const std::string kind = ErrorKind(aBody);
  if (kind == "TransactionCanceledException") {
    return OutcomeOfCancelled(aBody);
  }
  if (IsThrottle(kind)) {
    return Throttled{};
  }
  return NotWritten{ "the table service refused the transaction: " + kind };
}

/// @return the reply's JSON if it is a success.
Json
SuccessOf(const HttpResponse& aResponse)
{
  if (aResponse.status != kOk) {
    throw TableServiceError("the table service answered " +
                            std::to_string(aResponse.status) + ": " +
                            aResponse.body.substr(0, 200));
  }
  return Json::parse(aResponse.body);
}

/// Turns what the JSON library throws into this layer's error.
template<typename Read>
auto
Understood(Read aRead)
{
  try {
    return aRead();
  } catch (const Json::exception& error) {
    throw TableServiceError(
      std::string("the table service's reply is not understood: ") +
      error.what());
  }
}

} // namespace

std::string
GetBody(const ItemKey& aKey)
{
  return Json{ { "TableName", kTableName }, { "Key", KeyJson(aKey) } }.dump();
}

std::string
QueryBody(std::string_view aPk, std::string_view aAfterSk, std::size_t aLimit)
{
  return Json{
    { "TableName", kTableName },
    { "KeyConditionExpression", "pk = :p AND sk > :s" },
    { "ExpressionAttributeValues",
      { { ":p", TextValue(aPk) }, { ":s", TextValue(aAfterSk) } } },
    { "Limit", aLimit }
  }.dump();
}

std::string
TransactBody(const Transaction& aTransaction)
{
  Json items = Json::array();
  for (const TransactItem& item : aTransaction.items) {
    items.push_back(std::visit(ActionJson(), item));
  }
  return Json{
    { "ClientRequestToken", aTransaction.token },
    { "TransactItems", std::move(items) }
  }.dump();
}

std::optional<Item>
ItemOfGet(const HttpResponse& aResponse)
{
  return Understood([&]() -> std::optional<Item> {
    const Json body = SuccessOf(aResponse);
    if (!body.contains("Item")) {
      return std::nullopt;
    }
    return ItemOf(body.at("Item"));
  });
}

std::vector<Item>
ItemsOfQuery(const HttpResponse& aResponse)
{
  return Understood([&] {
    const Json body = SuccessOf(aResponse);
    std::vector<Item> items;
    for (const Json& item : body.at("Items")) {
      items.push_back(ItemOf(item));
    }
    return items;
  });
}

TransactOutcome
OutcomeOf(const HttpResponse& aResponse)
{
  if (aResponse.status == kOk) {
    return Committed{};
  }
  if (aResponse.status != kBadRequest) {
    return UnknownOutcome{ "the table service answered " +
                           std::to_string(aResponse.status) };
  }
  try {
    return OutcomeOfError(Json::parse(aResponse.body));
  } catch (const Json::exception&) {
    return UnknownOutcome{ "the table service's refusal is not understood" };
  }
}

} // namespace jujubehead::net::detail
