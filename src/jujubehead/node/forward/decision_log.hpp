#ifndef JUJUBEHEAD_NODE_FORWARD_DECISION_LOG_HPP
#define JUJUBEHEAD_NODE_FORWARD_DECISION_LOG_HPP

#include <cstdint>     // for uint64_t
#include <string>      // for string
#include <string_view> // for string_view

#include "jujubehead/core/runtime_clock.hpp" // for Instant

namespace jujubehead::node {

/// @brief One structured line: an event and its fields.
///
/// @code
/// log.Write(LogLine("refused").Add("request", id).Add("why", "no_target"));
/// @endcode
class LogLine
{
public:
  explicit LogLine(std::string_view aEvent);

  /// @param aValue anything with blanks or quotes is quoted.
  LogLine& Add(std::string_view aName, std::string_view aValue);
  LogLine& Add(std::string_view aName, const char* aValue);
  LogLine& Add(std::string_view aName, std::uint64_t aValue);
  /// @brief Adds a time in milliseconds.
  LogLine& Add(std::string_view aName, core::Duration aValue);

  [[nodiscard]] const std::string& Text() const { return m_text; }

private:
  std::string m_text;
};

/// @brief Bounds of the lines that requests cause.
struct DecisionLogOptions
{
  /// Lines a second, and at once. A line costs about 20 us of a core.
  double lines_per_second = 60;
  double burst = 120;
};

/// @brief Lines about decisions, of one thread, at most so many a second. What
/// was left out is counted and said.
class DecisionLog
{
public:
  explicit DecisionLog(DecisionLogOptions aOptions = {});

  void Write(const LogLine& aLine);
  /// @brief For lines that are never left out: changes of state.
  static void WriteAlways(const LogLine& aLine);

  [[nodiscard]] std::uint64_t Dropped() const { return m_dropped_in_all; }

private:
  DecisionLogOptions m_options;
  double m_allowed;
  core::Instant m_refilled{};
  std::uint64_t m_dropped = 0; ///< Since the last line.
  std::uint64_t m_dropped_in_all = 0;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_DECISION_LOG_HPP
