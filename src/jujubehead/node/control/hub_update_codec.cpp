#include "hub_update_codec.hpp"

#include <algorithm>   // for clamp, min
#include <chrono>      // for duration_cast
#include <cmath>       // for llround
#include <cstddef>     // for size_t
#include <map>         // for map
#include <stdexcept>   // for invalid_argument
#include <string_view> // for string_view
#include <utility>     // for pair

#include <nlohmann/json.hpp> // for json

#include "jujubehead/core/routing/target_limit.hpp" // for TargetLimit

#include "poison_report_codec.hpp" // for PoisonReportsToBytes

namespace jujubehead::node {
namespace {

using nlohmann::json;

/// Array indices; arrays replace objects to keep the message small.
enum StoreField : std::size_t
{
  kId,
  kEpoch,
  kAgeMs,
  kUptimeMs, ///< Instances of an older version do not send it.
};
/// Layout of a load: the little-endian target key, then these bytes.
enum LoadByte : std::size_t
{
  kRunning = sizeof(core::TargetKey),
  kWaiting,
  kSlots,
  kLoadAge, ///< In kAgeUnit, rounded up.
  kLoadBytes,
};

constexpr unsigned kByteBits = 8;
constexpr std::int64_t kMaxByte = 255;
/// Value of the running byte that marks a removed target.
constexpr std::uint32_t kGoneMark = 255;
/// Value of the running byte that marks a limit. The next two bytes hold it,
/// the lower one first. An instance that does not know the mark takes it for a
/// load, and sends less to the target.
constexpr std::uint32_t kLimitMark = 254;
constexpr std::int64_t kNoLimit = 0xFFFF;
/// Value of the running byte that marks whether a service is brittle. The next
/// byte holds the rejections.
constexpr std::uint32_t kBrittleMark = 253;
constexpr std::uint32_t kNotBrittle = 255;
/// Value of the running byte that marks an account's demand. The next two bytes
/// hold it in units of tokens per second, the lower one first.
constexpr std::uint32_t kAccountMark = 252;
constexpr double kTokensPerUnit = 16;
constexpr std::int64_t kMaxUnits = 0xFFFF;
constexpr core::Duration kAgeUnit = std::chrono::milliseconds(10);

enum ChangeField : std::size_t
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

char
ToByte(std::int64_t aNumber)
{
  return static_cast<char>(std::clamp<std::int64_t>(aNumber, 0, kMaxByte));
}

std::uint32_t
FromByte(char aByte)
{
  return static_cast<unsigned char>(aByte);
}

/// Running requests, capped so that no count equals a mark.
std::uint32_t
RunningByte(const core::TargetLoadReport& aLoad)
{
  switch (aLoad.kind) {
    case core::ReportKind::kLimit:
      return kLimitMark;
    case core::ReportKind::kBrittle:
      return kBrittleMark;
    case core::ReportKind::kAccount:
      return kAccountMark;
    case core::ReportKind::kLoad:
      break;
  }
  return aLoad.is_gone ? kGoneMark
                       : std::min(aLoad.load.running, kAccountMark - 1);
}

core::ReportKind
KindOf(std::uint32_t aRunningByte)
{
  if (aRunningByte == kLimitMark) {
    return core::ReportKind::kLimit;
  }
  if (aRunningByte == kAccountMark) {
    return core::ReportKind::kAccount;
  }
  return aRunningByte == kBrittleMark ? core::ReportKind::kBrittle
                                      : core::ReportKind::kLoad;
}

std::int64_t
LimitUnits(std::optional<double> aPerSecond)
{
  return aPerSecond
           ? std::llround(*aPerSecond * core::TargetLimit::kUnitsPerRequest)
           : kNoLimit;
}

std::optional<double>
LimitOf(std::int64_t aUnits)
{
  return aUnits == kNoLimit
           ? std::nullopt
           : std::optional(static_cast<double>(aUnits) /
                           core::TargetLimit::kUnitsPerRequest);
}

/// The two bytes after the running byte.
std::pair<std::int64_t, std::int64_t>
ValueBytes(const core::TargetLoadReport& aLoad)
{
  if (aLoad.kind == core::ReportKind::kLimit) {
    const std::int64_t units = LimitUnits(aLoad.limit);
    return { units & kMaxByte, units >> kByteBits };
  }
  if (aLoad.kind == core::ReportKind::kBrittle) {
    const std::uint32_t rejections =
      std::min(aLoad.max_rejections.value_or(kNotBrittle), kNotBrittle - 1);
    return { aLoad.max_rejections ? rejections : kNotBrittle, 0 };
  }
  if (aLoad.kind == core::ReportKind::kAccount) {
    const std::int64_t units = std::min<std::int64_t>(
      std::llround(aLoad.tokens_per_second / kTokensPerUnit), kMaxUnits);
    return { units & kMaxByte, units >> kByteBits };
  }
  return { aLoad.load.waiting, aLoad.load.slots };
}

core::TargetLoadReport
LoadAt(std::string_view aBytes, core::Instant aSentAt)
{
  std::uint32_t key = 0;
  for (std::size_t i = 0; i < sizeof(key); ++i) {
    key |= FromByte(aBytes[i]) << (i * kByteBits);
  }
  core::TargetLoadReport result;
  result.target = static_cast<core::TargetKey>(key);
  result.load.running = FromByte(aBytes[kRunning]);
  result.load.waiting = FromByte(aBytes[kWaiting]);
  result.load.slots = FromByte(aBytes[kSlots]);
  result.reported_at = aSentAt - FromByte(aBytes[kLoadAge]) * kAgeUnit;
  result.is_gone = result.load.running == kGoneMark;
  result.kind = KindOf(result.load.running);
  if (result.kind == core::ReportKind::kLimit) {
    result.limit =
      LimitOf(result.load.waiting | (result.load.slots << kByteBits));
  } else if (result.kind == core::ReportKind::kBrittle &&
             result.load.waiting != kNotBrittle) {
    result.max_rejections = result.load.waiting;
  } else if (result.kind == core::ReportKind::kAccount) {
    result.tokens_per_second =
      kTokensPerUnit * (result.load.waiting | (result.load.slots << kByteBits));
    result.load = {};
  }
  return result;
}

} // namespace

std::string
LoadsToBytes(const std::vector<core::TargetLoadReport>& aLoads,
             core::Instant aNow)
{
  std::string bytes;
  bytes.reserve(aLoads.size() * kLoadBytes);
  for (const core::TargetLoadReport& one : aLoads) {
    const auto key = static_cast<std::uint32_t>(one.target);
    for (std::size_t i = 0; i < sizeof(key); ++i) {
      bytes += ToByte((key >> (i * kByteBits)) & kMaxByte);
    }
    bytes += ToByte(RunningByte(one));
    const auto [first, second] = ValueBytes(one);
    bytes += ToByte(first);
    bytes += ToByte(second);
    bytes += ToByte((aNow - one.reported_at) / kAgeUnit + 1);
  }
  return bytes;
}

std::vector<core::TargetLoadReport>
LoadsFromBytes(std::string_view aBytes, core::Instant aSentAt)
{
  if (aBytes.size() % kLoadBytes != 0) {
    throw std::invalid_argument(
      "size of the loads is not a multiple of the entry size");
  }
  std::vector<core::TargetLoadReport> loads;
  loads.reserve(aBytes.size() / kLoadBytes);
  for (std::size_t at = 0; at < aBytes.size(); at += kLoadBytes) {
    loads.push_back(LoadAt(aBytes.substr(at, kLoadBytes), aSentAt));
  }
  return loads;
}

std::string
ToBytes(const HubUpdate& aUpdate, core::Instant aNow)
{
  json stores = json::array();
  std::map<core::StoreId, std::size_t> places;
  for (const core::StoreStatus& store : aUpdate.parts.stores) {
    places.emplace(store.store, stores.size());
    // The age is rounded up, so that data never appears newer than it is; the
    // uptime down, so that a store never appears older.
    stores.push_back(json::array({ store.store.Text(),
                                   store.epoch,
                                   Milliseconds(store.age) + 1,
                                   Milliseconds(store.uptime) }));
  }
  json scopes = json::array();
  std::map<std::string_view, std::size_t> scope_places;
  json changes = json::array();
  for (const core::PartChange& change : aUpdate.parts.changes) {
    const auto [scope, is_new] =
      scope_places.try_emplace(change.scope, scopes.size());
    if (is_new) {
      scopes.push_back(change.scope);
    }
    changes.push_back(json::array(
      { places.at(change.store), scope->second, change.part, change.tokens }));
  }
  json message = { { "start", aUpdate.start },
                   { "next", aUpdate.parts.cursor.next },
                   { "since", aUpdate.parts.cursor.since },
                   { "more", aUpdate.parts.has_more },
                   { "all", aUpdate.parts.is_snapshot },
                   { "stores", std::move(stores) },
                   { "scopes", std::move(scopes) },
                   { "changes", std::move(changes) } };
  if (aUpdate.has_loads) {
    message["loads"] = LoadsToBytes(aUpdate.loads, aNow);
    message["next_loads"] = aUpdate.next_loads;
  } else {
    message["loads"] = json::array();
  }
  if (!aUpdate.poison_reports.empty()) {
    message["poison"] = PoisonReportsToBytes(aUpdate.poison_reports, aNow);
  }
  message["next_poison"] = aUpdate.next_poison_report;
  if (aUpdate.rows) {
    message["rows"] = aUpdate.rows->bytes;
    message["rows_age"] = Milliseconds(aUpdate.rows->age) + 1;
    message["rows_more"] = aUpdate.rows->has_more;
  }
  if (aUpdate.clock_ms) {
    message["clock"] = *aUpdate.clock_ms;
  }
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

HubUpdate
HubUpdateFromBytes(std::string_view aBytes, core::Instant aSentAt)
{
  const json message = json::from_cbor(aBytes.begin(), aBytes.end());
  HubUpdate result;
  result.start = message.at("start").get<std::string>();
  result.parts.cursor.next = message.at("next").get<std::uint64_t>();
  result.parts.cursor.since = message.at("since").get<std::uint64_t>();
  result.parts.has_more = message.at("more").get<bool>();
  result.parts.is_snapshot = message.at("all").get<bool>();
  if (const auto clock = message.find("clock"); clock != message.end()) {
    result.clock_ms = clock->get<std::int64_t>();
  }
  if (const auto rows = message.find("rows"); rows != message.end()) {
    const auto age = message.at("rows_age").get<std::int64_t>();
    result.rows = RowUpdate{ rows->get<std::string>(),
                             std::chrono::milliseconds(age),
                             message.value("rows_more", false) };
  }
  if (const auto poison = message.find("poison"); poison != message.end()) {
    result.poison_reports = PoisonReportsFromBytes(
      poison->get<std::string>(), aSentAt, core::RuntimeClock::now());
  }
  // An older version sends none.
  result.next_poison_report = message.value("next_poison", std::uint64_t(0));
  // An older version sends another encoding.
  const json& loads = message.at("loads");
  result.has_loads = loads.is_string();
  if (result.has_loads) {
    result.loads = LoadsFromBytes(loads.get<std::string>(), aSentAt);
    result.next_loads = message.value("next_loads", std::uint64_t(0));
  }
  for (const json& store : message.at("stores")) {
    const std::int64_t uptime_ms =
      store.size() > kUptimeMs ? store.at(kUptimeMs).get<std::int64_t>() : 0;
    result.parts.stores.push_back(
      { core::StoreId(store.at(kId).get<std::string>()),
        store.at(kEpoch).get<std::uint64_t>(),
        std::chrono::milliseconds(store.at(kAgeMs).get<std::int64_t>()),
        std::chrono::milliseconds(uptime_ms) });
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
