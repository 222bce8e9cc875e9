#ifndef JUJUBEHEAD_CORE_MEMBERSHIP_POISON_REPORT_LOG_HPP
#define JUJUBEHEAD_CORE_MEMBERSHIP_POISON_REPORT_LOG_HPP

#include <cstddef>  // for size_t
#include <cstdint>  // for uint8_t, uint64_t
#include <map>      // for map
#include <optional> // for optional
#include <utility>  // for pair
#include <vector>   // for vector

#include "jujubehead/core/routing/poison_requests.hpp" // for PoisonReport
#include "jujubehead/core/runtime_clock.hpp"           // for Instant, Duration

namespace jujubehead::core {

/// @brief From where an instance has a report, which decides where it sends it.
enum class ReportOrigin : std::uint8_t
{
  kBelow, ///< Its own, or from an instance that polls it: to be passed on.
  kPeer,  ///< From a reader or an upstream, which has passed it on.
};

/// @brief Limits of a PoisonReportLog.
struct PoisonReportLogOptions
{
  /// As long as a suspect lives, so that an instance that starts learns of all.
  Duration retention = std::chrono::minutes(10);
  std::size_t max_reports = 8192;
  /// In one message, at some 30 bytes each. The next message has the rest.
  std::size_t max_in_message = 256;
};

/// @brief The reports about suspects that an instance has, in the order of
/// their receipt, for the instances that it reports to and that poll it.
///
/// Each receiver has a position, and gets each report once. A report that is
/// known already is not added again, so reports stop circulating.
class PoisonReportLog
{
public:
  explicit PoisonReportLog(PoisonReportLogOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// Reports that a receiver has not had, and its position after them.
  struct Page
  {
    std::vector<PoisonReport> reports;
    std::uint64_t next = 0;
    bool has_more = false;
  };

  /// @return whether the report was added.
  bool Put(const PoisonReport& aReport, ReportOrigin aOrigin, Instant aNow);
  /// @param aAfter a receiver's position; 0 at first.
  /// @param aOnlyBelow leaves out the reports of ReportOrigin::kPeer.
  [[nodiscard]] Page After(std::uint64_t aAfter, bool aOnlyBelow) const;
  [[nodiscard]] std::uint64_t Last() const { return m_last; }
  [[nodiscard]] std::size_t Size() const { return m_entries.size(); }

private:
  /// What makes two reports the same. A completion has no target, and of a
  /// request's completions only the last one is kept.
  using Key = std::pair<RequestFingerprint, std::optional<TargetKey>>;

  struct Entry
  {
    PoisonReport report;
    Key key;
    ReportOrigin origin = ReportOrigin::kBelow;
    Instant put_at{};
  };

  [[nodiscard]] static Key CompletionKey(const PoisonReport& aReport);
  /// @brief Drops the crashes before a completion, so that an instance that
  /// starts does not get one without the other.
  void DropCrashes(const CompletionReport& aCompletion);
  void DropOld(Instant aNow);

  PoisonReportLogOptions m_options;
  std::map<std::uint64_t, Entry> m_entries; ///< By position.
  std::map<Key, std::uint64_t> m_positions;
  std::uint64_t m_last = 0;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_MEMBERSHIP_POISON_REPORT_LOG_HPP
