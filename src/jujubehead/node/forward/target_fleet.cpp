#include "target_fleet.hpp"

#include <algorithm> // for max, min
#include <utility>   // for move

#include "jujubehead/core/routing/placement.hpp" // for PlacementHash
#include "jujubehead/node/endpoint.hpp"          // for FindEndpoint
#include "jujubehead/node/log.hpp"               // for LogWarning

namespace jujubehead::node {
namespace {

/// Idle connections per target: the usual number of concurrent requests from
/// one instance. More would only use up the target's connection limit.
constexpr std::size_t kMaxIdleConnections = 8;
/// Keep-alive time of a target that does not state one; common servers allow
/// five seconds or more.
constexpr core::Duration kDefaultKeepAlive = std::chrono::milliseconds(3000);
/// Subtracted from a stated keep-alive time, for network time and late timers.
constexpr core::Duration kKeepAliveMargin = std::chrono::milliseconds(700);
/// Entries of running targets lapse when these cannot reach the registry, and
/// return when they can.
constexpr core::Duration kDepartedTtl = std::chrono::minutes(10);

/// Time in which all instances have read the entry of a target that others use.
constexpr core::Duration kVersionSettleTime = std::chrono::seconds(3);

/// @return whether an entry is of the process that a target's state is of.
bool
IsSameProcess(const FleetTarget& aKnown,
              const core::RegisteredTarget& aTarget,
              const boost::asio::ip::tcp::endpoint& aEndpoint)
{
  return aKnown.endpoint == aEndpoint &&
         aKnown.target.started_ms == aTarget.started_ms &&
         aKnown.target.service == aTarget.service;
}

} // namespace

std::optional<std::uint64_t>
FleetTarget::VersionOf(const core::ModelId& aModel) const
{
  const auto registered = target.VersionOf(aModel);
  const auto reported = m_reported_versions.find(aModel);
  if (reported == m_reported_versions.end()) {
    return registered;
  }
  return std::max(registered.value_or(0), reported->second);
}

void
FleetTarget::OnCold(core::Instant aNow, core::Instant aUntil, bool aIsReported)
{
  if (!cold_start.IsCold(aNow)) {
    cold_share.OnBegin(aNow);
  }
  if (aIsReported) {
    cold_start.OnCold(aNow, aUntil);
  } else {
    cold_start.OnUnknown(aNow, aUntil);
  }
}

std::uint32_t
FleetTarget::Slots() const
{
  const std::uint32_t slots = target.slots > 0 ? target.slots : reported_slots;
  return std::max(slots, 1U);
}

void
FleetTarget::OnReport(const core::TargetLoadReport& aReport, core::Instant aNow)
{
  if (aReport.kind == core::ReportKind::kLimit) {
    limit.OnReport(aReport.limit, aReport.reported_at);
    return;
  }
  if (!aReport.is_gone) {
    load.OnRelayedReport(aReport.load, aReport.reported_at);
    return;
  }
  // The same report arrives several times.
  if (aReport.reported_at <= std::max(last_response_at, last_gone_report_at)) {
    return;
  }
  last_gone_report_at = aReport.reported_at;
  if (health.IsUsable(aNow)) {
    health.OnUnreachable(aNow);
  }
}

void
FleetTarget::OnVersion(const core::ModelId& aModel, std::uint64_t aVersion)
{
  std::uint64_t& reported = m_reported_versions[aModel];
  reported = std::max(reported, aVersion);
}

std::shared_ptr<net::OutboundConnection>
FleetTarget::TakeIdleConnection(core::Duration aMaxIdle)
{
  const core::Duration allowed =
    std::min(aMaxIdle, m_keep_alive.value_or(kDefaultKeepAlive));
  const core::Instant oldest = core::RuntimeClock::now() - allowed;
  while (!m_idle_connections.empty()) {
    auto connection = m_idle_connections.back();
    if (connection->resting_since < oldest) {
      // Those before it are idle for longer, but requests with a longer limit
      // may still use them.
      return nullptr;
    }
    m_idle_connections.pop_back();
    if (connection->IsAtRest()) {
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

void
FleetTarget::PutIdleConnection(
  std::shared_ptr<net::OutboundConnection> aConnection)
{
  const core::Instant now = core::RuntimeClock::now();
  const core::Duration allowed = m_keep_alive.value_or(kDefaultKeepAlive);
  std::erase_if(m_idle_connections, [&](const auto& aIdle) {
    const bool is_old = now - aIdle->resting_since > allowed;
    if (is_old) {
      aIdle->Close();
    }
    return is_old;
  });
  if (IsLeaving() || m_idle_connections.size() >= kMaxIdleConnections) {
    aConnection->Close();
    return;
  }
  aConnection->resting_since = now;
  aConnection->was_used = true;
  m_idle_connections.push_back(std::move(aConnection));
}

bool
FleetTarget::OnDraining(core::Instant aNow)
{
  if (draining_since) {
    return false;
  }
  draining_since = aNow;
  CloseIdleConnections();
  return true;
}

bool
FleetTarget::OnCrashed(core::Instant aNow)
{
  if (has_crashed) {
    return false;
  }
  has_crashed = true;
  health.OnUnreachable(aNow);
  CloseIdleConnections();
  return true;
}

void
FleetTarget::OnKeepAlive(core::Duration aTime)
{
  m_keep_alive = std::max(core::Duration(0), aTime - kKeepAliveMargin);
}

void
FleetTarget::CloseIdleConnections()
{
  for (const auto& connection : m_idle_connections) {
    connection->Close();
  }
  m_idle_connections.clear();
}

void
TargetFleet::Update(const std::vector<core::RegisteredTarget>& aTargets)
{
  ForgetDeparted();
  std::set<core::TargetId> present;
  for (const core::RegisteredTarget& target : aTargets) {
    present.insert(target.id);
    Put(target);
  }
  std::vector<core::TargetId> absent;
  for (const auto& [id, target] : m_targets) {
    if (!present.contains(id)) {
      absent.push_back(id);
    }
  }
  for (const core::TargetId& id : absent) {
    Remove(id);
  }
}

void
TargetFleet::Apply(const std::vector<core::RegistrationChange>& aChanges)
{
  ForgetDeparted();
  m_is_first_read = m_targets.empty();
  for (const core::RegistrationChange& change : aChanges) {
    if (change.target) {
      Put(*change.target);
    } else {
      Remove(change.id);
    }
  }
}

void
TargetFleet::Put(const core::RegisteredTarget& aTarget)
{
  const auto endpoint = FindEndpoint(aTarget.address);
  if (!endpoint) {
    LogWarning("targets",
               "target=" + aTarget.id.Text() +
                 " left_out=address_unreadable address=" + aTarget.address);
    Remove(aTarget.id);
    return;
  }
  std::shared_ptr<FleetTarget> known = Find(aTarget.id);
  if (!known || !IsSameProcess(*known, aTarget, *endpoint)) {
    Remove(aTarget.id);
    known = Insert(aTarget, *endpoint);
  }
  const core::Instant now = core::RuntimeClock::now();
  if (known->target.software_version != aTarget.software_version) {
    UncountSoftware(*known);
    known->target = aTarget;
    CountSoftware(*known);
  }
  known->target = aTarget;
  known->is_gone = aTarget.leaving;
  known->is_stopped = m_stopped.contains(aTarget.data_centre);
  known->is_loading = m_loading.contains(aTarget.id);
  UpdateColdStart(*known, now);
  ApplyEndOfStop(*known, now);
  if (known->is_gone) {
    known->CloseIdleConnections();
  }
}

std::shared_ptr<FleetTarget>
TargetFleet::Insert(const core::RegisteredTarget& aTarget,
                    const boost::asio::ip::tcp::endpoint& aEndpoint)
{
  const auto departed = m_departed.find(aTarget.id);
  const bool is_back =
    departed != m_departed.end() &&
    IsSameProcess(*departed->second.target, aTarget, aEndpoint);
  std::shared_ptr<FleetTarget> target =
    is_back ? departed->second.target : Create(aTarget, aEndpoint);
  m_departed.erase(aTarget.id);
  auto& service = m_by_service[aTarget.service];
  target->service_index = service.size();
  service.push_back(target);
  m_targets.emplace(aTarget.id, target);
  m_by_key[core::KeyOf(aTarget.id)] = target;
  CountSoftware(*target);
  return target;
}

std::shared_ptr<FleetTarget>
TargetFleet::Create(const core::RegisteredTarget& aTarget,
                    const boost::asio::ip::tcp::endpoint& aEndpoint)
{
  auto target = std::make_shared<FleetTarget>();
  target->target = aTarget;
  target->name_hash = core::PlacementHash(aTarget.id.View());
  target->endpoint = aEndpoint;
  auto& usual = m_usual[aTarget.service];
  if (!usual) {
    usual = std::make_shared<core::ServiceLoadAverage>();
  }
  target->load = core::LoadEstimate(usual);
  return target;
}

void
TargetFleet::Remove(const core::TargetId& aId)
{
  const auto found = m_targets.find(aId);
  if (found == m_targets.end()) {
    return;
  }
  const std::shared_ptr<FleetTarget> removed = std::move(found->second);
  m_targets.erase(found);
  auto& service = m_by_service.at(removed->target.service);
  std::swap(service[removed->service_index], service.back());
  service[removed->service_index]->service_index = removed->service_index;
  service.pop_back();
  const auto by_key = m_by_key.find(core::KeyOf(aId));
  if (by_key != m_by_key.end() && by_key->second == removed) {
    m_by_key.erase(by_key);
  }
  UncountSoftware(*removed);
  removed->is_gone = true;
  removed->CloseIdleConnections();
  m_departed[aId] = { removed, core::RuntimeClock::now() };
}

void
TargetFleet::CountSoftware(FleetTarget& aTarget)
{
  const core::Instant now = core::RuntimeClock::now();
  auto& versions = m_software[aTarget.target.service];
  const auto [found, is_new] =
    versions.try_emplace(aTarget.target.software_version);
  SoftwareVersion& version = found->second;
  const bool is_back =
    version.targets == 0 && now - version.gone_at > kVersionSettleTime;
  if (is_new || is_back) {
    version.seen_at = m_is_first_read ? core::Instant{} : now;
  }
  ++version.targets;
  aTarget.streams_from = version.seen_at + kVersionSettleTime;
}

void
TargetFleet::UncountSoftware(const FleetTarget& aTarget)
{
  SoftwareVersion& version =
    m_software[aTarget.target.service][aTarget.target.software_version];
  --version.targets;
  version.gone_at = core::RuntimeClock::now();
}

void
TargetFleet::ForgetDeparted()
{
  const core::Instant oldest = core::RuntimeClock::now() - kDepartedTtl;
  std::erase_if(m_departed, [&](const auto& aDeparted) {
    return aDeparted.second.since < oldest;
  });
}

void
TargetFleet::ApplyReports(const std::vector<core::TargetLoadReport>& aReports)
{
  const core::Instant now = core::RuntimeClock::now();
  for (const core::TargetLoadReport& report : aReports) {
    if (report.kind == core::ReportKind::kBrittle ||
        report.kind == core::ReportKind::kAccount) {
      continue; // Not of a target.
    }
    if (const auto target = FindByKey(report.target)) {
      target->OnReport(report, now);
    }
  }
}

void
TargetFleet::SetLoading(const std::set<core::TargetId>& aTargets)
{
  m_loading = aTargets;
  for (const auto& [id, target] : m_targets) {
    target->is_loading = m_loading.contains(id);
  }
}

void
TargetFleet::UpdateColdStart(FleetTarget& aTarget, core::Instant aNow) const
{
  if (aTarget.target.cold_until > aNow) {
    aTarget.OnCold(aNow, aTarget.target.cold_until, true);
  } else {
    aTarget.cold_start.OnWarmReport(aNow);
  }
}

void
TargetFleet::SetStoppedDataCentres(std::set<core::DataCentreId> aStopped,
                                   const std::set<core::DataCentreId>& aEnded)
{
  const core::Instant now = core::RuntimeClock::now();
  m_stopped = std::move(aStopped);
  for (const core::DataCentreId& data_centre : aEnded) {
    m_stop_ended_at[data_centre] = now;
  }
  for (const auto& [id, target] : m_targets) {
    target->is_stopped = m_stopped.contains(target->target.data_centre);
    ApplyEndOfStop(*target, now);
  }
}

void
TargetFleet::ApplyEndOfStop(FleetTarget& aTarget, core::Instant aNow) const
{
  const auto ended = m_stop_ended_at.find(aTarget.target.data_centre);
  const auto cold_time = m_cold_times.find(aTarget.target.service);
  if (ended == m_stop_ended_at.end() || cold_time == m_cold_times.end()) {
    return;
  }
  const core::Instant until = ended->second + cold_time->second;
  if (until > aNow) {
    aTarget.OnCold(aNow, until, false);
  }
}

void
TargetFleet::SetColdTimes(
  std::unordered_map<core::ServiceId, core::Duration> aColdTimes)
{
  m_cold_times = std::move(aColdTimes);
}

std::uint64_t
TargetFleet::RequestsIn(const core::DataCentreId& aDataCentre) const
{
  std::uint64_t requests = 0;
  for (const auto& [id, target] : m_targets) {
    requests +=
      target->target.data_centre == aDataCentre ? target->load.Own() : 0;
  }
  return requests;
}

std::uint64_t
TargetFleet::RequestsInStopped() const
{
  std::uint64_t requests = 0;
  for (const core::DataCentreId& data_centre : m_stopped) {
    requests += RequestsIn(data_centre);
  }
  return requests;
}

std::vector<std::shared_ptr<FleetTarget>>
TargetFleet::Of(const core::ServiceId& aService) const
{
  std::vector<std::shared_ptr<FleetTarget>> targets;
  const auto found = m_by_service.find(aService);
  if (found == m_by_service.end()) {
    return targets;
  }
  for (const auto& target : found->second) {
    if (!target->IsLeaving() && !target->is_stopped) {
      targets.push_back(target);
    }
  }
  return targets;
}

std::vector<std::shared_ptr<FleetTarget>>
TargetFleet::Sample(const core::TargetId& aBut,
                    std::size_t aCount,
                    std::uint64_t aRandom) const
{
  std::vector<std::shared_ptr<FleetTarget>> sample;
  for (const auto& [service, targets] : m_by_service) {
    for (std::size_t i = 0; i < std::min(aCount, targets.size()); ++i) {
      const auto& target = targets[(aRandom + i) % targets.size()];
      if (target->target.id != aBut && sample.size() < aCount) {
        sample.push_back(target);
      }
    }
  }
  return sample;
}

std::shared_ptr<FleetTarget>
TargetFleet::Find(const core::TargetId& aId) const
{
  const auto found = m_targets.find(aId);
  return found == m_targets.end() ? nullptr : found->second;
}

std::shared_ptr<FleetTarget>
TargetFleet::FindByKey(core::TargetKey aKey) const
{
  const auto found = m_by_key.find(aKey);
  return found == m_by_key.end() ? nullptr : found->second;
}

} // namespace jujubehead::node
