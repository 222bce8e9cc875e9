#include "jujubehead/node/table_watch.hpp"

#include <algorithm> // for max, shuffle
#include <random>    // for mt19937_64

#include <malloc.h> // for malloc_trim

#include <boost/asio/co_spawn.hpp> // for co_spawn
#include <boost/asio/detached.hpp> // for detached

#include "jujubehead/net/table_follow.hpp" // for FollowOnce
#include "jujubehead/net/timer.hpp"        // for Sleep
#include "jujubehead/node/member_book.hpp" // for MemberBook
#include "jujubehead/node/peer_calls.hpp"  // for PeerCalls

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;
using core::RuntimeClock;

constexpr core::Duration kHeadTimeout = std::chrono::seconds(1);
constexpr core::Duration kSnapshotTimeout = std::chrono::seconds(3);
// Reading a large table leaves several times its size to the allocator, which
// keeps it unless asked; asking takes milliseconds, so not at every change.
constexpr core::Duration kGiveBackInterval = std::chrono::seconds(30);
constexpr core::Duration kAskInterval = std::chrono::seconds(1);
// So many peers at a time are asked what they have, at the start and while the
// service is away.
constexpr std::size_t kPeersAsked = 16;
// Follower steps are looked for at least this often.
constexpr core::Duration kLongestSleep = std::chrono::seconds(1);
constexpr core::Duration kShortestSleep = std::chrono::milliseconds(5);

core::TableFollowerOptions
FollowerOptions(const core::InstanceId& aSelf)
{
  constexpr double kJitterSteps = 1000;
  core::TableFollowerOptions options;
  const auto hash = std::hash<core::InstanceId>{}(aSelf);
  options.jitter =
    static_cast<double>(hash % static_cast<std::size_t>(kJitterSteps)) /
    kJitterSteps;
  return options;
}

} // namespace

TableWatch::TableWatch(net::TableLog& aLog,
                       PeerCalls& aPeers,
                       const MemberBook& aMembers,
                       std::function<void()> aOnChange)
  : m_log(aLog)
  , m_peers(aPeers)
  , m_members(aMembers)
  , m_on_change(std::move(aOnChange))
  , m_follower(FollowerOptions(aPeers.Self()))
{
}

asio::awaitable<void>
TableWatch::Run()
{
  asio::co_spawn(m_peers.Context(), AskPeers(), asio::detached);
  for (;;) {
    const std::uint64_t before = View().Version();
    const core::Instant until = co_await net::FollowOnce(
      m_log, m_follower, [this](core::InstanceId aPeer) {
        return AskSnapshot(std::move(aPeer));
      });
    if (View().Version() != before) {
      m_on_change();
      GiveBackMemory();
    }
    if (m_pages.DropIfIdle(RuntimeClock::now())) {
      GiveBackMemory();
    }
    const core::Duration wait = until - RuntimeClock::now();
    co_await net::Sleep(std::clamp(wait, kShortestSleep, kLongestSleep));
  }
}

wire::TableHead
TableWatch::Head() const
{
  return { NotReady() ? 0 : View().Version() };
}

wire::TablePageReply
TableWatch::Page(const wire::TablePageRequest& aAsk)
{
  if (NotReady()) {
    return {};
  }
  return m_pages.Page(aAsk, *View().Current(), RuntimeClock::now());
}

void
TableWatch::GiveBackMemory()
{
  const core::Instant now = RuntimeClock::now();
  if (now - m_gave_back_at >= kGiveBackInterval) {
    m_gave_back_at = now;
    malloc_trim(0);
  }
}

asio::awaitable<void>
TableWatch::AskPeers()
{
  std::mt19937_64 random(std::hash<core::InstanceId>{}(m_peers.Self()));
  for (;;) {
    if (NotReady() || m_follower.IsServiceUnavailable()) {
      std::vector<core::InstanceId> peers = m_members.LiveInstances();
      std::erase(peers, m_peers.Self());
      std::shuffle(peers.begin(), peers.end(), random);
      peers.resize(std::min(peers.size(), kPeersAsked));
      for (core::InstanceId& peer : peers) {
        asio::co_spawn(
          m_peers.Context(), AskHead(std::move(peer)), asio::detached);
      }
    }
    co_await net::Sleep(kAskInterval);
  }
}

asio::awaitable<void>
TableWatch::AskHead(core::InstanceId aPeer)
{
  wire::Message ask = wire::TableHead{ 0 };
  const auto answer = co_await m_peers.Ask(aPeer, std::move(ask), kHeadTimeout);
  if (!answer) {
    co_return;
  }
  if (const auto* head = std::get_if<wire::TableHead>(&*answer)) {
    m_follower.OnPeerVersion(aPeer, head->version);
  }
}

asio::awaitable<std::optional<std::string>>
TableWatch::AskSnapshot(core::InstanceId aPeer)
{
  SnapshotAssembly assembly;
  while (!assembly.IsWhole()) {
    wire::Message ask = assembly.Next();
    const auto answer =
      co_await m_peers.Ask(aPeer, std::move(ask), kSnapshotTimeout);
    const auto* page =
      answer ? std::get_if<wire::TablePageReply>(&*answer) : nullptr;
    if (page == nullptr || !assembly.Add(*page)) {
      co_return std::nullopt;
    }
  }
  co_return assembly.Take();
}

} // namespace jujubehead::node
