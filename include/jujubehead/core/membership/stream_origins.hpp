#ifndef JUJUBEHEAD_CORE_MEMBERSHIP_STREAM_ORIGINS_HPP
#define JUJUBEHEAD_CORE_MEMBERSHIP_STREAM_ORIGINS_HPP

#include <cstddef>       // for size_t
#include <cstdint>       // for uint64_t
#include <deque>         // for deque
#include <optional>      // for optional
#include <string>        // for string
#include <string_view>   // for string_view
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "jujubehead/core/routing/configuration.hpp" // for ServiceId
#include "jujubehead/core/runtime_clock.hpp"         // for Instant, Duration

namespace jujubehead::core {

/// @brief Identifies a stream: hash of the id of the caller's request that
/// brought its first event.
enum class StreamKey : std::uint64_t
{
};

[[nodiscard]] StreamKey
StreamKeyOf(std::string_view aRequestId);

/// @brief Which software version a stream began at.
struct StreamOrigin
{
  StreamKey stream{};
  ServiceId service;
  std::string software_version;
};

/// @brief Limits of a StreamOrigins.
struct StreamOriginsOptions
{
  /// Longer than a stream with all tries of its caller.
  Duration retention = std::chrono::seconds(60);
  /// At some 100 bytes each. The oldest go first.
  std::size_t max_streams = 20000;
};

/// @brief The origins of streams that may still go on.
class StreamOrigins
{
public:
  explicit StreamOrigins(StreamOriginsOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief Keeps an origin, or keeps it for longer.
  void Put(const StreamOrigin& aOrigin, Instant aNow);
  [[nodiscard]] std::optional<std::string> VersionOf(StreamKey aStream,
                                                     Instant aNow) const;
  /// @return the origins of a service's streams that were put at most
  /// `aAge` ago.
  [[nodiscard]] std::vector<StreamOrigin> Recent(const ServiceId& aService,
                                                 Duration aAge,
                                                 Instant aNow) const;
  [[nodiscard]] std::size_t Size() const { return m_streams.size(); }

private:
  struct Entry
  {
    ServiceId service;
    std::string software_version;
    Instant put_at{};
  };
  /// When an origin was put.
  struct Record
  {
    StreamKey stream{};
    Instant at{};
  };

  void DropOld(Instant aNow);

  StreamOriginsOptions m_options;
  std::unordered_map<StreamKey, Entry> m_streams;
  std::deque<Record> m_order; ///< The oldest first; may repeat a stream.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_MEMBERSHIP_STREAM_ORIGINS_HPP
