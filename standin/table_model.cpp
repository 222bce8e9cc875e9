#include "standin/table_model.hpp"

#include <algorithm> // for min, max
#include <set>       // for set
#include <stdexcept> // for invalid_argument

namespace jujubehead::standin {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxTransactItems = 100;
constexpr EpochMs kTokenLifeMs = 600'000;
constexpr double kMsPerSecond = 1000;

json
ErrorBody(const std::string& aType, const std::string& aMessage)
{
  return { { "__type", "com.amazonaws.dynamodb.v20120810#" + aType },
           { "Message", aMessage } };
}

TableReply
Failure(const std::string& aType, const std::string& aMessage)
{
  return { 400, ErrorBody(aType, aMessage) };
}

std::string
Text(const json& aAttribute)
{
  return aAttribute.at("S").get<std::string>();
}

std::pair<std::string, std::string>
KeyOf(const json& aAttributes)
{
  return { Text(aAttributes.at("pk")), Text(aAttributes.at("sk")) };
}

void
CheckItem(const json& aItem)
{
  aItem.at("rev").at("N").get_ref<const std::string&>();
  aItem.at("body").at("S").get_ref<const std::string&>();
}

} // namespace

TableModel::TableModel(TableOptions aOptions)
  : m_writes{ aOptions.writes_per_second, aOptions.writes_per_second, 0 }
  , m_reads{ aOptions.reads_per_second, aOptions.reads_per_second, 0 }
{
}

TableReply
TableModel::Call(const std::string& aOperation, const json& aBody, EpochMs aNow)
{
  try {
    if (aOperation == "GetItem") {
      return GetItem(aBody, aNow);
    }
    if (aOperation == "Query") {
      return Query(aBody, aNow);
    }
    if (aOperation == "TransactWriteItems") {
      return Transact(aBody, aNow);
    }
  } catch (const json::exception& error) {
    return Failure("ValidationException", error.what());
  } catch (const std::invalid_argument& error) {
    return Failure("ValidationException", error.what());
  }
  return Failure("UnknownOperationException", aOperation);
}

json
TableModel::Stats() const
{
  return { { "items", m_items.size() },
           { "read_calls", m_read_calls },
           { "write_calls", m_write_calls },
           { "items_written", m_items_written },
           { "conditions_failed", m_conditions_failed },
           { "throttled", m_throttled },
           { "repeated_tokens", m_repeated } };
}

TableReply
TableModel::GetItem(const json& aBody, EpochMs aNow)
{
  ++m_read_calls;
  if (!Take(m_reads, 1, aNow)) {
    ++m_throttled;
    return Failure("ProvisionedThroughputExceededException", "reads");
  }
  const auto found = m_items.find(KeyOf(aBody.at("Key")));
  if (found == m_items.end()) {
    return { 200, json::object() };
  }
  return { 200, { { "Item", found->second } } };
}

TableReply
TableModel::Query(const json& aBody, EpochMs aNow)
{
  ++m_read_calls;
  if (!Take(m_reads, 1, aNow)) {
    ++m_throttled;
    return Failure("ProvisionedThroughputExceededException", "reads");
  }
  if (aBody.at("KeyConditionExpression") != "pk = :p AND sk > :s") {
    throw std::invalid_argument("KeyConditionExpression");
  }
  const json& values = aBody.at("ExpressionAttributeValues");
  const std::string partition = Text(values.at(":p"));
  const auto limit = aBody.value("Limit", std::size_t{ 1000 });
  json items = json::array();
  json reply = json::object();
  for (auto it = m_items.upper_bound({ partition, Text(values.at(":s")) });
       it != m_items.end() && it->first.first == partition;
       ++it) {
    if (items.size() == limit) {
      const json& last = items.back();
      reply["LastEvaluatedKey"] = { { "pk", last["pk"] },
                                    { "sk", last["sk"] } };
      break;
    }
    items.push_back(it->second);
  }
  reply["Count"] = items.size();
  reply["Items"] = std::move(items);
  return { 200, std::move(reply) };
}

