#include "jujubehead/node/store_service.hpp"

#include <algorithm> // for max
#include <optional>  // for optional

#include <boost/asio/co_spawn.hpp> // for co_spawn
#include <boost/asio/detached.hpp> // for detached

#include "jujubehead/core/context_import.hpp"    // for HandleOf
#include "jujubehead/core/link_schedule.hpp"     // for LinkSchedule
#include "jujubehead/core/retention_policy.hpp"  // for ExportGain
#include "jujubehead/core/reuse_model.hpp"       // for ReuseModel
#include "jujubehead/core/sparse_depths.hpp"     // for SparseKeys
#include "jujubehead/net/engine_client.hpp"      // for EngineClient
#include "jujubehead/net/store_client.hpp"       // for StoreClient
#include "jujubehead/node/directory_service.hpp" // for DirectoryService
#include "jujubehead/node/member_book.hpp"       // for MemberBook
#include "jujubehead/node/metrics.hpp"           // for ThreadMetrics
#include "jujubehead/node/peer_calls.hpp"        // for PeerCalls

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;
using core::RuntimeClock;

// Until transfers have shown the true figures.
constexpr double kAssumedLinkRate = 200e6; // Bytes a second.
constexpr std::uint32_t kAssumedBytesPerBlock = 1024 * 1024;
constexpr double kAssumedPrefillRate = 5000; // Tokens a second.
constexpr core::Duration kAssumedKeptFor = std::chrono::hours(2);
constexpr core::Duration kWorthlessAfter = std::chrono::minutes(1);
constexpr core::Duration kStoreTimeout = std::chrono::seconds(2);
constexpr int kExportTries = 2;

std::vector<core::ContextKey>
KeysOf(const wire::ExportOffer& aOffer)
{
  std::vector<core::ContextKey> keys;
  for (const std::string& raw : aOffer.keys) {
    keys.push_back(KeyOfRaw(raw));
  }
  return keys;
}

std::vector<std::string>
SparseRaw(std::span<const core::ContextKey> aChain)
{
  std::vector<std::string> raw;
  for (const core::ContextKey& key : core::SparseKeys(aChain)) {
    raw.push_back(RawKey(key));
  }
  return raw;
}

} // namespace

struct StoreService::Copy
{
  core::CopyId name;
  std::vector<std::string> sparse_keys;
  core::RetentionInput value;
  core::Instant last_used;
};

struct StoreService::OwnedStore
{
  explicit OwnedStore(std::uint64_t aEpoch)
    : epoch(aEpoch)
    , generations(static_cast<std::uint32_t>(aEpoch))
    , link(LinkSettings())
  {
  }

  static core::LinkSettings LinkSettings()
  {
    core::LinkSettings settings;
    settings.bytes_per_second = kAssumedLinkRate;
    return settings;
  }

  [[nodiscard]] core::RetentionInput ValueOf(
    const wire::ExportOffer& aOffer) const
  {
    core::RetentionInput value;
    value.account = aOffer.account;
    value.bytes =
      static_cast<std::uint64_t>(bytes_per_block) * aOffer.keys.size();
    value.recompute_seconds = aOffer.tokens / kAssumedPrefillRate;
    value.reuse_value = core::ReuseValue(
      value.recompute_seconds, aOffer.tokens, aOffer.recompute_price);
    return value;
  }

  std::uint64_t epoch;
  core::GenerationSource generations;
  core::LinkSchedule link;
  core::ReuseModel returns;
  std::uint32_t bytes_per_block = kAssumedBytesPerBlock;
  std::uint64_t next_transfer = 1;
  std::map<std::uint64_t, wire::ExportOffer> transfers;
  std::map<std::string, Copy> copies; ///< By handle.
};

StoreService::StoreService(PeerCalls& aPeers,
                           net::HttpClient& aClient,
                           const MemberBook& aMembers,
                           DirectoryService& aDirectory,
                           ThreadMetrics& aMetrics)
  : m_peers(aPeers)
  , m_client(aClient)
  , m_members(aMembers)
  , m_directory(aDirectory)
  , m_metrics(aMetrics)
{
}

StoreService::~StoreService() = default;

void
StoreService::Own(const core::StoreId& aStore, std::uint64_t aEpoch)
{
  m_owned.erase(aStore);
  m_owned.emplace(aStore, OwnedStore(aEpoch));
}

