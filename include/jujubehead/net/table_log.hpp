#ifndef JUJUBEHEAD_NET_TABLE_LOG_HPP
#define JUJUBEHEAD_NET_TABLE_LOG_HPP

#include <cstddef>    // for size_t
#include <cstdint>    // for uint64_t
#include <functional> // for function
#include <memory>     // for unique_ptr
#include <optional>   // for optional
#include <string>     // for string

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/core/change_log.hpp"    // for ChangeEntry, TableSnapshot
#include "jujubehead/core/runtime_clock.hpp" // for Duration
#include "jujubehead/core/table_publish.hpp" // for PublishAnswer, EntriesRead

namespace jujubehead::net {

class ObjectStore;
class TableService;

/// @brief The sequence of table changes, as the platform's services keep it.
///
/// An entry is the item `change/<version>`; the item `table/head` moves with
/// it in one transaction. An entry too large for an item has its changes in an
/// object, which is written before. Now and then a snapshot goes to the object
/// store, and the item `table/snapshot` names the newest.
class TableLog
{
public:
  /// @param aService outlives this. @param aStore outlives this.
  static std::unique_ptr<TableLog> Create(TableService& aService,
                                          ObjectStore& aStore);
  virtual ~TableLog() = default;

  /// @return entries after a version, oldest first, one read of the service.
  /// @throws std::runtime_error when a service cannot be read.
  virtual boost::asio::awaitable<core::EntriesRead> ReadAfter(
    std::uint64_t aVersion) = 0;
  /// @return the newest snapshot, or nothing. @throws std::runtime_error.
  virtual boost::asio::awaitable<std::optional<core::TableSnapshot>>
  ReadSnapshot() = 0;
  /// @return the table and marks as of a version, or nothing when that is not
  /// kept any more. @throws std::runtime_error.
  virtual boost::asio::awaitable<std::optional<core::TableView>> ReadAt(
    std::uint64_t aVersion) = 0;
  /// @return the table and marks in force. @throws std::runtime_error.
  virtual boost::asio::awaitable<core::TableView> ReadCurrent() = 0;

  /// @brief Writes an entry at the head, whole or not at all. A repeat of the
  /// same entry does not write twice. Throws nothing.
  virtual boost::asio::awaitable<core::PublishAnswer> Commit(
    core::ChangeEntry aEntry) = 0;
  /// @brief Writes a snapshot if the newest kept one is old, seen from this
  /// version, and deletes what is too old to look back at.
  /// @return whether it was written. @throws std::runtime_error.
  virtual boost::asio::awaitable<bool> KeepSnapshot(std::uint64_t aVersion) = 0;
};

/// Waits for a time.
using SleepFor =
  std::function<boost::asio::awaitable<void>(core::Duration aTime)>;

/// @brief Runs a publisher to its end, then keeps a snapshot when it is time.
/// @return the last step: Published, AlreadyApplied, Conflicted, Refused or
/// GaveUp.
boost::asio::awaitable<core::PublishStep>
Publish(TableLog& aLog, core::TablePublish aPublish, const SleepFor& aSleep);

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_TABLE_LOG_HPP