TableReply
TableModel::Transact(const json& aBody, EpochMs aNow)
{
  ++m_write_calls;
  ForgetOldTokens(aNow);
  const json& items = aBody.at("TransactItems");
  const auto token = aBody.value("ClientRequestToken", std::string());
  const auto known = m_tokens.find(token);
  if (!token.empty() && known != m_tokens.end()) {
    ++m_repeated;
    if (known->second.items != items) {
      return Failure("IdempotentParameterMismatchException", token);
    }
    return known->second.reply;
  }
  if (!Take(m_writes, static_cast<double>(items.size()), aNow)) {
    ++m_throttled;
    return Failure("ProvisionedThroughputExceededException", "writes");
  }
  TableReply reply = TransactOnce(items, aNow);
  if (!token.empty() && reply.status == 200) {
    m_tokens[token] = { aNow, items, reply };
    m_token_order.emplace_back(aNow, token);
  }
  return reply;
}

TableReply
TableModel::TransactOnce(const json& aItems, EpochMs /*aNow*/)
{
  if (aItems.empty() || aItems.size() > kMaxTransactItems) {
    throw std::invalid_argument("TransactItems: 1 to 100 items");
  }
  struct Step
  {
    std::string kind;
    const json* action;
    Key key;
  };
  std::vector<Step> steps;
  std::set<Key> keys;
  json reasons = json::array();
  bool failed = false;
  for (const json& item : aItems) {
    const std::string kind = item.items().begin().key();
    const json& action = item.at(kind);
    if (kind == "Put") {
      CheckItem(action.at("Item"));
    } else if (kind != "Delete" && kind != "ConditionCheck") {
      throw std::invalid_argument(kind);
    }
    Step step{ kind,
               &action,
               KeyOf(action.at(kind == "Put" ? "Item" : "Key")) };
    if (!keys.insert(step.key).second) {
      throw std::invalid_argument("two operations on one item");
    }
    const bool holds = Holds(action, step.key);
    failed = failed || !holds;
    reasons.push_back(
      { { "Code", holds ? "None" : "ConditionalCheckFailed" } });
    steps.push_back(std::move(step));
  }
  if (failed) {
    ++m_conditions_failed;
    json body = ErrorBody("TransactionCanceledException", "conditions failed");
    body["CancellationReasons"] = std::move(reasons);
    return { 400, std::move(body) };
  }
  for (const Step& step : steps) {
    Write(step.kind, *step.action, step.key);
  }
  return { 200, json::object() };
}

bool
TableModel::Holds(const json& aAction, const Key& aKey) const
{
  const auto condition = aAction.value("ConditionExpression", std::string());
  if (condition.empty()) {
    return true;
  }
  const auto found = m_items.find(aKey);
  if (condition == "attribute_not_exists(pk)") {
    return found == m_items.end();
  }
  if (condition != "#r = :r" ||
      aAction.at("ExpressionAttributeNames").at("#r") != "rev") {
    throw std::invalid_argument("ConditionExpression: " + condition);
  }
  const json& wanted = aAction.at("ExpressionAttributeValues").at(":r");
  return found != m_items.end() && found->second.at("rev") == wanted;
}

void
TableModel::Write(const std::string& aKind,
                  const json& aAction,
                  const Key& aKey)
{
  if (aKind == "ConditionCheck") {
    return;
  }
  ++m_items_written;
  if (aKind == "Put") {
    m_items[aKey] = aAction.at("Item");
  } else {
    m_items.erase(aKey);
  }
}

void
TableModel::ForgetOldTokens(EpochMs aNow)
{
  while (!m_token_order.empty() &&
         m_token_order.front().first + kTokenLifeMs < aNow) {
    m_tokens.erase(m_token_order.front().second);
    m_token_order.pop_front();
  }
}

bool
TableModel::Take(Bucket& aBucket, double aAmount, EpochMs aNow)
{
  if (aBucket.per_second <= 0) {
    return true;
  }
  const double elapsed =
    static_cast<double>(std::max<EpochMs>(aNow - aBucket.at, 0));
  aBucket.tokens =
    std::min(aBucket.per_second,
             aBucket.tokens + elapsed * aBucket.per_second / kMsPerSecond);
  aBucket.at = aNow;
  if (aBucket.tokens < std::min(aAmount, aBucket.per_second)) {
    return false;
  }
  aBucket.tokens -= aAmount;
  return true;
}

} // namespace jujubehead::standin
