#include "jujubehead/node/target_watch.hpp"

#include <utility> // for move

#include <boost/asio/co_spawn.hpp> // for co_spawn
#include <boost/asio/detached.hpp> // for detached

#include "jujubehead/net/http_client.hpp"    // for HttpClient, HttpCallError
#include "jujubehead/net/timer.hpp"          // for Sleep
#include "jujubehead/node/member_book.hpp"   // for MemberBook
#include "jujubehead/node/owner_service.hpp" // for OwnerService

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;
using core::RuntimeClock;

constexpr core::Duration kPollInterval = std::chrono::milliseconds(500);
constexpr core::Duration kPollTimeout = std::chrono::seconds(2);
// One lost reading is no sign that a target is gone.
constexpr int kFailuresUntilUnreachable = 2;
// The most that an engine's clock may run fast, in hundredths.
constexpr std::int64_t kDriftPercent = 2;
constexpr std::int64_t kWholePercent = 100;

} // namespace

TargetWatch::TargetWatch(asio::io_context& aContext,
                         net::HttpClient& aClient,
                         const MemberBook& aMembers,
                         OwnerService& aOwner)
  : m_context(aContext)
  , m_client(aClient)
  , m_members(aMembers)
  , m_owner(aOwner)
{
}

asio::awaitable<void>
TargetWatch::Run()
{
  for (;;) {
    std::erase_if(m_watched, [this](const auto& aEntry) {
      return !aEntry.second.polling && !m_owner.Owns(aEntry.first);
    });
    for (const core::TargetId& target : m_owner.Owned()) {
      Watched& watched = m_watched[target];
      if (!watched.polling) {
        watched.polling = true;
        asio::co_spawn(m_context, Poll(target), asio::detached);
      }
    }
    co_await net::Sleep(kPollInterval);
  }
}

asio::awaitable<void>
TargetWatch::Poll(core::TargetId aTarget)
{
  const net::Member* member = m_members.Find(aTarget.View());
  if (member != nullptr) {
    const bool service = member->kind == net::MemberKind::kService;
    std::string authority = member->address;
    try {
      if (service) {
        co_await PollService(aTarget, std::move(authority));
      } else {
        net::EngineClient engine(m_client, std::move(authority), kPollTimeout);
        co_await PollEngine(aTarget, std::move(engine));
      }
      m_watched[aTarget].failures = 0;
    } catch (const net::HttpCallError&) {
      Failed(aTarget);
    }
  }
  m_watched[aTarget].polling = false;
}

asio::awaitable<void>
TargetWatch::PollEngine(core::TargetId aTarget, net::EngineClient aEngine)
{
  co_await Fence(aTarget, aEngine);
  const net::EngineLoad load = co_await aEngine.Load();
  TakeLoad(aTarget, load);
  const std::uint64_t after = m_watched[aTarget].last_event;
  const net::CacheEventPage page = co_await aEngine.EventsAfter(after);
  TakeEvents(aTarget, page);
}

asio::awaitable<void>
TargetWatch::PollService(core::TargetId aTarget, std::string aAuthority)
{
  net::HttpCall call;
  call.authority = std::move(aAuthority);
  call.target = "/v1/load";
  call.idle_timeout = kPollTimeout;
  co_await m_client.Fetch(std::move(call));
  m_owner.OnState(aTarget, TargetState());
}

asio::awaitable<void>
TargetWatch::Fence(core::TargetId aTarget, net::EngineClient& aEngine)
{
  const auto epoch = m_owner.EpochOf(aTarget);
  Watched& watched = m_watched[aTarget];
  if (!epoch || (watched.epoch == *epoch && watched.fence_sent)) {
    co_return;
  }
  watched.epoch = *epoch;
  watched.anchor.reset();
  const core::Instant sent = RuntimeClock::now();
  net::EngineOrder order = net::FenceOrder{};
  const auto taken = co_await aEngine.Give(*epoch, std::move(order));
  if (std::holds_alternative<net::OrderTaken>(taken)) {
    m_watched[aTarget].fence_sent = sent;
  }
}

void
TargetWatch::TakeLoad(const core::TargetId& aTarget,
                      const net::EngineLoad& aLoad)
{
  m_owner.OnState(aTarget,
                  { true, aLoad.loading, aLoad.versions, aLoad.adapters });
  Watched& watched = m_watched[aTarget];
  if (!watched.fence_sent) {
    return;
  }
  if (aLoad.order_seen < watched.epoch) {
    if (watched.anchor) {
      watched.fence_sent.reset(); // It started anew and must be told again.
    }
    return;
  }
  if (!watched.anchor) {
    watched.anchor = Anchor{ *watched.fence_sent, aLoad.as_of_ms };
  }
  const std::int64_t passed = aLoad.as_of_ms - watched.anchor->engine_ms;
  const std::int64_t sure =
    passed * (kWholePercent - kDriftPercent) / kWholePercent;
  m_owner.OnReport(
    aTarget,
    { watched.anchor->sent + std::chrono::milliseconds(sure), aLoad.running });
}

void
TargetWatch::TakeEvents(const core::TargetId& aTarget,
                        const net::CacheEventPage& aPage)
{
  Watched& watched = m_watched[aTarget];
  if (aPage.last < watched.last_event) {
    m_owner.OnCleared(aTarget);
  }
  watched.last_event = aPage.last;
  for (const core::CacheEvent& event : aPage.events) {
    if (event.kind == core::CacheEventKind::kRemoved) {
      m_owner.OnEvicted(aTarget, event.keys);
    } else if (event.kind == core::CacheEventKind::kCleared) {
      m_owner.OnCleared(aTarget);
    }
  }
}

void
TargetWatch::Failed(const core::TargetId& aTarget)
{
  Watched& watched = m_watched[aTarget];
  if (++watched.failures >= kFailuresUntilUnreachable) {
    TargetState gone;
    gone.reachable = false;
    m_owner.OnState(aTarget, std::move(gone));
  }
}

} // namespace jujubehead::node
