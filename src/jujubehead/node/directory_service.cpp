#include "jujubehead/node/directory_service.hpp"

#include <algorithm> // for copy
#include <utility>   // for move

#include "jujubehead/core/rendezvous.hpp"  // for RendezvousOwner
#include "jujubehead/node/member_book.hpp" // for MemberBook
#include "jujubehead/node/peer_calls.hpp"  // for PeerCalls

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

// Two regions' worth of contexts over the planned instances fit many times.
constexpr std::size_t kMaxKeys = 100'000;
// A hint that comes later than this is worth less than the wait for it.
constexpr core::Duration kLookupTimeout = std::chrono::milliseconds(100);

std::vector<core::ContextKey>
KeysOfRaw(std::span<const std::string> aRaw)
{
  std::vector<core::ContextKey> keys;
  keys.reserve(aRaw.size());
  for (const std::string& raw : aRaw) {
    keys.push_back(KeyOfRaw(raw));
  }
  return keys;
}

} // namespace

std::string
RawKey(const core::ContextKey& aKey)
{
  return { aKey.Raw().begin(), aKey.Raw().end() };
}

core::ContextKey
KeyOfRaw(std::string_view aRaw)
{
  core::ContextKey::Bytes bytes{};
  if (aRaw.size() == bytes.size()) {
    std::copy(aRaw.begin(), aRaw.end(), bytes.begin());
  }
  return core::ContextKey(bytes);
}

DirectoryService::DirectoryService(PeerCalls& aPeers,
                                   const MemberBook& aMembers)
  : m_peers(aPeers)
  , m_members(aMembers)
  , m_slice(kMaxKeys)
{
}

asio::awaitable<wire::HoldersReply>
DirectoryService::FindHolders(std::vector<core::ContextKey> aKeys)
{
  if (aKeys.empty()) {
    co_return wire::HoldersReply{};
  }
  const auto home =
    core::RendezvousOwner(aKeys.front(), m_members.LiveInstances());
  if (!home) {
    co_return wire::HoldersReply{};
  }
  wire::HoldersRequest ask;
  for (const core::ContextKey& key : aKeys) {
    ask.keys.push_back(RawKey(key));
  }
  if (*home == m_peers.Self()) {
    co_return Answer(ask);
  }
  const auto answer =
    co_await m_peers.Ask(*home, std::move(ask), kLookupTimeout);
  if (!answer) {
    co_return wire::HoldersReply{};
  }
  const auto* holders = std::get_if<wire::HoldersReply>(&*answer);
  co_return holders == nullptr ? wire::HoldersReply{} : *holders;
}

template<typename Hint>
void
DirectoryService::TellHome(Hint aHint)
{
  if (aHint.keys.empty()) {
    return;
  }
  const auto home = core::RendezvousOwner(KeyOfRaw(aHint.keys.front()),
                                          m_members.LiveInstances());
  if (!home) {
    return;
  }
  if (*home == m_peers.Self()) {
    Learn(aHint);
    return;
  }
  m_peers.Tell(*home, std::move(aHint));
}

void
DirectoryService::Tell(wire::TargetHint aHint)
{
  TellHome(std::move(aHint));
}

void
DirectoryService::Tell(wire::StoreHint aHint)
{
  TellHome(std::move(aHint));
}

wire::HoldersReply
DirectoryService::Answer(const wire::HoldersRequest& aAsk)
{
  wire::HoldersReply answer;
  for (const core::PrefixHint& hint : m_slice.Lookup(KeysOfRaw(aAsk.keys))) {
    if (const auto* target = std::get_if<core::TargetId>(&hint.holder)) {
      answer.targets.push_back({ *target, hint.blocks });
    } else if (hint.copy) {
      answer.stores.push_back({ std::get<core::StoreId>(hint.holder),
                                hint.copy->handle,
                                hint.copy->generation,
                                hint.blocks });
    }
  }
  return answer;
}

void
DirectoryService::Learn(const wire::TargetHint& aHint)
{
  const auto keys = KeysOfRaw(aHint.keys);
  if (aHint.stored) {
    m_slice.Learn(aHint.target, keys);
    return;
  }
  m_slice.RecordRemoved(aHint.target, keys);
}

void
DirectoryService::Learn(const wire::StoreHint& aHint)
{
  const core::CopyId copy{ aHint.handle, aHint.generation };
  if (!aHint.stored) {
    m_slice.RemoveCopy(aHint.store, copy);
    return;
  }
  m_slice.RecordCopy(aHint.store, copy, KeysOfRaw(aHint.keys));
}

} // namespace jujubehead::node
