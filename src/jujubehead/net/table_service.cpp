#include "jujubehead/net/table_service.hpp"

#include <utility> // for move

#include "jujubehead/net/http_client.hpp" // for HttpClient, HttpCall
#include "table_service_codec.hpp"        // for TransactBody, OutcomeOf

namespace jujubehead::net {
namespace {

using boost::asio::awaitable;

constexpr std::string_view kOperationPrefix = "DynamoDB_20120810.";

class HttpTableService : public TableService
{
public:
  HttpTableService(HttpClient& aClient,
                   std::string aAuthority,
                   core::Duration aTimeout)
    : m_client(aClient)
    , m_authority(std::move(aAuthority))
    , m_timeout(aTimeout)
  {
  }

  awaitable<std::optional<Item>> Get(ItemKey aKey) override
  {
    const HttpResponse response =
      co_await Read("GetItem", detail::GetBody(aKey));
    co_return detail::ItemOfGet(response);
  }

  awaitable<std::vector<Item>> Query(std::string aPk,
                                     std::string aAfterSk,
                                     std::size_t aLimit) override
  {
    const HttpResponse response =
      co_await Read("Query", detail::QueryBody(aPk, aAfterSk, aLimit));
    co_return detail::ItemsOfQuery(response);
  }

  awaitable<TransactOutcome> Transact(Transaction aTransaction) override
  {
    try {
      const HttpResponse response = co_await m_client.Fetch(
        Call("TransactWriteItems", detail::TransactBody(aTransaction)));
      co_return detail::OutcomeOf(response);
    } catch (const HttpCallError& error) {
      if (error.Dispatched()) {
        co_return UnknownOutcome{ error.what() };
      }
      co_return NotWritten{ error.what() };
    }
  }

private:
  awaitable<HttpResponse> Read(std::string_view aOperation, std::string aBody)
  {
    try {
      co_return co_await m_client.Fetch(Call(aOperation, std::move(aBody)));
    } catch (const HttpCallError& error) {
      throw TableServiceError(std::string("the table service: ") +
                              error.what());
    }
  }

  [[nodiscard]] HttpCall Call(std::string_view aOperation,
                              std::string aBody) const
  {
    HttpCall call;
    call.authority = m_authority;
    call.method = "POST";
    call.headers.Add("Content-Type", "application/x-amz-json-1.0");
    call.headers.Add("X-Amz-Target",
                     std::string(kOperationPrefix) + std::string(aOperation));
    call.body = std::move(aBody);
    call.idle_timeout = m_timeout;
    return call;
  }

  HttpClient& m_client;
  std::string m_authority;
  core::Duration m_timeout;
};

} // namespace

std::unique_ptr<TableService>
TableService::Create(HttpClient& aClient,
                     std::string aAuthority,
                     core::Duration aTimeout)
{
  return std::make_unique<HttpTableService>(
    aClient, std::move(aAuthority), aTimeout);
}

awaitable<TransactOutcome>
TransactSettled(TableService& aService,
                Transaction aTransaction,
                std::size_t aTries)
{
  TransactOutcome outcome = UnknownOutcome{ "not tried" };
  bool may_be_written = false;
  for (std::size_t i = 0; i < aTries; ++i) {
    outcome = co_await aService.Transact(aTransaction);
    if (std::holds_alternative<UnknownOutcome>(outcome)) {
      may_be_written = true;
      continue;
    }
    const bool says_nothing_of_the_first =
      std::holds_alternative<NotWritten>(outcome) ||
      std::holds_alternative<Throttled>(outcome);
    if (!may_be_written || !says_nothing_of_the_first) {
      co_return outcome;
    }
  }
  if (may_be_written) {
    co_return UnknownOutcome{ "no try was answered" };
  }
  co_return outcome;
}

awaitable<TransactOutcome>
ReadBack(TableService& aService, Item aOwn)
{
  const std::optional<Item> found = co_await aService.Get(aOwn.key);
  if (found && found->body == aOwn.body) {
    co_return Committed{};
  }
  co_return NotWritten{ found ? "another's item is there"
                              : "no item is there" };
}

} // namespace jujubehead::net
