#include "target_connector.hpp"

#include <utility> // for move

#include <boost/asio/co_spawn.hpp> // for co_spawn
#include <boost/asio/detached.hpp> // for detached

#include "decision_log.hpp" // for DecisionLog

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

/// Pause between checks of lost paths, randomized so that instances whose paths
/// return at one moment do not all connect at once.
constexpr std::int64_t kMinCheckPauseMs = 250;
constexpr std::int64_t kMaxCheckPauseMs = 600;
/// Pause after a check that found a path regained: likely the others are, too.
constexpr core::Duration kRegainedPause = std::chrono::milliseconds(20);
/// A host that responds does so within a few round trips.
constexpr core::Duration kCheckTimeout = std::chrono::milliseconds(300);
/// Least time between checks of one target.
constexpr core::Duration kCheckInterval = std::chrono::seconds(1);
/// A connection to a target opened within this time shows that this instance
/// reaches targets.
constexpr core::Duration kRecentContact = std::chrono::milliseconds(100);
/// Other targets to which a connection is tried in order to know the same.
constexpr std::size_t kOthersAsked = 2;
constexpr core::Duration kOtherTimeout = std::chrono::milliseconds(40);
/// Time without any response after which a loaded instance suspects its own
/// paths: streams have an event in a tenth of it.
constexpr core::Duration kSilence = std::chrono::milliseconds(200);

} // namespace

TargetConnector::TargetConnector(const EntryOptions& aOptions,
                                 TargetFleet& aFleet,
                                 ThreadMetrics& aMetrics)
  : m_options(aOptions)
  , m_fleet(aFleet)
  , m_metrics(aMetrics)
  , m_peers(std::make_shared<core::TunnelPeers>(aOptions.instance_id.Text(),
                                                aOptions.data_centre,
                                                aOptions.regions))
  , m_random(std::random_device{}())
{
}

std::shared_ptr<ConnectionAttempt>
TargetConnector::Begin(const asio::any_io_executor& aExecutor,
                       std::shared_ptr<FleetTarget> aTarget,
                       core::Homes aHomes)
{
  m_paths.OnUse(aTarget->target.id);
  return std::make_shared<ConnectionAttempt>(
    *this, aExecutor, std::move(aTarget), std::move(aHomes));
}

bool
TargetConnector::IsSilent(core::Instant aNow) const
{
  return aNow - m_last_direct_response >= kSilence;
}

void
TargetConnector::Check(const asio::any_io_executor& aExecutor,
                       const std::shared_ptr<FleetTarget>& aTarget)
{
  const core::Instant now = core::RuntimeClock::now();
  if (m_peers->IsEmpty() || m_paths.IsLost(aTarget->target.id) ||
      now - aTarget->path_checked_at < kCheckInterval) {
    return;
  }
  aTarget->path_checked_at = now;
  m_metrics.Add(Counter::kPathChecks);
  auto attempt = std::make_shared<ConnectionAttempt>(
    *this, aExecutor, aTarget, core::Homes({}, {}, m_options.regions));
  asio::co_spawn(
    aExecutor, RunCheck(std::move(attempt), aTarget), asio::detached);
}

asio::awaitable<void>
TargetConnector::RunCheck(std::shared_ptr<ConnectionAttempt> aAttempt,
                          std::shared_ptr<FleetTarget> aTarget)
{
  const TargetConnection opened = co_await aAttempt->Wait();
  if (!opened.connection) {
    co_return;
  }
  if (opened.peer.empty()) {
    aTarget->PutIdleConnection(opened.connection);
  } else {
    opened.connection->Close();
  }
}

void
TargetConnector::OnConnected(const core::TargetId& aTarget)
{
  m_last_connected = core::RuntimeClock::now();
  if (m_paths.OnConnected(aTarget)) {
    DecisionLog::WriteUnthrottled(
      LogLine("path_regained").Add("target", aTarget.View()));
  }
  UpdateState();
}

