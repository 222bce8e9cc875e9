#ifndef JUJUBEHEAD_CORE_WEIGHTS_COORDINATOR_LEASE_HPP
#define JUJUBEHEAD_CORE_WEIGHTS_COORDINATOR_LEASE_HPP

#include <cstdint>     // for uint64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

#include "jujubehead/core/remote_clock.hpp"  // for RemoteMs
#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief Timing of the lease.
struct CoordinatorLeaseOptions
{
  /// How long a holder may send commands after it began its last renewal.
  /// Short, because a successor has to wait for it and the gap.
  Duration term = std::chrono::milliseconds(1500);
  /// Minimum time between commands of two holders.
  Duration gap = std::chrono::seconds(3);
  /// For clock drift and commands in flight.
  Duration margin = std::chrono::milliseconds(500);
  /// Interval of renewals; one may fail before the term expires.
  Duration renewal = std::chrono::milliseconds(500);
};

/// @brief Contents of the lease's row.
struct LeaseRow
{
  std::string holder;
  /// Upper bound of the time at which the holder began to write the row, on the
  /// store's clock; nothing if unknown.
  std::optional<RemoteMs> begun;
};

/// @brief Converts the row to text and back. Any other text is read as the name
/// of a holder.
std::string
ToText(const LeaseRow& aRow);
LeaseRow
LeaseRowOf(const std::string& aText);

/// @brief Lease that lets one instance at a time send load commands to targets.
///
/// It is one row in a store of the platform, written by compare-and-swap. The
/// holder counts its term from before it began to write. Another instance
/// acquires the lease only after the row was unchanged for the term, the gap
/// and the margin: since it first saw the row, or since the row was written, by
/// the store's clock, which every instance relates to its own within bounds. So
/// a starting instance does not wait for time that has already passed (5 s,
/// half of the time allowed for a roll-out). The fencing token is the row's
/// version at acquisition, so it grows from holder to holder.
///
/// A new run of the instance that held the lease acquires it at once: it starts
/// only after the previous run has ended, and to targets both are one holder.
///
/// Instants have to come from a clock that advances during system suspend.
///
/// @code
/// lease.OnRow(holder, version, now);
/// if (lease.MayAcquire(now)) {
///   const auto begun = now;
///   const auto written =
///     co_await rows.Put(key, lease.Self(), lease.RowVersion());
///   lease.OnWritten(*written, begun);
/// }
/// if (lease.Holds(now + command_time)) { ... }
/// @endcode
class CoordinatorLease
{
public:
  /// @param aSelf unique name of this run, `instance/run`. At most one run of
  /// an instance exists at a time; an instance that may be started at another
  /// address while it still runs has to have the address in its name.
  CoordinatorLease(std::string aSelf, CoordinatorLeaseOptions aOptions);

  /// @brief The row was read, or is known to be missing.
  /// @param aVersion 0: there is no row.
  /// @param aBegun upper bound of the time at which its write began; nothing if
  /// unknown.
  void OnRow(std::string_view aHolder,
             std::uint64_t aVersion,
             Instant aNow,
             std::optional<Instant> aBegun = std::nullopt);

  /// @brief This instance is shutting down: it no longer acquires the lease,
  /// because its successor would have to wait until it expires, but continues
  /// to renew one that it holds.
  void Retire() { m_is_retired = true; }

  /// @return whether this instance may write the row to acquire or renew the
  /// lease.
  [[nodiscard]] bool MayAcquire(Instant aNow) const;
  /// @return whether the holder should renew now.
  [[nodiscard]] bool IsRenewalDue(Instant aNow) const;
  /// @brief A write by this instance succeeded.
  /// @param aBegun when the write began.
  void OnWritten(std::uint64_t aVersion, Instant aBegun);

  /// @return whether this instance holds the lease for commands that arrive by
  /// then.
  [[nodiscard]] bool Holds(Instant aUntil) const;
  [[nodiscard]] std::uint64_t FencingToken() const { return m_token; }
  /// @return the expected version for the next write.
  [[nodiscard]] std::uint64_t RowVersion() const { return m_row_version; }
  [[nodiscard]] const std::string& Self() const { return m_self; }
  /// @return the name of the instance, the same for all of its runs.
  [[nodiscard]] std::string_view Instance() const;
  [[nodiscard]] bool WasLastHolder() const { return m_was_last_holder; }

private:
  std::string m_self;
  CoordinatorLeaseOptions m_options;
  /// Since when the row is known to be unchanged.
  std::optional<Instant> m_unchanged_since;
  std::uint64_t m_row_version = 0;
  bool m_was_last_holder = false;
  /// The last holder is this run or a previous one of this instance.
  bool m_is_own = false;
  bool m_is_retired = false;
  /// Start of the last successful write.
  std::optional<Instant> m_last_write_start;
  std::uint64_t m_token = 0;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_WEIGHTS_COORDINATOR_LEASE_HPP
