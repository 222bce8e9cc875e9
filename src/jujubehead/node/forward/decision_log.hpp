#ifndef JUJUBEHEAD_NODE_FORWARD_DECISION_LOG_HPP
#define JUJUBEHEAD_NODE_FORWARD_DECISION_LOG_HPP

#include <cstdint>     // for uint64_t
#include <string>      // for string
#include <string_view> // for string_view

#include "jujubehead/core/runtime_clock.hpp" // for Instant

namespace jujubehead::node {

/// @brief A structured log line: an event and its fields.
///
/// @code
/// log.Write(LogLine("refused").Add("request", id).Add("why", "no_target"));
/// @endcode
class LogLine
{
public:
  explicit LogLine(std::string_view aEvent);

  /// @param aValue quoted if it is empty or contains whitespace or quotes.
  LogLine& Add(std::string_view aName, std::string_view aValue);
  LogLine& Add(std::string_view aName, const char* aValue);
  LogLine& Add(std::string_view aName, std::uint64_t aValue);
  /// @brief Adds a time in milliseconds.
  LogLine& Add(std::string_view aName, core::Duration aValue);

  [[nodiscard]] const std::string& Text() const { return m_text; }

private:
  std::string m_text;
};

/// @brief Rate limit of lines caused by requests.
struct DecisionLogOptions
{
  /// A line costs about 20 us of CPU time.
  double lines_per_second = 60;
  double burst = 120; ///< Lines at once.
};

/// @brief Rate-limited log of one thread's decisions. The number of dropped
/// lines is logged with the next line.
class DecisionLog
{
public:
  explicit DecisionLog(DecisionLogOptions aOptions = {});

  void Write(const LogLine& aLine);
  /// @brief Writes a line regardless of the limit, for changes of state.
  static void WriteUnthrottled(const LogLine& aLine);

  [[nodiscard]] std::uint64_t Dropped() const { return m_dropped_total; }

private:
  DecisionLogOptions m_options;
  double m_available;
  core::Instant m_refilled{};
  std::uint64_t m_dropped = 0; ///< Since the last written line.
  std::uint64_t m_dropped_total = 0;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_DECISION_LOG_HPP
