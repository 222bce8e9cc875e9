#include "standin/faces.hpp" // for MakeTableFace

#include <string_view> // for string_view

namespace jujubehead::standin {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr std::string_view kTargetPrefix = "DynamoDB_20120810.";

json
Throttled()
{
  return { { "__type",
             "com.amazonaws.dynamodb.v20120810#"
             "ProvisionedThroughputExceededException" },
           { "Message", "throttle" } };
}

class TableFace final : public Face
{
public:
  explicit TableFace(TableOptions aOptions)
    : m_model(aOptions)
  {
  }

  [[nodiscard]] json Stats() const override { return m_model.Stats(); }

private:
  asio::awaitable<void> Handle(net::HttpExchange& aExchange) override
  {
    const net::HttpRequest& request = aExchange.Request();
    std::string_view target = request.headers.Find("X-Amz-Target").value_or("");
    if (!target.starts_with(kTargetPrefix)) {
      co_await ReplyError(aExchange, 400, "UnknownOperationException");
      co_return;
    }
    target.remove_prefix(kTargetPrefix.size());
    if (Fault("throttle") != nullptr) {
      co_await Reply(aExchange, 400, Throttled());
      co_return;
    }
    const TableReply reply =
      m_model.Call(std::string(target), json::parse(request.body), NowMs());
    if (target == "TransactWriteItems" && TakeFault("lose_answers")) {
      aExchange.Close();
      co_return;
    }
    co_await Reply(aExchange, reply.status, reply.body);
  }

  TableModel m_model;
};

} // namespace

std::shared_ptr<Face>
MakeTableFace(TableOptions aOptions)
{
  return std::make_shared<TableFace>(aOptions);
}

} // namespace jujubehead::standin
