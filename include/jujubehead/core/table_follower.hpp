#ifndef JUJUBEHEAD_CORE_TABLE_FOLLOWER_HPP
#define JUJUBEHEAD_CORE_TABLE_FOLLOWER_HPP

#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t
#include <map>      // for map
#include <optional> // for optional
#include <string>   // for string
#include <variant>  // for variant
#include <vector>   // for vector

#include "jujubehead/core/change_log.hpp"    // for TableView, TableSnapshot
#include "jujubehead/core/ids.hpp"           // for InstanceId
#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief Timing of a TableFollower.
struct TableFollowerOptions
{
  Duration poll_interval = std::chrono::seconds(1);
  /// Delay after a failed read; doubles up to `max_backoff`.
  Duration min_backoff = std::chrono::milliseconds(250);
  Duration max_backoff = std::chrono::seconds(4);
  /// Limit for a peer to send its snapshot, and how long a starting instance
  /// collects peers' versions while the table service is unavailable.
  Duration peer_timeout = std::chrono::seconds(3);
  /// Offsets the polls of instances that start together, as a fraction of
  /// `poll_interval`; 0 to 1.
  double jitter = 0;
};

/// @brief Nothing to do before `until`.
struct FollowIdle
{
  Instant until;
};

/// @brief Request: read the entries after `after` from the table service.
/// Answer with OnEntries() or OnServiceFailed().
struct FetchEntries
{
  std::uint64_t after = 0;
};

/// @brief Request: read the newest snapshot from the object store.
/// Answer with OnStoredSnapshot() or OnServiceFailed().
struct FetchStoredSnapshot
{};

/// @brief Request: fetch the current snapshot of a peer.
/// Answer with OnPeerSnapshot() or OnPeerFailed().
struct FetchPeerSnapshot
{
  InstanceId peer;
};

using FollowStep = std::
  variant<FollowIdle, FetchEntries, FetchStoredSnapshot, FetchPeerSnapshot>;

/// @brief Keeps an instance's table up to date with the table service and its
/// peers, and decides whether the instance may serve with it.
///
/// The view only moves forward. A starting instance is ready once it has read
/// to the head of the service or, with the service unavailable for
/// `peer_timeout`, has the version of its newest peer; in neither case with an
/// older version than any peer or the service has reported. Once ready, it
/// stays ready: no change can be committed while the service is unavailable.
class TableFollower
{
public:
  explicit TableFollower(TableFollowerOptions aOptions);

  /// @return the next step; at most one request is pending at a time.
  FollowStep Next(Instant aNow);

  void OnEntries(Instant aNow,
                 const std::vector<ChangeEntry>& aEntries,
                 bool aAtHead);
  void OnStoredSnapshot(Instant aNow, std::optional<TableSnapshot> aSnapshot);
  void OnServiceFailed(Instant aNow, std::string aWhy);
  void OnPeerSnapshot(Instant aNow,
                      const InstanceId& aPeer,
                      std::optional<TableSnapshot> aSnapshot);
  void OnPeerFailed(Instant aNow, const InstanceId& aPeer);

  /// @brief A peer reported its current version. A peer that is not ready yet
  /// reports 0.
  void OnPeerVersion(const InstanceId& aPeer, std::uint64_t aVersion);
  /// @brief The peer left; the versions that it reported still count.
  void OnPeerRemoved(const InstanceId& aPeer);

  [[nodiscard]] const TableView& View() const { return m_view; }
  /// @return why the instance may not serve yet, or nothing when it may.
  [[nodiscard]] std::optional<std::string> NotReady() const;
  /// @return whether the last read of the service failed.
  [[nodiscard]] bool IsServiceUnavailable() const
  {
    return m_service_failures != 0;
  }
  /// @return the time since the view was last known to be up to date.
  [[nodiscard]] Duration Age(Instant aNow) const;

private:
  enum class PendingStep : std::uint8_t
  {
    kNothing,
    kEntries,
    kSnapshot,
    kPeer,
  };

  [[nodiscard]] std::optional<InstanceId> NewestPeer(Instant aNow) const;
  FollowStep RequestSnapshot(Instant aNow, const InstanceId& aPeer);
  void Complete(Instant aNow, Duration aNext);
  void UpdateReadiness(Instant aNow);
  [[nodiscard]] Duration NextAfterEntries(bool aGap, bool aAtHead) const;
  [[nodiscard]] Duration Backoff() const;

  TableFollowerOptions m_options;
  TableView m_view;
  PendingStep m_pending = PendingStep::kNothing;
  Instant m_pending_since;
  InstanceId m_pending_peer;
  Instant m_next_poll_at;
  bool m_needs_snapshot = true; ///< At start and after a gap.
  unsigned m_service_failures = 0;
  std::optional<Instant> m_failing_since;
  std::string m_service_error;
  bool m_read_to_head = false;
  bool m_has_peer_snapshot = false;
  bool m_ready = false;
  std::uint64_t m_newest_reported = 0; ///< Newest version reported by anyone.
  std::optional<Instant> m_up_to_date_at;
  std::map<InstanceId, std::uint64_t> m_peer_versions;
  std::map<InstanceId, Instant> m_retry_after; ///< Of peers that failed.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_TABLE_FOLLOWER_HPP
