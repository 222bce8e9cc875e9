#ifndef JUJUBEHEAD_NODE_CONTROL_KNOWN_ROWS_HPP
#define JUJUBEHEAD_NODE_CONTROL_KNOWN_ROWS_HPP

#include <optional> // for optional
#include <string>   // for string

#include "jujubehead/core/remote_clock.hpp"  // for RemoteClock
#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration
#include "jujubehead/net/http_message.hpp"   // for HttpRequest, HttpResponse

namespace jujubehead::node {

/// @brief Rows that one instance tells another.
struct RowNews
{
  std::string bytes;    ///< Only the one who takes them reads them.
  core::Duration age{}; ///< Since the store last answered.
};

/// @brief What an instance has read of the operators' store, for others: those
/// that start while the store is away, and those that leave the reading to
/// hubs.
class KnownRows
{
public:
  virtual ~KnownRows() = default;
  /// @return the answer to a read as far as this instance knows it, marked as
  /// such; nothing when it is another call, or nothing was read yet.
  [[nodiscard]] virtual std::optional<net::HttpResponse> Answer(
    const net::HttpRequest& aRequest) const = 0;

  /// @return where this instance stands, as text that fits in a URL.
  [[nodiscard]] virtual std::string Cursors() const = 0;
  /// @param aCursors another instance's Cursors().
  /// @return what changed since; nothing while not all tables were read.
  [[nodiscard]] virtual std::optional<RowNews> NewsAfter(
    const std::string& aCursors,
    core::Instant aNow) const = 0;
  /// @param aTold when the store said so, at the latest.
  /// @param aAsked when the question was sent that they answer.
  /// @return whether those who follow the rows have yet to read changes; until
  /// then what they know is older than this.
  /// @throws std::exception when the bytes are no such news.
  virtual bool TakeNews(const std::string& aBytes,
                        core::Instant aTold,
                        core::Instant aAsked) = 0;
  /// @return the clock of the store, by all answers of it and by others' word.
  [[nodiscard]] virtual const core::RemoteClock& StoreClock() const = 0;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_KNOWN_ROWS_HPP
