#include "json_call.hpp"

#include <charconv> // for from_chars
#include <optional> // for optional
#include <utility>  // for move

namespace jujubehead::net {
namespace {

using core::CacheEvent;
using core::CacheEventKind;
using nlohmann::json;

std::optional<CacheEventKind>
KindOf(const std::string& aName)
{
  if (aName == "stored") {
    return CacheEventKind::kStored;
  }
  if (aName == "removed") {
    return CacheEventKind::kRemoved;
  }
  if (aName == "cleared") {
    return CacheEventKind::kCleared;
  }
  return std::nullopt;
}

/// Reads the keys of a store's event, or the one key of an engine's.
bool
ReadKeys(const json& aEvent, std::vector<core::ContextKey>& aKeys)
{
  const json one =
    aEvent.contains("key") ? json::array({ aEvent["key"] }) : json::array();
  for (const json& text : aEvent.value("keys", one)) {
    const auto key = core::ContextKey::FromHex(text.get<std::string>());
    if (!key) {
      return false;
    }
    aKeys.push_back(*key);
  }
  return true;
}

/// A generation travels as a number, or as its digits.
std::uint64_t
GenerationOf(const json& aValue)
{
  if (!aValue.is_string()) {
    return aValue.get<std::uint64_t>();
  }
  const auto& text = aValue.get_ref<const std::string&>();
  std::uint64_t generation = 0;
  std::from_chars(text.data(), text.data() + text.size(), generation);
  return generation;
}

std::optional<CacheEvent>
EventOf(const json& aEvent)
{
  CacheEvent event;
  event.sequence = aEvent.at("seq").get<std::uint64_t>();
  const auto kind = KindOf(aEvent.at("kind").get<std::string>());
  if (!kind || !ReadKeys(aEvent, event.keys)) {
    return std::nullopt;
  }
  event.kind = *kind;
  if (aEvent.contains("handle")) {
    event.copy = core::CopyId{ aEvent["handle"].get<std::string>(),
                               GenerationOf(aEvent.at("generation")) };
  }
  return event;
}

} // namespace

HttpCall
JsonCall(std::string aAuthority,
         std::string aMethod,
         std::string aTarget,
         core::Duration aTimeout)
{
  HttpCall call;
  call.authority = std::move(aAuthority);
  call.method = std::move(aMethod);
  call.target = std::move(aTarget);
  call.idle_timeout = aTimeout;
  return call;
}

HttpCall
JsonPost(std::string aAuthority,
         std::string aTarget,
         core::Duration aTimeout,
         const json& aBody)
{
  HttpCall call =
    JsonCall(std::move(aAuthority), "POST", std::move(aTarget), aTimeout);
  call.headers.Add("Content-Type", "application/json");
  call.body = aBody.dump();
  return call;
}

boost::asio::awaitable<std::string>
FetchOk(HttpClient& aClient, HttpCall aCall)
{
  const std::string what =
    aCall.authority + " " + aCall.method + " " + aCall.target;
  HttpResponse response = co_await aClient.Fetch(std::move(aCall));
  if (response.status != kStatusOk) {
    throw HttpCallError(what + ": status " + std::to_string(response.status),
                        true);
  }
  co_return std::move(response.body);
}

CacheEventPage
ParseCacheEvents(const json& aPage)
{
  CacheEventPage page;
  page.last = aPage.at("last").get<std::uint64_t>();
  for (const json& entry : aPage.at("events")) {
    if (auto event = EventOf(entry)) {
      page.events.push_back(std::move(*event));
    }
  }
  return page;
}

} // namespace jujubehead::net
