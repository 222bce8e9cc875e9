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
#include "jujubehead/core/runtime_clock.hpp"           // for Instant

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
class QuarantineRecords
{
public:
  /// @param aStoreClock the clock of the operators' store.
  explicit QuarantineRecords(const RemoteClock& aStoreClock)
    : m_store_clock(aStoreClock)
  {
  }

  /// @brief A quarantine began or is over, as this instance sees it.
  void OnQuarantine(const Quarantine& aQuarantine, Instant aNow);
  /// @brief A row was read or written.
  /// @param aValue nothing: it was removed.
  /// @return the quarantine that it records, if it is a valid row; one with an
  /// end in the past if it was removed.
  std::optional<Quarantine> OnRow(std::string_view aKey,
                                  const std::optional<std::string>& aValue,
                                  std::uint64_t aVersion,
                                  Instant aNow);
  /// @brief Begins a snapshot: rows that are not read anew do not exist.
  void BeginAll(Instant aNow);
  /// @return whether a key is of a row of this kind.
  [[nodiscard]] static bool IsKey(std::string_view aKey);
  /// @param aRankOf this instance's rank, from 0, in an order of all instances
  /// by a row's key.
  /// @return the next write that is due, if any.
  [[nodiscard]] std::optional<QuarantineRowWrite> NextWrite(
    const std::function<std::size_t(std::string_view)>& aRankOf,
    Instant aNow) const;

private:
  struct Record
  {
    std::optional<Instant> until; ///< As this instance sees it.
    std::uint32_t count = 1;
    Instant changed{}; ///< When `until` was set.
    std::optional<RemoteMs> recorded;
    std::uint64_t version = 0; ///< Of the row; 0: there is none.
  };

  /// @return since when a write is due; nothing if the row is right.
  [[nodiscard]] std::optional<Instant> DueSince(const Record& aRecord,
                                                Instant aNow) const;

  const RemoteClock& m_store_clock;
  std::map<RequestFingerprint, Record> m_records;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_QUARANTINE_RECORDS_HPP
