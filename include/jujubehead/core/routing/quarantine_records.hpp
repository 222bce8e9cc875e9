#ifndef JUJUBEHEAD_CORE_ROUTING_QUARANTINE_RECORDS_HPP
#define JUJUBEHEAD_CORE_ROUTING_QUARANTINE_RECORDS_HPP

#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <functional>  // for function
#include <map>         // for map
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

#include "jujubehead/core/remote_clock.hpp"            // for RemoteClock
#include "jujubehead/core/routing/poison_requests.hpp" // for Quarantine
#include "jujubehead/core/runtime_clock.hpp"           // for Instant, Duration

namespace jujubehead::core {

/// @brief A conditional write of a quarantine's row.
struct QuarantineRowWrite
{
  RequestFingerprint fingerprint{};
  std::string key;
  std::optional<std::string> value;   ///< Nothing: remove the row.
  std::uint64_t expected_version = 0; ///< 0: the row does not exist.
};

/// @brief Quarantines that are recorded in the operators' store, on its clock,
/// so that they survive restarts of the instances.
///
/// All instances learn of a quarantine at about the same time; the first one in
/// an order that depends on the row writes it, the next one when that fails.
/// Further quarantines begin with a write of the instance that sends the probe.
class QuarantineRecords
{
public:
  /// @param aStoreClock the clock of the operators' store.
  /// @param aRetention a row is removed this long after its quarantine's end.
  explicit QuarantineRecords(
    const RemoteClock& aStoreClock,
    Duration aRetention = PoisonRequestsOptions().quarantine_retention)
    : m_store_clock(aStoreClock)
    , m_retention(aRetention)
  {
  }

  /// @brief A quarantine began or is over, as this instance sees it.
  void OnQuarantine(const Quarantine& aQuarantine, Instant aNow);
  /// @brief A row was read or written.
  /// @param aValue nothing: it was removed.
  /// @return the quarantine that it records, if it is a valid row; a released
  /// one if it was removed.
  std::optional<Quarantine> OnRow(std::string_view aKey,
                                  const std::optional<std::string>& aValue,
                                  std::uint64_t aVersion,
                                  Instant aNow);
  /// @brief Begins a snapshot: rows that are not read anew do not exist.
  void BeginAll(Instant aNow);
  /// @return whether a key is of a row of this kind.
  [[nodiscard]] static bool IsKey(std::string_view aKey);
  /// @param aNext the quarantine to begin.
  /// @return the write that begins it; nothing if another instance has begun
  /// it, or the store's clock is not known.
  [[nodiscard]] std::optional<QuarantineRowWrite> NextQuarantineWrite(
    const Quarantine& aNext,
    Instant aNow) const;
  /// @param aRankOf this instance's rank, from 0, in an order of all instances
  /// by a row's key.
  /// @return the next write that is due, if any.
  [[nodiscard]] std::optional<QuarantineRowWrite> NextWrite(
    const std::function<std::size_t(std::string_view)>& aRankOf,
    Instant aNow) const;

private:
  struct Record
  {
    SuspectKind kind = SuspectKind::kRequest;
    std::optional<Instant> until; ///< As this instance sees it.
    std::uint32_t count = 1;
    Instant changed{}; ///< When `until` was set.
    std::optional<RemoteMs> recorded;
    std::uint32_t recorded_count = 0;
    std::uint64_t version = 0; ///< Of the row; 0: there is none.
  };

  /// @return since when a write is due; nothing if the row is right.
  [[nodiscard]] std::optional<Instant> DueSince(const Record& aRecord,
                                                Instant aNow) const;
  /// @return the value of a row; nothing if the store's clock is not known.
  [[nodiscard]] std::optional<std::string> ValueOf(Instant aUntil,
                                                   std::uint32_t aCount) const;

  const RemoteClock& m_store_clock;
  Duration m_retention;
  std::map<RequestFingerprint, Record> m_records;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_QUARANTINE_RECORDS_HPP
