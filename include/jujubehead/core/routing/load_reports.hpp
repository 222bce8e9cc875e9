#ifndef JUJUBEHEAD_CORE_ROUTING_LOAD_REPORTS_HPP
#define JUJUBEHEAD_CORE_ROUTING_LOAD_REPORTS_HPP

#include <cstddef>  // for size_t
#include <cstdint>  // for uint8_t, uint32_t, uint64_t
#include <map>      // for map
#include <optional> // for optional
#include <utility>  // for pair
#include <vector>   // for vector

#include "jujubehead/core/ids.hpp"                    // for TargetId
#include "jujubehead/core/routing/account_shares.hpp" // for AccountDemand
#include "jujubehead/core/routing/configuration.hpp"  // for ServiceId
#include "jujubehead/core/routing/load_estimate.hpp"  // for ReportedLoad
#include "jujubehead/core/runtime_clock.hpp"          // for Instant, Duration

namespace jujubehead::core {

/// @brief Identifies a target in reports between instances by a hash of its
/// id. Two targets whose hashes collide share their reports, which only makes
/// placement less accurate for them.
enum class TargetKey : std::uint32_t
{
};

TargetKey
KeyOf(const TargetId& aTarget);

/// @brief What a report says.
enum class ReportKind : std::uint8_t
{
  kLoad,
  kLimit,   ///< Of the requests that the target takes.
  kBrittle, ///< Whether the targets of a service are brittle.
  kAccount, ///< The demand of a client account at an instance.
};

/// @brief A report on a target that some instance received: its load, its limit
/// on requests, that it is gone, or whether the targets of its service are
/// brittle.
struct TargetLoadReport
{
  TargetKey target{}; ///< Of the service, if the report is on all its targets.
  ReportedLoad load;
  /// When it was received, or slightly before: encoding rounds the age up.
  Instant reported_at{};
  /// Nothing listens at its address any more, or another target does. A target
  /// that does not respond is not gone: the network path may be broken for the
  /// reporting instance only.
  bool is_gone = false;
  /// Only kLoad has a load in it.
  ReportKind kind = ReportKind::kLoad;
  /// Requests a second; nothing: none any more.
  std::optional<double> limit = std::nullopt;
  /// Rejections in a second after which a target falls over; nothing: the
  /// targets are not brittle.
  std::optional<std::uint32_t> max_rejections = std::nullopt;
  double tokens_per_second = 0; ///< Demand; only of kAccount.
};

/// @return a report that a target is gone. It ranks above all loads.
TargetLoadReport
GoneTargetReport(const TargetId& aTarget, Instant aNow);

/// @return a report of a target's limit. It ranks above all loads.
TargetLoadReport
LimitReport(const TargetId& aTarget,
            std::optional<double> aPerSecond,
            Instant aNow);

/// @return the key of reports on all targets of a service.
TargetKey
KeyOf(const ServiceId& aService);

/// @return a report whether the targets of a service are brittle. It ranks
/// above all loads.
/// @param aSent when the request was sent whose reply says so.
TargetLoadReport
BrittleReport(const ServiceId& aService,
              std::optional<std::uint32_t> aMaxRejections,
              Instant aSent);

/// @return a report of an account's demand. It ranks below all loads.
TargetLoadReport
AccountReport(const AccountDemand& aDemand, Instant aNow);

/// @return what such a report says.
AccountDemand
DemandOf(const TargetLoadReport& aReport);

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
  using Key = std::pair<TargetKey, ReportKind>;

  void DropOld(Instant aNow);
  void KeepBusiest(std::vector<TargetLoadReport>& aReports) const;

  LoadReportsOptions m_options;
  std::map<Key, Entry> m_loads;
  std::map<std::uint64_t, Key> m_by_position; ///< The oldest put first.
  std::uint64_t m_last = 0;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_LOAD_REPORTS_HPP
