#ifndef JUJUBEHEAD_CORE_MEMBERSHIP_INSTANCE_BOOK_HPP
#define JUJUBEHEAD_CORE_MEMBERSHIP_INSTANCE_BOOK_HPP

#include <cstdint>     // for uint64_t
#include <map>         // for map
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief An instance and where others reach it, `ip:port`.
struct KnownInstance
{
  std::string id;
  std::string address;
  double capacity = 0; ///< Against other instances; 0: not told.
};

/// @return an instance's row, and what a row says of one. The capacity follows
/// the address where it is told; instances of older versions tell none.
std::string
RowOf(const KnownInstance& aInstance);
KnownInstance
InstanceOf(std::string aId, std::string_view aRow);

/// @brief Times of the rows by which instances find each other.
struct InstanceBookOptions
{
  /// An instance writes its row anew after this time: at 370 instances that is
  /// one write in two seconds of all together.
  Duration refresh = std::chrono::minutes(10);
  /// A row that did not change for so long is of an instance that is gone; two
  /// refreshes may fail.
  Duration expiry = std::chrono::minutes(30);
};

/// @brief A row to write under the condition that it still has a version.
struct InstanceRowWrite
{
  std::string id;
  std::optional<std::string> value;   ///< Nothing: the row is to go.
  std::uint64_t expected_version = 0; ///< 0: there is no row.
};

/// @brief The instances that are known by the rows that they wrote, one each.
///
/// An instance that fails leaves its row behind; callers find out by asking.
/// Rows that nobody refreshed are removed by whoever notices first.
class InstanceBook
{
public:
  explicit InstanceBook(KnownInstance aSelf, InstanceBookOptions aOptions = {});

  /// @param aValue nothing: the row is gone.
  void OnRow(const std::string& aId,
             std::optional<std::string> aValue,
             std::uint64_t aVersion,
             Instant aNow);
  /// @brief All rows were read, and those told since `BeginAll` are all.
  void BeginAll() { m_rows.clear(); }
  void EndAll() { m_is_read = true; }

  /// @return the other instances.
  [[nodiscard]] std::vector<KnownInstance> Others() const;
  /// @return the other instances and this one.
  [[nodiscard]] std::vector<KnownInstance> All() const;
  /// @return what is to be written now, if anything.
  [[nodiscard]] std::optional<InstanceRowWrite> NextWrite(Instant aNow) const;

private:
  struct Row
  {
    std::string value;
    std::uint64_t version = 0;
    Instant seen{}; ///< When it was first seen as it is.
  };

  KnownInstance m_self;
  InstanceBookOptions m_options;
  bool m_is_read = false;
  std::map<std::string, Row> m_rows; ///< By id.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_MEMBERSHIP_INSTANCE_BOOK_HPP
