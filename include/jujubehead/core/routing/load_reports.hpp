#ifndef JUJUBEHEAD_CORE_ROUTING_LOAD_REPORTS_HPP
#define JUJUBEHEAD_CORE_ROUTING_LOAD_REPORTS_HPP

#include <cstddef>  // for size_t
#include <cstdint>  // for uint32_t, uint64_t
#include <map>      // for map
#include <optional> // for optional
#include <utility>  // for pair
#include <vector>   // for vector

#include "jujubehead/core/ids.hpp"                   // for TargetId
#include "jujubehead/core/routing/load_estimate.hpp" // for ReportedLoad
#include "jujubehead/core/runtime_clock.hpp"         // for Instant, Duration

namespace jujubehead::core {

/// @brief Identifies a target in reports between instances by a hash of its
/// id. Two targets whose hashes collide share their reports, which only makes
/// placement less accurate for them.
enum class TargetKey : std::uint32_t
{
};

TargetKey
KeyOf(const TargetId& aTarget);

/// @brief A report on a target that some instance received: its load, its limit
/// on requests, or that it is gone.
struct TargetLoadReport
{
  TargetKey target{};
  ReportedLoad load;
  /// When it was received, or slightly before: encoding rounds the age up.
  Instant reported_at{};
  /// Nothing listens at its address any more, or another target does. A target
  /// that does not respond is not gone: the network path may be broken for the
  /// reporting instance only.
  bool is_gone = false;
  /// Of its limit; there is no load in it then.
  bool is_limit = false;
  /// Requests a second; nothing: none any more.
  std::optional<double> limit = std::nullopt;
};

/// @return a report that a target is gone. It ranks above all loads.
TargetLoadReport
GoneTargetReport(const TargetId& aTarget, Instant aNow);

/// @return a report of a target's limit. It ranks above all loads.
TargetLoadReport
LimitReport(const TargetId& aTarget,
            std::optional<double> aPerSecond,
            Instant aNow);

/// @brief Limits of the load reports that instances exchange.
struct LoadReportsOptions
{
  /// Older reports are obsolete, as requests last about a second.
  Duration max_age = std::chrono::milliseconds(1500);
  /// In one message. At eight bytes each and four messages a second this stays
  /// within 8 KB a second however many targets report.
  std::size_t max_reports = 224;
};

/// @brief The newest load report of each target, from whichever instance
/// received it.
///
/// With many instances, each one gets a report of a target only every few
/// seconds. Without exchange it would send prompts to full targets, and each
/// instance would lose a request on each crashed target (retry storm). Where a
/// message cannot hold all, the busiest targets are in it, as these are to be
/// avoided; the others have free slots.
class LoadReports
{
public:
  explicit LoadReports(LoadReportsOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// Reports that an instance has not had, and its position after them.
  struct Page
  {
    std::vector<TargetLoadReport> reports;
    std::uint64_t next = 0;
  };

  /// @brief Keeps a report if it is the newest of its target.
  void Put(const TargetLoadReport& aLoad);
  /// @brief Returns each report once to each instance that polls: repeated in
  /// each message while it is valid, a report would be sent seven times.
  /// @param aAfter the instance's position; 0 at first.
  /// @return the busiest targets of the reports put since.
  [[nodiscard]] Page BusiestAfter(std::uint64_t aAfter, Instant aNow);
  /// @return the busiest targets, by requests per slot. Drops reports older
  /// than `max_age`.
  [[nodiscard]] std::vector<TargetLoadReport> Busiest(Instant aNow);
  /// @return as Busiest(). Drops all reports.
  [[nodiscard]] std::vector<TargetLoadReport> TakeBusiest(Instant aNow);

private:
  struct Entry
  {
    TargetLoadReport report;
    std::uint64_t position = 0;
  };
  /// Whose report, and whether it is of the limit.
  using Key = std::pair<TargetKey, bool>;

  void DropOld(Instant aNow);
  void KeepBusiest(std::vector<TargetLoadReport>& aReports) const;

  LoadReportsOptions m_options;
  std::map<Key, Entry> m_loads;
  std::map<std::uint64_t, Key> m_by_position; ///< The oldest put first.
  std::uint64_t m_last = 0;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_LOAD_REPORTS_HPP
