#ifndef JUJUBEHEAD_NODE_CONTROL_ROW_CACHE_HPP
#define JUJUBEHEAD_NODE_CONTROL_ROW_CACHE_HPP

#include <cstddef>  // for size_t
#include <limits>   // for numeric_limits
#include <optional> // for optional
#include <string>   // for string

#include "jujubehead/core/remote_clock.hpp"  // for RemoteClock
#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration
#include "jujubehead/net/http_message.hpp"   // for HttpRequest, HttpResponse

namespace jujubehead::node {

/// @brief Rows that one instance sends to another.
struct RowUpdate
{
  std::string bytes;    ///< Opaque; decoded by ApplyUpdate().
  core::Duration age{}; ///< Since the store last answered.
  /// Rows are missing that the next update brings.
  bool has_more = false;
};

/// No limit on the rows of an update.
inline constexpr std::size_t kAllRows = std::numeric_limits<std::size_t>::max();

/// @brief Cached rows of the operators' store, for other instances: those that
/// start while the store is unavailable, and those that read from hubs.
class RowCache
{
public:
  virtual ~RowCache() = default;
  /// @return the answer to a read from the cache, marked as such; nothing for
  /// other calls or while the cache is empty.
  [[nodiscard]] virtual std::optional<net::HttpResponse> Answer(
    const net::HttpRequest& aRequest) const = 0;

  /// @return positions up to which tables were read, as URL-safe text.
  [[nodiscard]] virtual std::string Cursors() const = 0;
  /// @param aCursors another instance's Cursors().
  /// @param aMaxRows the most rows of a table to include, which limits updates
  /// of instances that start.
  /// @return the changes since; nothing until all tables were read.
  [[nodiscard]] virtual std::optional<RowUpdate> UpdateSince(
    const std::string& aCursors,
    std::size_t aMaxRows,
    core::Instant aNow) const = 0;
  /// @param aAsOf time as of which the rows were current at the store.
  /// @param aRequestedAt when the request was sent.
  /// @return whether followers of the rows have unread changes; until they read
  /// them, their data is older than aAsOf.
  /// @throws std::exception on malformed bytes.
  virtual bool ApplyUpdate(const RowUpdate& aUpdate,
                           core::Instant aAsOf,
                           core::Instant aRequestedAt) = 0;
  /// @brief Another instance will send the next update. If the last one was not
  /// complete, all rows are needed again.
  virtual void AbandonFill() = 0;
  /// @return the store's clock, estimated from its answers and from updates of
  /// other instances.
  [[nodiscard]] virtual const core::RemoteClock& StoreClock() const = 0;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_ROW_CACHE_HPP
