#include "hub_news_codec.hpp"

#include <chrono>      // for duration_cast
#include <cstddef>     // for size_t
#include <map>         // for map
#include <string_view> // for string_view

#include <nlohmann/json.hpp> // for json

namespace jujubehead::node {
namespace {

using nlohmann::json;

/// Places in the lists, which stand for objects to keep the message short.
enum StorePlace : std::size_t
{
  kId,
  kEpoch,
  kAgeMs,
};
enum LoadPlace : std::size_t
{
  kTarget,
  kRunning,
  kWaiting,
  kSlots,
  kLoadAgeMs,
};
enum ChangePlace : std::size_t
{
  kStore, ///< Its index among the stores.
  kScope, ///< Its index among the scopes.
  kPart,
  kTokens,
};

std::int64_t
Milliseconds(core::Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

json
ToJson(const std::vector<core::HeardLoad>& aLoads, core::Instant aNow)
{
  json loads = json::array();
  for (const core::HeardLoad& one : aLoads) {
    loads.push_back(json::array({ one.target.Text(),
                                  one.load.running,
                                  one.load.waiting,
                                  one.load.slots,
                                  Milliseconds(aNow - one.heard) + 1 }));
  }
  return loads;
}

std::vector<core::HeardLoad>
LoadsFrom(const json& aLoads, core::Instant aTold)
{
  std::vector<core::HeardLoad> loads;
  for (const json& one : aLoads) {
    core::HeardLoad heard;
    heard.target = core::TargetId(one.at(kTarget).get<std::string>());
    heard.load.running = one.at(kRunning).get<std::uint32_t>();
    heard.load.waiting = one.at(kWaiting).get<std::uint32_t>();
    heard.load.slots = one.at(kSlots).get<std::uint32_t>();
    heard.heard =
      aTold - std::chrono::milliseconds(one.at(kLoadAgeMs).get<std::int64_t>());
    loads.push_back(std::move(heard));
  }
  return loads;
}

} // namespace

std::string
LoadsToBytes(const std::vector<core::HeardLoad>& aLoads, core::Instant aNow)
{
  std::string bytes;
  json::to_cbor(ToJson(aLoads, aNow), bytes);
  return bytes;
}

std::vector<core::HeardLoad>
LoadsOf(std::string_view aBytes, core::Instant aTold)
{
  return LoadsFrom(json::from_cbor(aBytes.begin(), aBytes.end()), aTold);
}

std::string
ToBytes(const HubNews& aNews, core::Instant aNow)
{
  json stores = json::array();
  std::map<core::StoreId, std::size_t> places;
  for (const core::HeardStore& store : aNews.parts.stores) {
    places.emplace(store.store, stores.size());
    // Rounded up, so that nothing seems newer than it is.
    stores.push_back(json::array(
      { store.store.Text(), store.epoch, Milliseconds(store.age) + 1 }));
  }
  json scopes = json::array();
  std::map<std::string_view, std::size_t> scope_places;
  json changes = json::array();
  for (const core::PartChange& change : aNews.parts.changes) {
    const auto [scope, is_new] =
      scope_places.try_emplace(change.scope, scopes.size());
    if (is_new) {
      scopes.push_back(change.scope);
    }
    changes.push_back(json::array(
      { places.at(change.store), scope->second, change.part, change.tokens }));
  }
  json message = { { "start", aNews.start },
                   { "next", aNews.parts.cursor.next },
                   { "since", aNews.parts.cursor.since },
                   { "more", aNews.parts.has_more },
                   { "all", aNews.parts.is_all },
                   { "stores", std::move(stores) },
                   { "scopes", std::move(scopes) },
                   { "changes", std::move(changes) } };
  message["loads"] = ToJson(aNews.loads, aNow);
  if (aNews.rows) {
    message["rows"] = aNews.rows->bytes;
    message["rows_age"] = Milliseconds(aNews.rows->age) + 1;
  }
  if (aNews.clock_ms) {
    message["clock"] = *aNews.clock_ms;
  }
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

HubNews
HubNewsOf(std::string_view aBytes, core::Instant aTold)
{
  const json message = json::from_cbor(aBytes.begin(), aBytes.end());
  HubNews result;
  result.start = message.at("start").get<std::string>();
  result.parts.cursor.next = message.at("next").get<std::uint64_t>();
  result.parts.cursor.since = message.at("since").get<std::uint64_t>();
  result.parts.has_more = message.at("more").get<bool>();
  result.parts.is_all = message.at("all").get<bool>();
  if (const auto clock = message.find("clock"); clock != message.end()) {
    result.clock_ms = clock->get<std::int64_t>();
  }
  if (const auto rows = message.find("rows"); rows != message.end()) {
    const auto age = message.at("rows_age").get<std::int64_t>();
    result.rows =
      RowNews{ rows->get<std::string>(), std::chrono::milliseconds(age) };
  }
  result.loads = LoadsFrom(message.at("loads"), aTold);
  for (const json& store : message.at("stores")) {
    result.parts.stores.push_back(
      { core::StoreId(store.at(kId).get<std::string>()),
        store.at(kEpoch).get<std::uint64_t>(),
        std::chrono::milliseconds(store.at(kAgeMs).get<std::int64_t>()) });
  }
  const json& scopes = message.at("scopes");
  for (const json& change : message.at("changes")) {
    result.parts.changes.push_back(
      { result.parts.stores.at(change.at(kStore).get<std::size_t>()).store,
        scopes.at(change.at(kScope).get<std::size_t>()).get<std::string>(),
        change.at(kPart).get<std::string>(),
        change.at(kTokens).get<std::uint64_t>() });
  }
  return result;
}

} // namespace jujubehead::node
