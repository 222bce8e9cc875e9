#ifndef JUJUBEHEAD_NET_SSE_READER_HPP
#define JUJUBEHEAD_NET_SSE_READER_HPP

#include <cstddef>     // for size_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

namespace jujubehead::net {

/// @brief Reads server-sent events from bytes as they come.
///
/// @code
/// reader.Feed(bytes);
/// while (const auto data = reader.Next()) { ... }
/// @endcode
class SseReader
{
public:
  static constexpr std::size_t kDefaultLimit = 1 << 20U; ///< Bytes.

  /// @param aEventLimit bytes of the longest event that is taken.
  explicit SseReader(std::size_t aEventLimit = kDefaultLimit)
    : m_event_limit(aEventLimit)
  {
  }

  /// @brief Takes the next bytes of the stream.
  /// @throws std::invalid_argument when an event is longer than the limit.
  void Feed(std::string_view aBytes);

  /// @return the data of the next complete event, lines joined by a line feed;
  /// nothing until more bytes come. Events without data are passed over. Valid
  /// until the next call of this or Feed().
  std::optional<std::string_view> Next();

private:
  [[nodiscard]] std::optional<std::string_view> NextLine();
  void TakeLine(std::string_view aLine);

  std::size_t m_event_limit;
  std::string m_buffer;
  std::size_t m_read = 0; ///< Bytes of the buffer that lines have used up.
  std::string m_data;
  bool m_has_data = false;
  bool m_data_returned = false;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_SSE_READER_HPP
