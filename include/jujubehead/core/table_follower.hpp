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

/// @brief How a follower keeps up.
struct TableFollowerOptions
{
  Duration poll_interval = std::chrono::seconds(1);
  /// After a failed read, doubled up to `max_backoff`.
  Duration min_backoff = std::chrono::milliseconds(250);
  Duration max_backoff = std::chrono::seconds(4);
  /// How long a peer may take to send its snapshot, and how long a starting
  /// instance listens for peers' versions while the service is away.
  Duration peer_timeout = std::chrono::seconds(3);
  /// Spreads the polls of instances that start together; 0 to 1.
  double jitter = 0;
};

/// @brief Nothing to do before then.
struct FollowIdle
{
  Instant until;
};

/// @brief To do: read entries after this version from the table service.
/// Answer by OnEntries() or OnServiceFailed().
struct FollowEntries
{
  std::uint64_t after = 0;
};

/// @brief To do: read the newest snapshot of the object store.
/// Answer by OnStoredSnapshot() or OnServiceFailed().
struct FollowSnapshot
{};

/// @brief To do: ask a peer for the snapshot that it has in force.
/// Answer by OnPeerSnapshot() or OnPeerFailed().
struct FollowPeer
{
  InstanceId peer;
};

using FollowStep =
  std::variant<FollowIdle, FollowEntries, FollowSnapshot, FollowPeer>;

/// @brief Keeps an instance's table up with the service and its peers, and
/// says whether it may serve by it.
///
/// The view only moves forward. A starting instance may serve once it has read
/// to the head of the service or, with the service away for `peer_timeout`, has
/// what the newest of its peers has; in neither case on an older version than
/// any peer or the service has shown. Once it may, it always may: no change can
/// be accepted while the service is away.
class TableFollower
{
public:
  explicit TableFollower(TableFollowerOptions aOptions);

  /// @return what to do now; one step is out at a time.
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

  /// @brief A peer said what it has in force. A peer that may not serve yet
  /// says 0.
  void OnPeerVersion(const InstanceId& aPeer, std::uint64_t aVersion);
  /// @brief The peer is gone; what it showed still counts.
  void OnPeerGone(const InstanceId& aPeer);

  [[nodiscard]] const TableView& View() const { return m_view; }
  /// @return why the instance may not serve yet; nothing: it may.
  [[nodiscard]] std::optional<std::string> NotReady() const;
  /// @return whether the last read of the service failed.
  [[nodiscard]] bool IsServiceAway() const { return m_service_failures != 0; }
  /// @return how long ago the view was known to be the newest.
  [[nodiscard]] Duration Age(Instant aNow) const;

private:
  enum class Out : std::uint8_t
  {
    kNothing,
    kEntries,
    kSnapshot,
    kPeer,
  };

  [[nodiscard]] std::optional<InstanceId> NewestPeer(Instant aNow) const;
  FollowStep Ask(Instant aNow, const InstanceId& aPeer);
  void Finish(Instant aNow, Duration aNext);
  void UpdateReadiness(Instant aNow);
  [[nodiscard]] Duration NextAfterEntries(bool aGap, bool aAtHead) const;
  [[nodiscard]] Duration Backoff() const;

  TableFollowerOptions m_options;
  TableView m_view;
  Out m_out = Out::kNothing;
  Instant m_out_since;
  InstanceId m_asked;
  Instant m_next;
  bool m_wants_snapshot = true; ///< Before entries: at start and at a gap.
  unsigned m_service_failures = 0;
  std::optional<Instant> m_failing_since;
  std::string m_why;
  bool m_read_to_head = false;
  bool m_has_peer_snapshot = false;
  bool m_ready = false;
  std::uint64_t m_shown = 0; ///< The newest version anyone has shown.
  std::optional<Instant> m_newest_at;
  std::map<InstanceId, std::uint64_t> m_peers;
  std::map<InstanceId, Instant> m_not_before; ///< Peers that failed.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_TABLE_FOLLOWER_HPP
