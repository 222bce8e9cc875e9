#include "target_connector.hpp"

#include <algorithm> // for min
#include <utility>   // for move, exchange

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/use_awaitable.hpp> // for use_awaitable

#include "jujubehead/node/endpoint.hpp" // for FindEndpoint

// The ways of one attempt, see TargetConnector.

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

/// Time after which another way is tried beside those that have not failed.
/// Connections take a few round trips.
constexpr core::Duration kNextWayDelay = std::chrono::milliseconds(100);
/// Longest time of all ways together.
constexpr core::Duration kConnectTimeout = std::chrono::milliseconds(500);
/// Peers that are asked for one connection. The second is of another data
/// centre, as the first one's may be partitioned as a whole.
constexpr std::size_t kMaxPeers = 3;

} // namespace

ConnectionAttempt::ConnectionAttempt(TargetConnector& aConnector,
                                     const asio::any_io_executor& aExecutor,
                                     std::shared_ptr<FleetTarget> aTarget,
                                     core::Homes aHomes)
  : m_connector(aConnector)
  , m_executor(aExecutor)
  , m_target(std::move(aTarget))
  , m_homes(std::move(aHomes))
  , m_wake(aExecutor)
{
}

bool
ConnectionAttempt::IsOver() const
{
  return m_has_ended || m_result.connection || m_result.is_refused;
}

asio::awaitable<TargetConnection>
ConnectionAttempt::Wait()
{
  const auto self = shared_from_this();
  const core::Instant end = core::RuntimeClock::now() + kConnectTimeout;
  if (!m_connector.m_paths.IsLost(m_target->target.id)) {
    StartDirect();
  }
  while (!IsOver()) {
    const core::Instant now = core::RuntimeClock::now();
    const bool is_due = m_pending == 0 || now >= m_next_start;
    if (now >= end || (is_due && !StartNextWay() && m_pending == 0)) {
      break;
    }
    m_wake.expires_at(std::min(m_next_start, end));
    if (m_next_start <= now) { // No way is left to start.
      m_wake.expires_at(end);
    }
    co_await m_wake.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  m_has_ended = true;
  for (const auto& tunnel : m_tunnels) {
    if (tunnel != m_result.connection) {
      tunnel->Close();
    }
  }
  // Where no other instance replies, this one's own view has to do.
  const bool is_unconfirmed = m_is_directly_refused && !m_has_peer_replied;
  if (!m_result.connection && is_unconfirmed && !m_is_cancelled) {
    m_result.is_refused =
      m_connector.m_peers->IsEmpty() ||
      co_await m_connector.ReachesOthers(m_executor, m_target->target.id);
  }
  co_return std::move(m_result);
}

void
ConnectionAttempt::Cancel()
{
  m_is_cancelled = true;
  m_has_ended = true;
  m_wake.cancel();
  if (m_direct) {
    m_direct->Close();
  }
}

bool
ConnectionAttempt::StartNextWay()
{
  if (StartTunnel()) {
    return true;
  }
  // Without peers that take a tunnel, a lost path may be back.
  if (m_has_tried_directly || m_pending > 0) {
    return false;
  }
  StartDirect();
  return true;
}

void
ConnectionAttempt::StartDirect()
{
  m_has_tried_directly = true;
  m_direct = net::OutboundConnection::Create(m_executor, {});
  m_next_start = core::RuntimeClock::now() + kNextWayDelay;
  ++m_pending;
  asio::co_spawn(
    m_executor,
    [self = shared_from_this()]() -> asio::awaitable<void> {
      co_await self->ConnectDirectly();
    },
    asio::detached);
}

bool
ConnectionAttempt::StartTunnel()
{
  if (m_tried_peers.size() >= kMaxPeers) {
    return false;
  }
  const core::TunnelPeer* peer = m_connector.m_peers->Choose(
    m_homes, m_tried_peers, m_connector.m_random(), core::RuntimeClock::now());
  if (peer == nullptr) {
    return false;
  }
  m_tried_peers.insert(peer->id);
  m_next_start = core::RuntimeClock::now() + kNextWayDelay;
  ++m_pending;
  asio::co_spawn(
    m_executor,
    [self = shared_from_this(), one = *peer]() -> asio::awaitable<void> {
      co_await self->ConnectThrough(one);
    },
    asio::detached);
  return true;
}

asio::awaitable<void>
ConnectionAttempt::ConnectDirectly()
{
  const error_code error = co_await m_direct->Connect(m_target->endpoint);
  --m_pending;
  if (!error) {
    m_connector.OnConnected(m_target->target.id);
    if (IsOver()) {
      m_target->PutIdleConnection(m_direct);
    } else {
      m_result.connection = m_direct;
    }
  } else if (error == asio::error::timed_out || !m_has_ended) {
    m_direct_loss = error == asio::error::timed_out ? core::PathLoss::kSilent
                                                    : core::PathLoss::kRefused;
    m_is_directly_refused = error == asio::error::connection_refused;
    UpdatePath();
    OnFailed("connect: " + error.message());
  }
  m_direct.reset();
  m_wake.cancel();
}

asio::awaitable<void>
ConnectionAttempt::ConnectThrough(core::TunnelPeer aPeer)
{
  TunnelReply reply;
  const auto endpoint = FindEndpoint(aPeer.address);
  const auto connection = net::OutboundConnection::Create(m_executor, {});
  m_tunnels.push_back(connection);
  if (endpoint) {
    reply = co_await OpenTunnel(
      connection, *endpoint, m_target->target.id, m_target->endpoint);
  }
  --m_pending;
  OnTunnel(aPeer, reply, connection);
  m_wake.cancel();
}

void
ConnectionAttempt::OnTunnel(
  const core::TunnelPeer& aPeer,
  const TunnelReply& aReply,
  const std::shared_ptr<net::OutboundConnection>& aConnection)
{
  const core::Instant now = core::RuntimeClock::now();
  const bool is_open = aReply.status == TunnelStatus::kOpen;
  m_has_peer_replied |= aReply.is_from_peer;
  if (is_open || aReply.status == TunnelStatus::kTargetRefused) {
    m_connector.m_peers->OnAnswer(aPeer.id);
  } else if (!m_has_ended) {
    m_connector.m_peers->OnFailure(aPeer.id, now);
  }
  if (is_open) {
    m_reached_by = aPeer.id;
    UpdatePath();
  }
  if (is_open && !IsOver()) {
    m_result.connection = aConnection;
    m_result.peer = aPeer.id;
    m_result.tunnel_use = m_connector.UseOf(aPeer.id);
    m_connector.m_metrics.Add(Counter::kTunnels);
    return;
  }
  aConnection->Close();
  if (aReply.status == TunnelStatus::kTargetRefused) {
    m_result.is_refused = true;
  }
  if (!is_open) {
    OnFailed("tunnel through " + aPeer.id + ": " + aReply.error);
  }
}

void
ConnectionAttempt::OnFailed(std::string aError)
{
  if (m_result.error.empty()) {
    m_result.error = std::move(aError);
  }
  m_next_start = core::RuntimeClock::now();
}

void
ConnectionAttempt::UpdatePath()
{
  if (m_direct_loss && !m_reached_by.empty()) {
    m_connector.OnLost(m_executor, *m_target, *m_direct_loss, m_reached_by);
  }
}

} // namespace jujubehead::node
