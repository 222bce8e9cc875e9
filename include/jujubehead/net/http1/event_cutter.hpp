#ifndef JUJUBEHEAD_NET_HTTP1_EVENT_CUTTER_HPP
#define JUJUBEHEAD_NET_HTTP1_EVENT_CUTTER_HPP

#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

namespace jujubehead::net {

/// @brief Cuts a stream of server-sent events into whole events and keeps their
/// bytes as they are, unlike SseReader, which decodes them.
///
/// Over several streams of one answer it passes on each event once: an event
/// whose number is not above the last one's is dropped.
class EventCutter
{
public:
  /// Longest event, in bytes; a stream with a longer one is invalid.
  static constexpr std::size_t kMaxEventBytes = 1024UL * 1024;

  /// @brief Moves the whole events out of bytes as they came.
  /// @param aBytes an event that is not whole yet stays in it.
  /// @return the bytes of the events to pass on; may be empty.
  std::string Take(std::string& aBytes);

  /// @return the id of the last event passed on; empty before the first.
  [[nodiscard]] const std::string& LastId() const { return m_last_id; }
  [[nodiscard]] std::uint64_t Events() const { return m_events; }

private:
  bool IsNext(std::string_view aEvent);

  std::string m_last_id;
  std::optional<std::uint64_t> m_last_number;
  std::uint64_t m_events = 0;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_HTTP1_EVENT_CUTTER_HPP
