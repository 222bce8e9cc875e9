#include "jujubehead/core/table_follower.hpp"

#include <algorithm> // for max, min
#include <utility>   // for move

namespace jujubehead::core {
namespace {

constexpr unsigned kMaxDoublings = 10;

} // namespace

TableFollower::TableFollower(TableFollowerOptions aOptions)
  : m_options(aOptions)
{
}

FollowStep
TableFollower::Next(Instant aNow)
{
  UpdateReadiness(aNow);
  if (m_pending == PendingStep::kPeer &&
      aNow - m_pending_since >= m_options.peer_timeout) {
    OnPeerFailed(aNow, m_pending_peer);
  }
  if (m_pending != PendingStep::kNothing) {
    return FollowIdle{ m_pending == PendingStep::kPeer
                         ? m_pending_since + m_options.peer_timeout
                         : aNow + m_options.poll_interval };
  }
  // While the service is unavailable, a peer may have a newer version.
  if (m_service_failures != 0) {
    if (const auto peer = NewestPeer(aNow)) {
      return RequestSnapshot(aNow, *peer);
    }
  }
  if (aNow < m_next_poll_at) {
    return FollowIdle{ m_next_poll_at };
  }
  m_pending_since = aNow;
  if (m_needs_snapshot) {
    m_pending = PendingStep::kSnapshot;
    return FetchStoredSnapshot{};
  }
  m_pending = PendingStep::kEntries;
  return FetchEntries{ m_view.Version() };
}

void
TableFollower::OnEntries(Instant aNow,
                         const std::vector<ChangeEntry>& aEntries,
                         bool aAtHead)
{
  m_service_failures = 0;
  m_failing_since.reset();
  m_service_error.clear();
  if (!aEntries.empty()) {
    m_newest_reported = std::max(m_newest_reported, aEntries.back().version);
  }
  const bool gap = m_view.Apply(aEntries) == ApplyResult::kGap;
  m_needs_snapshot = gap;
  const bool at_head = aAtHead && !gap;
  if (at_head) {
    m_read_to_head = true;
    m_up_to_date_at = aNow;
  }
  UpdateReadiness(aNow);
  Complete(aNow, NextAfterEntries(gap, at_head));
}

void
TableFollower::OnStoredSnapshot(Instant aNow,
                                std::optional<TableSnapshot> aSnapshot)
{
  if (aSnapshot) {
    m_newest_reported = std::max(m_newest_reported, aSnapshot->version);
    m_view.Replace(std::move(*aSnapshot));
  }
  m_needs_snapshot = false;
  Complete(aNow, Duration(0));
}

void
TableFollower::OnServiceFailed(Instant aNow, std::string aWhy)
{
  ++m_service_failures;
  m_failing_since = m_failing_since.value_or(aNow);
  m_service_error = std::move(aWhy);
  // The entries or a peer's snapshot may suffice.
  m_needs_snapshot = false;
  UpdateReadiness(aNow);
  Complete(aNow, Backoff());
}

void
TableFollower::OnPeerSnapshot(Instant aNow,
                              const InstanceId& aPeer,
                              std::optional<TableSnapshot> aSnapshot)
{
  if (!aSnapshot) {
    OnPeerFailed(aNow, aPeer);
    return;
  }
  OnPeerVersion(aPeer, aSnapshot->version);
  m_has_peer_snapshot = true;
  m_view.Replace(std::move(*aSnapshot));
  UpdateReadiness(aNow);
  if (m_pending == PendingStep::kPeer && aPeer == m_pending_peer) {
    m_pending = PendingStep::kNothing;
  }
}

void
TableFollower::OnPeerFailed(Instant aNow, const InstanceId& aPeer)
{
  m_retry_after[aPeer] = aNow + m_options.max_backoff;
  if (m_pending == PendingStep::kPeer && aPeer == m_pending_peer) {
    m_pending = PendingStep::kNothing;
  }
}

void
TableFollower::OnPeerVersion(const InstanceId& aPeer, std::uint64_t aVersion)
{
  m_peer_versions[aPeer] = aVersion;
  m_newest_reported = std::max(m_newest_reported, aVersion);
}

void
TableFollower::OnPeerRemoved(const InstanceId& aPeer)
{
  m_peer_versions.erase(aPeer);
  m_retry_after.erase(aPeer);
}

std::optional<std::string>
TableFollower::NotReady() const
{
  if (m_ready) {
    return std::nullopt;
  }
  std::string why =
    "the table is at version " + std::to_string(m_view.Version());
  if (m_newest_reported > m_view.Version()) {
    why += ", version " + std::to_string(m_newest_reported) + " was reported";
  }
  if (m_service_failures != 0) {
    why += ", the table service failed: " + m_service_error;
    why += m_peer_versions.empty() ? ", no peer is known"
                                   : ", waiting for a peer's snapshot";
  } else {
    why += ", still reading entries";
  }
  return why;
}

Duration
TableFollower::Age(Instant aNow) const
{
  return m_up_to_date_at ? aNow - *m_up_to_date_at : Duration::max();
}

std::optional<InstanceId>
TableFollower::NewestPeer(Instant aNow) const
{
  const bool needs_any = !m_ready && !m_has_peer_snapshot;
  std::optional<InstanceId> newest;
  std::uint64_t version = m_view.Version();
  for (const auto& [peer, reported] : m_peer_versions) {
    const auto failed = m_retry_after.find(peer);
    const bool may_ask =
      failed == m_retry_after.end() || failed->second <= aNow;
    const bool helps =
      reported > version ||
      (needs_any && !newest && reported == version && reported != 0);
    if (may_ask && helps) {
      newest = peer;
      version = reported;
    }
  }
  return newest;
}

FollowStep
TableFollower::RequestSnapshot(Instant aNow, const InstanceId& aPeer)
{
  m_pending = PendingStep::kPeer;
  m_pending_since = aNow;
  m_pending_peer = aPeer;
  return FetchPeerSnapshot{ aPeer };
}

void
TableFollower::Complete(Instant aNow, Duration aNext)
{
  m_pending = PendingStep::kNothing;
  m_next_poll_at = aNow + aNext;
  if (aNext == m_options.poll_interval) {
    // Applied once, so that instances that started together poll at different
    // times.
    m_next_poll_at -=
      std::chrono::duration_cast<Duration>(aNext * m_options.jitter);
    m_options.jitter = 0;
  }
}

void
TableFollower::UpdateReadiness(Instant aNow)
{
  // Gives peers with newer versions the time to report them.
  const bool may_trust_peers =
    m_failing_since && aNow - *m_failing_since >= m_options.peer_timeout;
  const bool has_source =
    m_read_to_head || (may_trust_peers && m_has_peer_snapshot);
  m_ready = m_ready || (has_source && m_view.Version() >= m_newest_reported);
}

Duration
TableFollower::NextAfterEntries(bool aGap, bool aAtHead) const
{
  if (aGap) {
    return m_options.min_backoff;
  }
  return aAtHead ? m_options.poll_interval : Duration(0);
}

Duration
TableFollower::Backoff() const
{
  const unsigned doublings = std::min(m_service_failures - 1, kMaxDoublings);
  return std::min(m_options.min_backoff * (1U << doublings),
                  m_options.max_backoff);
}

} // namespace jujubehead::core
