#include "jujubehead/net/store_client.hpp"

#include <utility> // for move

#include "json_call.hpp" // for JsonCall, ReadJson

namespace jujubehead::net {
namespace {

using boost::asio::awaitable;
using nlohmann::json;

StoreLoad
LoadOf(const json& aReport)
{
  StoreLoad load;
  load.as_of_ms = aReport.at("as_of_ms").get<std::int64_t>();
  load.memory_used = aReport.at("memory_used").get<std::uint64_t>();
  load.memory_total = aReport.at("memory_total").get<std::uint64_t>();
  load.disk_used = aReport.at("disk_used").get<std::uint64_t>();
  load.disk_total = aReport.at("disk_total").get<std::uint64_t>();
  load.link_bytes = aReport.value("link_bytes", std::uint64_t{ 0 });
  return load;
}

} // namespace

StoreClient::StoreClient(HttpClient& aClient,
                         std::string aAuthority,
                         core::Duration aTimeout)
  : m_client(aClient)
  , m_authority(std::move(aAuthority))
  , m_timeout(aTimeout)
{
}

awaitable<StoreLoad>
StoreClient::Load()
{
  const std::string text = co_await FetchOk(
    m_client, JsonCall(m_authority, "GET", "/v1/load", m_timeout));
  co_return ReadJson(m_authority, text, LoadOf);
}

awaitable<CacheEventPage>
StoreClient::EventsAfter(std::uint64_t aAfter)
{
  const std::string target = "/v1/events?after=" + std::to_string(aAfter);
  const std::string text =
    co_await FetchOk(m_client, JsonCall(m_authority, "GET", target, m_timeout));
  co_return ReadJson(m_authority, text, ParseCacheEvents);
}

awaitable<void>
StoreClient::Delete(core::CopyId aCopy)
{
  const std::string target =
    "/v1/kv/" + aCopy.handle + "/" + std::to_string(aCopy.generation);
  co_await FetchOk(m_client,
                   JsonCall(m_authority, "DELETE", target, m_timeout));
}

} // namespace jujubehead::net
