#include "jujubehead/node/counted_table_service.hpp"

#include <utility> // for move

#include "jujubehead/node/metrics.hpp" // for ThreadMetrics

namespace jujubehead::node {
namespace {

using boost::asio::awaitable;
using net::Item;

bool
IsFailure(const net::TransactOutcome& aOutcome)
{
  return !std::holds_alternative<net::Committed>(aOutcome) &&
         !std::holds_alternative<net::ConditionFailed>(aOutcome);
}

class CountedTableService : public net::TableService
{
public:
  CountedTableService(std::unique_ptr<net::TableService> aService,
                      ThreadMetrics& aMetrics)
    : m_service(std::move(aService))
    , m_metrics(aMetrics)
  {
  }

  awaitable<std::optional<Item>> Get(net::ItemKey aKey) override
  {
    return Read(m_service->Get(std::move(aKey)));
  }

  awaitable<std::vector<Item>> Query(std::string aPk,
                                     std::string aAfterSk,
                                     std::size_t aLimit) override
  {
    return Read(m_service->Query(std::move(aPk), std::move(aAfterSk), aLimit));
  }

  awaitable<net::TransactOutcome> Transact(
    net::Transaction aTransaction) override
  {
    m_metrics.Add(Counter::kServiceWrites, aTransaction.items.size());
    net::TransactOutcome outcome =
      co_await m_service->Transact(std::move(aTransaction));
    m_metrics.Add(Counter::kServiceFailures, IsFailure(outcome) ? 1 : 0);
    co_return outcome;
  }

private:
  template<typename T>
  awaitable<T> Read(awaitable<T> aRead)
  {
    m_metrics.Add(Counter::kServiceReads);
    try {
      co_return co_await std::move(aRead);
    } catch (const net::TableServiceError&) {
      m_metrics.Add(Counter::kServiceFailures);
      throw;
    }
  }

  std::unique_ptr<net::TableService> m_service;
  ThreadMetrics& m_metrics;
};

} // namespace

std::unique_ptr<net::TableService>
CountCalls(std::unique_ptr<net::TableService> aService, ThreadMetrics& aMetrics)
{
  return std::make_unique<CountedTableService>(std::move(aService), aMetrics);
}

} // namespace jujubehead::node
