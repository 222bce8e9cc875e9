#include "part_news_codec.hpp"

#include <chrono>  // for duration_cast
#include <cstddef> // for size_t
#include <map>     // for map

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
enum ChangePlace : std::size_t
{
  kStore, ///< Its index among the stores.
  kScope,
  kPart,
  kTokens,
};

std::int64_t
Milliseconds(core::Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

} // namespace

std::string
ToBytes(const PartNewsMessage& aMessage)
{
  json stores = json::array();
  std::map<core::StoreId, std::size_t> places;
  for (const core::HeardStore& store : aMessage.news.stores) {
    places.emplace(store.store, stores.size());
    // Rounded up, so that nothing seems newer than it is.
    stores.push_back(json::array(
      { store.store.Text(), store.epoch, Milliseconds(store.age) + 1 }));
  }
  json changes = json::array();
  for (const core::PartChange& change : aMessage.news.changes) {
    changes.push_back(json::array(
      { places.at(change.store), change.scope, change.part, change.tokens }));
  }
  json message = { { "start", aMessage.start },
                   { "next", aMessage.news.next },
                   { "all", aMessage.news.is_all },
                   { "stores", std::move(stores) },
                   { "changes", std::move(changes) } };
  if (aMessage.clock_ms) {
    message["clock"] = *aMessage.clock_ms;
  }
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

PartNewsMessage
PartNewsOf(std::string_view aBytes)
{
  const json message = json::from_cbor(aBytes.begin(), aBytes.end());
  PartNewsMessage result;
  result.start = message.at("start").get<std::string>();
  result.news.next = message.at("next").get<std::uint64_t>();
  result.news.is_all = message.at("all").get<bool>();
  if (const auto clock = message.find("clock"); clock != message.end()) {
    result.clock_ms = clock->get<std::int64_t>();
  }
  for (const json& store : message.at("stores")) {
    result.news.stores.push_back(
      { core::StoreId(store.at(kId).get<std::string>()),
        store.at(kEpoch).get<std::uint64_t>(),
        std::chrono::milliseconds(store.at(kAgeMs).get<std::int64_t>()) });
  }
  for (const json& change : message.at("changes")) {
    result.news.changes.push_back(
      { result.news.stores.at(change.at(kStore).get<std::size_t>()).store,
        change.at(kScope).get<std::string>(),
        change.at(kPart).get<std::string>(),
        change.at(kTokens).get<std::uint64_t>() });
  }
  return result;
}

} // namespace jujubehead::node