void
StoreService::Disown(const core::StoreId& aStore)
{
  m_owned.erase(aStore);
}

void
StoreService::OnOffer(const wire::ExportOffer& aOffer)
{
  const auto found = m_owned.find(aOffer.store);
  if (found == m_owned.end() || aOffer.keys.empty()) {
    return;
  }
  OwnedStore& owned = found->second;
  const std::string handle = core::HandleOf(KeysOf(aOffer));
  if (owned.copies.contains(handle)) {
    NoteReturn(owned, aOffer);
    return;
  }
  if (!IsWorthKeeping(owned, aOffer)) {
    return;
  }
  core::Transfer transfer;
  transfer.id = owned.next_transfer++;
  transfer.kind = core::TransferKind::kExport;
  transfer.account = aOffer.account;
  transfer.bytes = owned.ValueOf(aOffer).bytes;
  transfer.start_deadline = RuntimeClock::now() + kWorthlessAfter;
  if (owned.link.Submit(transfer)) {
    owned.transfers.emplace(transfer.id, aOffer);
  }
}

void
StoreService::NoteReturn(OwnedStore& aOwned, const wire::ExportOffer& aOffer)
{
  const auto copy = aOwned.copies.find(core::HandleOf(KeysOf(aOffer)));
  const auto now = RuntimeClock::now();
  aOwned.returns.Observe(
    aOffer.account, core::Duration::zero(), now - copy->second.last_used, true);
  copy->second.last_used = now;
}

bool
StoreService::IsWorthKeeping(const OwnedStore& aOwned,
                             const wire::ExportOffer& aOffer) const
{
  core::ExportInput view;
  view.value = aOwned.ValueOf(aOffer);
  view.bytes_to_move = view.value.bytes;
  view.bytes_per_second = aOwned.link.BytesPerSecond();
  view.link_use =
    aOwned.link.Utilization(core::TransferKind::kImport, RuntimeClock::now());
  view.expected_retention = kAssumedKeptFor;
  return core::ExportGain(aOwned.returns, view) > 0;
}

void
StoreService::OnMissing(const wire::CopyMissing& aMissing)
{
  const auto found = m_owned.find(aMissing.store);
  if (found == m_owned.end()) {
    return;
  }
  const auto copy = found->second.copies.find(aMissing.handle);
  if (copy != found->second.copies.end() &&
      copy->second.name.generation == aMissing.generation) {
    Forget(aMissing.store, aMissing.handle);
  }
}

wire::LinkQuote
StoreService::Quote(const wire::LinkQuoteRequest& aAsk) const
{
  const auto found = m_owned.find(aAsk.store);
  if (found == m_owned.end()) {
    return {};
  }
  const OwnedStore& owned = found->second;
  return { owned.link.ExpectedWait(
             core::TransferKind::kImport, aAsk.account, RuntimeClock::now()),
           static_cast<std::uint64_t>(owned.link.BytesPerSecond()),
           owned.bytes_per_block };
}

void
StoreService::Tick()
{
  const auto now = RuntimeClock::now();
  for (auto& [store, owned] : m_owned) {
    for (const core::Transfer& expired : owned.link.Expire(now)) {
      owned.transfers.erase(expired.id);
    }
    for (const core::Transfer& transfer : owned.link.Start(now)) {
      asio::co_spawn(
        m_peers.Context(), Export(store, transfer.id), asio::detached);
    }
  }
}

asio::awaitable<void>
StoreService::Export(core::StoreId aStore, std::uint64_t aTransfer)
{
  const auto owned = m_owned.find(aStore);
  if (owned == m_owned.end() || !owned->second.transfers.contains(aTransfer)) {
    co_return;
  }
  const std::uint64_t epoch = owned->second.epoch;
  const wire::ExportOffer offer = owned->second.transfers.at(aTransfer);
  for (int i = 0; i < kExportTries; ++i) {
    const bool done = co_await TryExport(aStore, offer);
    if (done) {
      break;
    }
    const bool room = co_await MakeRoom(aStore, offer);
    if (!room) {
      break;
    }
  }
  const auto still = m_owned.find(aStore);
  if (still != m_owned.end() && still->second.epoch == epoch) {
    still->second.link.Finish(aTransfer, RuntimeClock::now());
    still->second.transfers.erase(aTransfer);
  }
}

