#ifndef JUJUBEHEAD_NODE_CONTROL_ROW_CACHE_HPP
#define JUJUBEHEAD_NODE_CONTROL_ROW_CACHE_HPP

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
};

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
  /// @return the changes since; nothing until all tables were read.
  [[nodiscard]] virtual std::optional<RowUpdate> UpdateSince(
    const std::string& aCursors,
    core::Instant aNow) const = 0;
  /// @param aAsOf time as of which the rows were current at the store.
  /// @param aRequestedAt when the request was sent.
  /// @return whether followers of the rows have unread changes; until they read
  /// them, their data is older than aAsOf.
  /// @throws std::exception on malformed bytes.
  virtual bool ApplyUpdate(const std::string& aBytes,
                           core::Instant aAsOf,
                           core::Instant aRequestedAt) = 0;
  /// @return the store's clock, estimated from its answers and from updates of
  /// other instances.
  [[nodiscard]] virtual const core::RemoteClock& StoreClock() const = 0;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_ROW_CACHE_HPP
