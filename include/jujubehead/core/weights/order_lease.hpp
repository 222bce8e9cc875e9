#ifndef JUJUBEHEAD_CORE_WEIGHTS_ORDER_LEASE_HPP
#define JUJUBEHEAD_CORE_WEIGHTS_ORDER_LEASE_HPP

#include <cstdint>     // for uint64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

#include "jujubehead/core/remote_clock.hpp"  // for RemoteMs
#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief Times of the lease for giving orders.
struct OrderLeaseOptions
{
  /// How long a holder may give orders after it began its last renewal. Short,
  /// as another can take over only after it and the gap.
  Duration term = std::chrono::milliseconds(1500);
  /// Least time between orders of two holders.
  Duration gap = std::chrono::seconds(3);
  /// For clocks that run unevenly, and orders that are on their way.
  Duration margin = std::chrono::milliseconds(500);
  /// One renewal may fail before the term is over.
  Duration renewal = std::chrono::milliseconds(500);
};

/// @brief What the lease's row says.
struct LeaseRow
{
  std::string holder;
  /// When the holder began to write it, at the latest, on the store's clock;
  /// nothing where that was not known.
  std::optional<RemoteMs> begun;
};

/// @return the row as text, and back. Text of another form names a holder only.
std::string
ToText(const LeaseRow& aRow);
LeaseRow
LeaseRowOf(const std::string& aText);

/// @brief The lease by which one instance at a time gives orders to targets.
///
/// It is one row in a store of the platform, written only under the condition
/// that nobody wrote it meanwhile. The holder counts its term from before it
/// began to write, and another takes the lease only after the row was unchanged
/// for the term, the gap and the margin: since it first saw it, or since it was
/// written by the store's clock, which all compare with their own within
/// bounds. So an instance that starts need not wait for what has passed already
/// (5 s, half of the time that a roll-out is allowed). The row's version at the
/// taking is the fencing token, which so grows from holder to holder.
///
/// Instants have to come from a clock that counts while the machine sleeps.
///
/// @code
/// lease.OnRow(holder, version, now);
/// if (lease.MayTake(now)) {
///   const auto begun = now;
///   const auto written = co_await rows.Put(key, lease.Self(),
///   lease.RowVersion()); lease.OnWritten(*written, begun);
/// }
/// if (lease.Holds(now + order_time)) { ... }
/// @endcode
class OrderLease
{
public:
  /// @param aSelf names this start of this instance; no other has it.
  OrderLease(std::string aSelf, OrderLeaseOptions aOptions);

  /// @brief The row was read, or is known to be missing.
  /// @param aVersion 0: there is no row.
  /// @param aBegun when its writing was begun, at the latest; nothing: unknown.
  void OnRow(std::string_view aHolder,
             std::uint64_t aVersion,
             Instant aNow,
             std::optional<Instant> aBegun = std::nullopt);

  /// @brief This instance is about to end: it takes the lease no more, as the
  /// next one would have to wait it out, but goes on with one that it holds.
  void Retire() { m_is_retired = true; }

  /// @return whether this instance may write the row to take or renew it.
  [[nodiscard]] bool MayTake(Instant aNow) const;
  /// @return whether the holder should renew now.
  [[nodiscard]] bool IsRenewalDue(Instant aNow) const;
  /// @brief Its write took effect.
  /// @param aBegun when the write was begun.
  void OnWritten(std::uint64_t aVersion, Instant aBegun);

  /// @return whether orders that arrive until then are this holder's to give.
  [[nodiscard]] bool Holds(Instant aUntil) const;
  [[nodiscard]] std::uint64_t FencingToken() const { return m_token; }
  /// @return the version that a write has to expect.
  [[nodiscard]] std::uint64_t RowVersion() const { return m_row_version; }
  [[nodiscard]] const std::string& Self() const { return m_self; }
  [[nodiscard]] bool WasLastHolder() const { return m_is_mine; }

private:
  std::string m_self;
  OrderLeaseOptions m_options;
  /// Since when it was as it is now, as far as is known.
  std::optional<Instant> m_unchanged_since;
  std::uint64_t m_row_version = 0;
  bool m_is_mine = false;
  bool m_is_retired = false;
  std::optional<Instant> m_begun; ///< Of the last write that took effect.
  std::uint64_t m_token = 0;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_WEIGHTS_ORDER_LEASE_HPP