asio::awaitable<bool>
StoreService::TryExport(core::StoreId aStore, const wire::ExportOffer& aOffer)
{
  const net::Member* store = m_members.Find(aStore.View());
  const net::Member* target = m_members.Find(aOffer.target.View());
  const auto owned = m_owned.find(aStore);
  if (store == nullptr || target == nullptr || owned == m_owned.end()) {
    co_return true; // There is nothing left to try.
  }
  net::ExportOrder order;
  order.fencing = aOffer.fencing;
  order.keys = KeysOf(aOffer);
  order.store = store->address;
  order.copy = { core::HandleOf(order.keys), owned->second.generations.Next() };
  Copy copy{ order.copy,
             SparseRaw(order.keys),
             owned->second.ValueOf(aOffer),
             RuntimeClock::now() };
  net::EngineClient engine(m_client, target->address);
  std::optional<net::Exported> exported;
  try {
    const auto outcome = co_await engine.Export(std::move(order));
    if (const auto* refusal = std::get_if<net::EngineRefusal>(&outcome)) {
      co_return *refusal != net::EngineRefusal::kStoreFull;
    }
    exported = std::get<net::Exported>(outcome);
  } catch (const net::HttpCallError&) {
    co_return true; // Whether it was written is not known: never hinted.
  }
  const auto still = m_owned.find(aStore);
  if (still == m_owned.end()) {
    co_return true;
  }
  m_metrics.Add(Counter::kLinkBytes, exported->bytes);
  copy.value.bytes = exported->bytes;
  if (exported->blocks > 0) {
    still->second.bytes_per_block =
      static_cast<std::uint32_t>(exported->bytes / exported->blocks);
  }
  wire::StoreHint hint{
    aStore, true, copy.name.handle, copy.name.generation, copy.sparse_keys
  };
  still->second.copies.insert_or_assign(copy.name.handle, std::move(copy));
  m_directory.Tell(std::move(hint));
  co_return true;
}

asio::awaitable<bool>
StoreService::MakeRoom(core::StoreId aStore, const wire::ExportOffer& aOffer)
{
  const auto owned = m_owned.find(aStore);
  const net::Member* store = m_members.Find(aStore.View());
  if (owned == m_owned.end() || store == nullptr) {
    co_return false;
  }
  const core::RetentionInput newcomer = owned->second.ValueOf(aOffer);
  std::vector<std::string> handles;
  std::vector<core::EvictionCandidate> victims;
  const auto now = RuntimeClock::now();
  for (auto& [handle, copy] : owned->second.copies) {
    copy.value.idle = now - copy.last_used;
    handles.push_back(handle);
    victims.push_back({ core::RetentionPrice(owned->second.returns, copy.value),
                        copy.value.bytes });
  }
  const auto chosen =
    core::ChooseVictims(victims,
                        newcomer.bytes,
                        core::RetentionPrice(owned->second.returns, newcomer));
  if (!chosen) {
    co_return false;
  }
  std::vector<core::CopyId> names;
  for (const std::size_t index : *chosen) {
    names.push_back(owned->second.copies.at(handles[index]).name);
    Forget(aStore, handles[index]);
  }
  net::StoreClient client(m_client, store->address, kStoreTimeout);
  try {
    for (core::CopyId& name : names) {
      co_await client.Delete(std::move(name));
    }
  } catch (const net::HttpCallError&) {
    co_return false;
  }
  co_return !names.empty();
}

void
StoreService::Forget(const core::StoreId& aStore, const std::string& aHandle)
{
  const auto owned = m_owned.find(aStore);
  const auto copy = owned->second.copies.find(aHandle);
  // The hint goes first: what is hinted must be readable.
  m_directory.Tell(wire::StoreHint{ aStore,
                                    false,
                                    aHandle,
                                    copy->second.name.generation,
                                    copy->second.sparse_keys });
  owned->second.copies.erase(copy);
}

std::vector<OwnedStoreStatus>
StoreService::Status() const
{
  std::vector<OwnedStoreStatus> all;
  for (const auto& [store, owned] : m_owned) {
    const net::Member* member = m_members.Find(store.View());
    OwnedStoreStatus status;
    status.id = store.Text();
    status.epoch = owned.epoch;
    for (const auto& [id, offer] : owned.transfers) {
      status.queued_bytes += owned.ValueOf(offer).bytes;
    }
    status.stopping = member == nullptr || member->leaving;
    all.push_back(std::move(status));
  }
  return all;
}

} // namespace jujubehead::node