void
TargetConnector::OnLost(const asio::any_io_executor& aExecutor,
                        FleetTarget& aTarget,
                        core::PathLoss aLoss,
                        const std::string& aPeer)
{
  if (!m_paths.OnLost(aTarget.target.id, aLoss, core::RuntimeClock::now())) {
    return;
  }
  const bool is_silent = aLoss == core::PathLoss::kSilent;
  DecisionLog::WriteUnthrottled(
    LogLine("path_lost")
      .Add("target", aTarget.target.id.View())
      .Add("why", is_silent ? "no response" : "connection refused or reset")
      .Add("reached_by", aPeer));
  // What made it unusable was the path.
  aTarget.health.OnReachable();
  if (is_silent) {
    aTarget.CloseIdleConnections();
  }
  UpdateState();
  if (!m_is_checking) {
    m_is_checking = true;
    asio::co_spawn(aExecutor, CheckLostPaths(aExecutor), asio::detached);
  }
  if (!m_paths.IsPartitioned()) {
    for (const core::TargetId& other : m_paths.RecentlyUsed()) {
      if (const auto target = m_fleet.Find(other)) {
        Check(aExecutor, target);
      }
    }
  }
}

asio::awaitable<bool>
TargetConnector::ReachesOthers(asio::any_io_executor aExecutor,
                               core::TargetId aTarget)
{
  if (core::RuntimeClock::now() - m_last_connected < kRecentContact) {
    co_return true;
  }
  const auto others = m_fleet.Sample(aTarget, kOthersAsked, m_random());
  for (const auto& other : others) {
    net::OutboundOptions options;
    options.connect_timeout = kOtherTimeout;
    const auto connection = net::OutboundConnection::Create(aExecutor, options);
    const auto error = co_await connection->Connect(other->endpoint);
    if (!error) {
      OnConnected(other->target.id);
      other->PutIdleConnection(connection);
      co_return true;
    }
  }
  co_return others.empty();
}

void
TargetConnector::UpdateState()
{
  m_lost_count = m_paths.LostCount();
  const bool is_partitioned = m_paths.IsPartitioned();
  if (m_is_partitioned.exchange(is_partitioned) == is_partitioned) {
    return;
  }
  const core::Instant now = core::RuntimeClock::now();
  LogLine line(is_partitioned ? "partition_begun" : "partition_ended");
  line.Add("lost_paths", std::uint64_t(m_paths.LostCount()));
  if (is_partitioned) {
    m_partitioned_since = now;
  } else {
    line.Add("lasted", now - m_partitioned_since);
  }
  DecisionLog::WriteUnthrottled(line);
}

asio::awaitable<void>
TargetConnector::CheckLostPaths(asio::any_io_executor aExecutor)
{
  std::uniform_int_distribution<std::int64_t> pause(kMinCheckPauseMs,
                                                    kMaxCheckPauseMs);
  bool has_regained = false;
  while (m_paths.HasLost()) {
    co_await net::Sleep(has_regained
                          ? kRegainedPause
                          : std::chrono::milliseconds(pause(m_random)));
    has_regained = false;
    const auto id = m_paths.NextCheck(core::RuntimeClock::now());
    if (!id) {
      continue;
    }
    const auto target = m_fleet.Find(*id);
    if (!target) {
      m_paths.Forget(*id);
      UpdateState();
      continue;
    }
    net::OutboundOptions options;
    options.connect_timeout = kCheckTimeout;
    auto connection = net::OutboundConnection::Create(aExecutor, options);
    const auto error = co_await connection->Connect(target->endpoint);
    if (!error) {
      has_regained = true;
      OnConnected(*id);
      target->PutIdleConnection(std::move(connection));
    }
  }
  m_is_checking = false;
}

std::shared_ptr<void>
TargetConnector::UseOf(const std::string& aPeer)
{
  m_peers->OnBegin(aPeer);
  return { nullptr, [peers = m_peers, aPeer](void*) { peers->OnEnd(aPeer); } };
}

} // namespace jujubehead::node
