#ifndef JUJUBEHEAD_CORE_MEMBERSHIP_INSTANCE_DIRECTORY_HPP
#define JUJUBEHEAD_CORE_MEMBERSHIP_INSTANCE_DIRECTORY_HPP

#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <map>         // for map
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "jujubehead/core/ids.hpp"           // for DataCentreId
#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief An instance and the address where others reach it.
struct KnownInstance
{
  std::string id;
  std::string address;        ///< `ip:port`.
  double capacity = 0;        ///< Relative to other instances; 0: unknown.
  DataCentreId data_centre{}; ///< Empty: unknown.
  /// `ip:port` where it opens connections to targets for other instances;
  /// empty: nowhere.
  std::string tunnel_address{};
};

/// @return the value of an instance's row: its address, capacity, data centre
/// and tunnel address. What follows the address is left out when capacity and
/// data centre are unknown, the tunnel address when the data centre is.
std::string
EncodeInstanceRow(const KnownInstance& aInstance);
/// @return the instance that a row describes. Rows of instances of older
/// versions have no tunnel address, no data centre, or no capacity either.
KnownInstance
DecodeInstanceRow(std::string aId, std::string_view aRow);

/// @brief Intervals of the rows by which instances discover each other.
struct InstanceDirectoryOptions
{
  /// An instance rewrites its row at this interval. With 370 instances that is
  /// one write in two seconds in total.
  Duration refresh = std::chrono::minutes(10);
  /// A row that was not refreshed for this long belongs to an instance that is
  /// gone. Two refreshes in a row may fail.
  Duration expiry = std::chrono::minutes(30);
};

/// @brief A conditional write of a row: it applies only to the expected
/// version.
struct InstanceRowWrite
{
  std::string id;
  std::optional<std::string> value;   ///< Nothing: delete the row.
  std::uint64_t expected_version = 0; ///< 0: the row does not exist.
};

/// @brief The known instances, from the row that each of them wrote.
///
/// The row of an instance that crashed stays; callers notice when they contact
/// it. A row that was not refreshed is deleted by the first instance to notice.
class InstanceDirectory
{
public:
  explicit InstanceDirectory(KnownInstance aSelf,
                             InstanceDirectoryOptions aOptions = {});

  /// @param aValue nothing: the row was deleted.
  void OnRow(const std::string& aId,
             std::optional<std::string> aValue,
             std::uint64_t aVersion,
             Instant aNow);
  /// @brief Begins a snapshot: the rows passed to OnRow() until EndAll() are
  /// all rows.
  void BeginAll() { m_rows.clear(); }
  /// @brief Ends a snapshot.
  void EndAll() { m_is_read = true; }

  /// @return the number of instances with a row.
  [[nodiscard]] std::size_t RowCount() const { return m_rows.size(); }
  /// @return whether this instance's own row is among them.
  [[nodiscard]] bool HasOwnRow() const { return m_rows.contains(m_self.id); }
  /// @return the other instances.
  [[nodiscard]] std::vector<KnownInstance> Others() const;
  /// @return the other instances and this one.
  [[nodiscard]] std::vector<KnownInstance> All() const;
  /// @return the next write that is due, if any.
  [[nodiscard]] std::optional<InstanceRowWrite> NextWrite(Instant aNow) const;

private:
  struct Row
  {
    std::string value;
    std::uint64_t version = 0;
    Instant seen{}; ///< When this version was first received.
  };

  KnownInstance m_self;
  InstanceDirectoryOptions m_options;
  bool m_is_read = false;
  std::map<std::string, Row> m_rows; ///< By id.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_MEMBERSHIP_INSTANCE_DIRECTORY_HPP
