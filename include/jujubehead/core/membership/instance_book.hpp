#ifndef JUJUBEHEAD_CORE_MEMBERSHIP_INSTANCE_BOOK_HPP
#define JUJUBEHEAD_CORE_MEMBERSHIP_INSTANCE_BOOK_HPP

#include <cstdint>  // for uint64_t
#include <map>      // for map
#include <optional> // for optional
#include <string>   // for string
#include <vector>   // for vector

#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief An instance and where others reach it, `ip:port`.
struct KnownInstance
{
  std::string id;
  std::string address;
};

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
  std::optional<std::string> address; ///< Nothing: the row is to go.
  std::uint64_t expected_version = 0; ///< 0: there is no row.
};

/// @brief The instances that are known by the rows that they wrote, one each.
///
/// An instance that fails leaves its row behind; callers find out by asking.
/// Rows that nobody refreshed are removed by whoever notices first.
class InstanceBook
{
public:
  InstanceBook(std::string aSelf,
               std::string aAddress,
               InstanceBookOptions aOptions = {});

  /// @param aAddress nothing: the row is gone.
  void OnRow(const std::string& aId,
             std::optional<std::string> aAddress,
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
    std::string address;
    std::uint64_t version = 0;
    Instant seen{}; ///< When it was first seen as it is.
  };

  std::string m_self;
  std::string m_address;
  InstanceBookOptions m_options;
  bool m_is_read = false;
  std::map<std::string, Row> m_rows; ///< By id.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_MEMBERSHIP_INSTANCE_BOOK_HPP
