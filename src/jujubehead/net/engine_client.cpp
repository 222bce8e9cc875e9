#include "jujubehead/net/engine_client.hpp"

#include <utility> // for move

#include "json_call.hpp" // for JsonCall, JsonPost, ReadJson

namespace jujubehead::net {
namespace {

using boost::asio::awaitable;
using nlohmann::json;

EngineLoad
LoadOf(const json& aReport)
{
  EngineLoad load;
  load.as_of_ms = aReport.at("as_of_ms").get<std::int64_t>();
  load.order_seen = aReport.value("order_seen", std::uint64_t{ 0 });
  for (const json& id : aReport.at("running")) {
    load.running.emplace_back(id.get<std::string>());
  }
  load.waiting = aReport.at("waiting").get<std::uint64_t>();
  load.free_blocks = aReport.at("free_blocks").get<std::uint64_t>();
  load.total_blocks = aReport.at("total_blocks").get<std::uint64_t>();
  load.model = core::ModelId(aReport.value("model", std::string()));
  load.versions = aReport.value("versions", load.versions);
  load.adapters = aReport.value("adapters", load.adapters);
  load.loading = aReport.value("loading", false);
  return load;
}

json
ToJson(const FenceOrder& /*aOrder*/)
{
  return { { "order", "fence" } };
}

json
ToJson(const LoadVersionOrder& aOrder)
{
  return { { "order", "load_version" }, { "version", aOrder.version } };
}

json
ToJson(const UnloadVersionOrder& aOrder)
{
  return { { "order", "unload_version" }, { "version", aOrder.version } };
}

json
ToJson(const LoadAdapterOrder& aOrder)
{
  return { { "order", "load_adapter" }, { "adapter", aOrder.adapter } };
}

json
ToJson(const SetRoleOrder& aOrder)
{
  return { { "order", "set_role" }, { "role", aOrder.role } };
}

json
ToJson(const ExportOrder& aOrder)
{
  json keys = json::array();
  for (const core::ContextKey& key : aOrder.keys) {
    keys.push_back(key.Hex());
  }
  return { { "fencing", aOrder.fencing },
           { "keys", std::move(keys) },
           { "store", aOrder.store },
           { "handle", aOrder.copy.handle },
           { "generation", aOrder.copy.generation } };
}

EngineRefusal
RefusalOf(const HttpResponse& aResponse)
{
  const json body = json::parse(aResponse.body, nullptr, false);
  const json error = body.is_object() ? body.value("error", json()) : json();
  const json code = error.is_object() ? error.value("code", json()) : json();
  if (code == "old_fencing") {
    return EngineRefusal::kOldFencing;
  }
  if (code == "evicted") {
    return EngineRefusal::kEvicted;
  }
  if (code == "full") {
    return EngineRefusal::kStoreFull;
  }
  return code == "store_failed" ? EngineRefusal::kStoreFailed
                                : EngineRefusal::kOther;
}

} // namespace

EngineClient::EngineClient(HttpClient& aClient,
                           std::string aAuthority,
                           core::Duration aTimeout)
  : m_client(aClient)
  , m_authority(std::move(aAuthority))
  , m_timeout(aTimeout)
{
}

awaitable<EngineLoad>
EngineClient::Load()
{
  const std::string text = co_await FetchOk(
    m_client, JsonCall(m_authority, "GET", "/v1/load", m_timeout));
  co_return ReadJson(m_authority, text, LoadOf);
}

awaitable<CacheEventPage>
EngineClient::EventsAfter(std::uint64_t aAfter)
{
  const std::string target = "/v1/cache_events?after=" + std::to_string(aAfter);
  const std::string text =
    co_await FetchOk(m_client, JsonCall(m_authority, "GET", target, m_timeout));
  co_return ReadJson(m_authority, text, ParseCacheEvents);
}

awaitable<void>
EngineClient::Abort(core::RequestId aRequest)
{
  const json body = { { "request_id", aRequest.Text() } };
  co_await FetchOk(m_client,
                   JsonPost(m_authority, "/v1/abort", m_timeout, body));
}

awaitable<std::variant<Exported, EngineRefusal>>
EngineClient::Export(ExportOrder aOrder)
{
  const HttpResponse response = co_await m_client.Fetch(
    JsonPost(m_authority, "/v1/kv/export", kExportTimeout, ToJson(aOrder)));
  if (response.status != kStatusOk) {
    co_return RefusalOf(response);
  }
  co_return ReadJson(m_authority, response.body, [](const json& aBody) {
    return Exported{ aBody.at("blocks").get<std::uint64_t>(),
                     aBody.at("bytes").get<std::uint64_t>() };
  });
}

awaitable<std::variant<OrderTaken, EngineRefusal>>
EngineClient::Give(std::uint64_t aFencing, EngineOrder aOrder)
{
  json body =
    std::visit([](const auto& aPart) { return ToJson(aPart); }, aOrder);
  body["fencing"] = aFencing;
  const HttpResponse response = co_await m_client.Fetch(
    JsonPost(m_authority, "/v1/orders", m_timeout, body));
  if (response.status != kStatusOk) {
    co_return RefusalOf(response);
  }
  co_return ReadJson(m_authority, response.body, [](const json& aBody) {
    return OrderTaken{ aBody.at("order_seen").get<std::uint64_t>() };
  });
}

} // namespace jujubehead::net
