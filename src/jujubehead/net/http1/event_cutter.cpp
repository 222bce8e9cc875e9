#include "jujubehead/net/http1/event_cutter.hpp"

#include <algorithm> // for min
#include <charconv>  // for from_chars

namespace jujubehead::net {
namespace {

constexpr std::string_view kIdField = "id:";

/// @return the bytes up to the end of the first event; 0 when none is whole.
std::size_t
FirstEventSize(std::string_view aBytes)
{
  std::size_t line_begin = 0;
  for (;;) {
    const std::size_t end = aBytes.find('\n', line_begin);
    if (end == std::string_view::npos) {
      return 0;
    }
    std::string_view line = aBytes.substr(line_begin, end - line_begin);
    if (line.empty() || line == "\r") {
      return end + 1;
    }
    line_begin = end + 1;
  }
}

std::string_view
IdOf(std::string_view aEvent)
{
  std::string_view id;
  while (!aEvent.empty()) {
    const std::size_t end = std::min(aEvent.find('\n'), aEvent.size() - 1);
    std::string_view line = aEvent.substr(0, end);
    aEvent.remove_prefix(end + 1);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.starts_with(kIdField)) {
      id = line.substr(kIdField.size());
      id.remove_prefix(std::min(id.find_first_not_of(' '), id.size()));
    }
  }
  return id;
}

std::optional<std::uint64_t>
NumberOf(std::string_view aId)
{
  std::uint64_t number = 0;
  const char* const end = aId.data() + aId.size();
  const auto [stop, error] = std::from_chars(aId.data(), end, number);
  const bool is_number = error == std::errc() && stop == end;
  return is_number ? std::optional(number) : std::nullopt;
}

} // namespace

bool
EventCutter::IsNext(std::string_view aEvent)
{
  const std::string_view id = IdOf(aEvent);
  if (id.empty()) {
    return true;
  }
  const auto number = NumberOf(id);
  if (number && m_last_number && *number <= *m_last_number) {
    return false;
  }
  if (number) {
    m_last_number = number;
  }
  m_last_id = id;
  return true;
}

std::string
EventCutter::Take(std::string& aBytes)
{
  std::string whole;
  std::size_t used = 0;
  const std::string_view bytes = aBytes;
  while (const std::size_t size = FirstEventSize(bytes.substr(used))) {
    const std::string_view event = bytes.substr(used, size);
    if (IsNext(event)) {
      whole += event;
      ++m_events;
    }
    used += size;
  }
  aBytes.erase(0, used);
  return whole;
}

} // namespace jujubehead::net
