#include "jujubehead/net/sse_reader.hpp"

#include <stdexcept> // for invalid_argument

namespace jujubehead::net {
namespace {

constexpr std::string_view kDataField = "data:";

} // namespace

void
SseReader::Feed(std::string_view aBytes)
{
  m_buffer.erase(0, m_read);
  m_read = 0;
  m_buffer.append(aBytes);
}

std::optional<std::string_view>
SseReader::Next()
{
  if (m_data_returned) {
    m_data.clear();
    m_data_returned = false;
  }
  while (const auto line = NextLine()) {
    if (!line->empty()) {
      TakeLine(*line);
      continue;
    }
    if (m_has_data) {
      m_has_data = false;
      m_data_returned = true;
      return m_data;
    }
  }
  return std::nullopt;
}

std::optional<std::string_view>
SseReader::NextLine()
{
  const std::size_t end = m_buffer.find('\n', m_read);
  if (end == std::string::npos) {
    if (m_buffer.size() - m_read > m_event_limit) {
      throw std::invalid_argument("a line of the event stream is too long");
    }
    return std::nullopt;
  }
  std::string_view line(m_buffer.data() + m_read, end - m_read);
  m_read = end + 1;
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

void
SseReader::TakeLine(std::string_view aLine)
{
  if (!aLine.starts_with(kDataField)) {
    return; // A comment, or a field that answers do not use.
  }
  aLine.remove_prefix(kDataField.size());
  if (aLine.starts_with(' ')) {
    aLine.remove_prefix(1);
  }
  if (m_data.size() + aLine.size() > m_event_limit) {
    throw std::invalid_argument("an event of the stream is too long");
  }
  if (m_has_data) {
    m_data += '\n';
  }
  m_has_data = true;
  m_data.append(aLine);
}

} // namespace jujubehead::net
