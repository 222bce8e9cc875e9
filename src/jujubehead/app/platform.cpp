#include "tools.hpp"

#include <boost/asio/steady_timer.hpp>  // for steady_timer
#include <boost/asio/use_awaitable.hpp> // for use_awaitable

#include "jujubehead/net/http_client.hpp"   // for HttpClient
#include "jujubehead/net/object_store.hpp"  // for ObjectStore
#include "jujubehead/net/table_service.hpp" // for TableService

namespace jujubehead::app {
namespace {

class HttpPlatform : public Platform
{
public:
  explicit HttpPlatform(const PlatformOptions& aOptions)
    : m_client(net::HttpClient::Create(m_context))
    , m_service(net::TableService::Create(*m_client, aOptions.table_service))
    , m_store(net::ObjectStore::Create(*m_client, aOptions.object_store))
    , m_log(net::TableLog::Create(*m_service, *m_store))
  {
  }

  boost::asio::io_context& Context() override { return m_context; }
  net::HttpClient& Client() override { return *m_client; }
  net::TableLog& Log() override { return *m_log; }
  [[nodiscard]] net::SleepFor Sleeper() override
  {
    return [this](core::Duration aTime) { return Wait(aTime); };
  }

private:
  boost::asio::awaitable<void> Wait(core::Duration aTime)
  {
    boost::asio::steady_timer timer(m_context, aTime);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }

  boost::asio::io_context m_context;
  std::unique_ptr<net::HttpClient> m_client;
  std::unique_ptr<net::TableService> m_service;
  std::unique_ptr<net::ObjectStore> m_store;
  std::unique_ptr<net::TableLog> m_log;
};

} // namespace

std::unique_ptr<Platform>
ConnectPlatform(const PlatformOptions& aOptions)
{
  return std::make_unique<HttpPlatform>(aOptions);
}

} // namespace jujubehead::app
