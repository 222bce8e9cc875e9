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
  if (m_out == Out::kPeer && aNow - m_out_since >= m_options.peer_timeout) {
    OnPeerFailed(aNow, m_asked);
  }
  if (m_out != Out::kNothing) {
    return FollowIdle{ m_out == Out::kPeer
                         ? m_out_since + m_options.peer_timeout
                         : aNow + m_options.poll_interval };
  }
  // A peer has a newer version than the service lets us read.
  if (m_service_failures != 0) {
    if (const auto peer = NewestPeer(aNow)) {
      return Ask(aNow, *peer);
    }
  }
  if (aNow < m_next) {
    return FollowIdle{ m_next };
  }
  m_out_since = aNow;
  if (m_wants_snapshot) {
    m_out = Out::kSnapshot;
    return FollowSnapshot{};
  }
  m_out = Out::kEntries;
  return FollowEntries{ m_view.Version() };
}

void
TableFollower::OnEntries(Instant aNow,
                         const std::vector<ChangeEntry>& aEntries,
                         bool aAtHead)
{
  m_service_failures = 0;
  m_failing_since.reset();
  m_why.clear();
  if (!aEntries.empty()) {
    m_shown = std::max(m_shown, aEntries.back().version);
  }
  const bool gap = m_view.Apply(aEntries) == Applied::kGap;
  m_wants_snapshot = gap;
  const bool at_head = aAtHead && !gap;
  if (at_head) {
    m_read_to_head = true;
    m_newest_at = aNow;
  }
  UpdateReadiness(aNow);
  Finish(aNow, NextAfterEntries(gap, at_head));
}

void
TableFollower::OnStoredSnapshot(Instant aNow,
                                std::optional<TableSnapshot> aSnapshot)
{
  if (aSnapshot) {
    m_shown = std::max(m_shown, aSnapshot->version);
    m_view.Replace(std::move(*aSnapshot));
  }
  m_wants_snapshot = false;
  Finish(aNow, Duration(0));
}

void
TableFollower::OnServiceFailed(Instant aNow, std::string aWhy)
{
  ++m_service_failures;
  m_failing_since = m_failing_since.value_or(aNow);
  m_why = std::move(aWhy);
  // The entries may be enough, or a peer.
  m_wants_snapshot = false;
  UpdateReadiness(aNow);
  Finish(aNow, Backoff());
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
  if (m_out == Out::kPeer && aPeer == m_asked) {
    m_out = Out::kNothing;
  }
}

void
TableFollower::OnPeerFailed(Instant aNow, const InstanceId& aPeer)
{
  m_not_before[aPeer] = aNow + m_options.max_backoff;
  if (m_out == Out::kPeer && aPeer == m_asked) {
    m_out = Out::kNothing;
  }
}

void
TableFollower::OnPeerVersion(const InstanceId& aPeer, std::uint64_t aVersion)
{
  m_peers[aPeer] = aVersion;
  m_shown = std::max(m_shown, aVersion);
}

void
TableFollower::OnPeerGone(const InstanceId& aPeer)
{
  m_peers.erase(aPeer);
  m_not_before.erase(aPeer);
}

std::optional<std::string>
TableFollower::NotReady() const
{
  if (m_ready) {
    return std::nullopt;
  }
  std::string why =
    "the table is at version " + std::to_string(m_view.Version());
  if (m_shown > m_view.Version()) {
    why += ", version " + std::to_string(m_shown) + " has been shown";
  }
  if (m_service_failures != 0) {
    why += ", the service failed: " + m_why;
    why += m_peers.empty() ? ", no peer is known" : ", waiting for a peer's";
  } else {
    why += ", still reading";
  }
  return why;
}

Duration
TableFollower::Age(Instant aNow) const
{
  return m_newest_at ? aNow - *m_newest_at : Duration::max();
}

std::optional<InstanceId>
TableFollower::NewestPeer(Instant aNow) const
{
  const bool needs_any = !m_ready && !m_has_peer_snapshot;
  std::optional<InstanceId> newest;
  std::uint64_t version = m_view.Version();
  for (const auto& [peer, shown] : m_peers) {
    const auto failed = m_not_before.find(peer);
    const bool may_ask = failed == m_not_before.end() || failed->second <= aNow;
    const bool helps = shown > version ||
                       (needs_any && !newest && shown == version && shown != 0);
    if (may_ask && helps) {
      newest = peer;
      version = shown;
    }
  }
  return newest;
}

FollowStep
TableFollower::Ask(Instant aNow, const InstanceId& aPeer)
{
  m_out = Out::kPeer;
  m_out_since = aNow;
  m_asked = aPeer;
  return FollowPeer{ aPeer };
}

void
TableFollower::Finish(Instant aNow, Duration aNext)
{
  m_out = Out::kNothing;
  m_next = aNow + aNext;
  if (aNext == m_options.poll_interval) {
    // Peers that started together drift apart once, by their own part.
    m_next -= std::chrono::duration_cast<Duration>(aNext * m_options.jitter);
    m_options.jitter = 0;
  }
}

void
TableFollower::UpdateReadiness(Instant aNow)
{
  // A wait, so that peers with newer versions can show them.
  const bool may_trust_peers =
    m_failing_since && aNow - *m_failing_since >= m_options.peer_timeout;
  const bool has_source =
    m_read_to_head || (may_trust_peers && m_has_peer_snapshot);
  m_ready = m_ready || (has_source && m_view.Version() >= m_shown);
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
