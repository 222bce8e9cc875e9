#ifndef JUJUBEHEAD_CORE_ROUTING_CRASH_RECORDS_HPP
#define JUJUBEHEAD_CORE_ROUTING_CRASH_RECORDS_HPP

#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "jujubehead/core/remote_clock.hpp"            // for RemoteClock
#include "jujubehead/core/routing/poison_requests.hpp" // for CrashReport
#include "jujubehead/core/runtime_clock.hpp"           // for Instant, Duration

namespace jujubehead::core {

/// @brief A conditional write of an instance's row of crashes.
struct CrashRowWrite
{
  std::optional<std::string> value;   ///< Nothing: remove the row.
  std::uint64_t expected_version = 0; ///< 0: the row does not exist.
};

/// @brief The crashes of requests that one instance had at targets, as recorded
/// in the operators' store, so that a loss of all instances does not forget
/// them.
///
/// Each instance writes one row of its own, at once when a target crashes and
/// again when requests in it were answered, as these are no suspects any more.
/// Instances read the rows of all when they start only, as they report crashes
/// to each other.
class CrashRecords
{
public:
  /// Crashes in a row; the oldest are left out.
  static constexpr std::size_t kMaxCrashes = 256;
  /// Time until answered requests are taken out of the row: most of those at a
  /// crashed target are answered by their retries, one after the other.
  static constexpr Duration kCleanUpDelay = std::chrono::seconds(1);

  /// @param aStoreClock the clock of the operators' store.
  /// @param aTtl a crash is forgotten after this time.
  explicit CrashRecords(const RemoteClock& aStoreClock,
                        Duration aTtl = PoisonRequestsOptions().suspect_ttl)
    : m_store_clock(aStoreClock)
    , m_ttl(aTtl)
  {
  }

  /// @brief A request of this instance was at a target that crashed.
  void OnCrash(const CrashReport& aReport);
  /// @brief A request was answered completely, here or elsewhere.
  void OnCompletion(const CompletionReport& aReport, Instant aNow);
  /// @brief This instance's own row was read for the first time.
  /// @param aVersion of the row; 0: it does not exist.
  /// @param aCrashes that it records.
  void OnOwnRow(std::uint64_t aVersion, std::vector<CrashReport> aCrashes);
  /// @brief The write that was taken last had effect, or the own row was read
  /// again. What is known here is newer than the row.
  /// @param aVersion of the row; 0: it does not exist.
  void OnVersion(std::uint64_t aVersion) { m_version = aVersion; }
  /// @return when the next write is due; Instant::max() if none is.
  [[nodiscard]] Instant NextWriteAt() const;
  /// @return the write that is due, if any. It counts as written until
  /// OnWriteFailed(). Nothing before the own row was read.
  std::optional<CrashRowWrite> TakeWrite(Instant aNow);
  /// @brief It had no effect, or none that is known. The own row has to be read
  /// again.
  void OnWriteFailed();

  /// @return the crashes of a row of any instance; entries that cannot be
  /// parsed or are too old are left out.
  [[nodiscard]] std::vector<CrashReport> Parse(std::string_view aRow,
                                               Instant aNow) const;

private:
  [[nodiscard]] std::optional<std::string> RowText() const;

  const RemoteClock& m_store_clock;
  Duration m_ttl;
  std::vector<CrashReport> m_crashes; ///< In their order.
  std::optional<std::uint64_t> m_version;
  bool m_is_changed = false; ///< There are crashes that are not recorded.
  /// When the first one that is recorded was answered or forgotten.
  Instant m_answered_at = Instant::max();
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_CRASH_RECORDS_HPP
