#include "decision_log.hpp"

#include <algorithm> // for min
#include <chrono>    // for duration

#include "jujubehead/node/log.hpp" // for LogInfo

namespace jujubehead::node {
namespace {

constexpr std::string_view kLogger = "entry";

} // namespace

LogLine::LogLine(std::string_view aEvent)
  : m_text("event=")
{
  m_text += aEvent;
}

LogLine&
LogLine::Add(std::string_view aName, std::string_view aValue)
{
  m_text.append(" ").append(aName).append("=");
  if (!aValue.empty() &&
      aValue.find_first_of(" \"\r\n\t") == std::string_view::npos) {
    m_text += aValue;
    return *this;
  }
  m_text += '"';
  for (const char letter : aValue) {
    const bool is_plain =
      letter != '"' && static_cast<unsigned char>(letter) >= ' ';
    m_text += is_plain ? letter : '_';
  }
  m_text += '"';
  return *this;
}

LogLine&
LogLine::Add(std::string_view aName, const char* aValue)
{
  return Add(aName, std::string_view(aValue));
}

LogLine&
LogLine::Add(std::string_view aName, std::uint64_t aValue)
{
  return Add(aName, std::string_view(std::to_string(aValue)));
}

LogLine&
LogLine::Add(std::string_view aName, core::Duration aValue)
{
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(aValue);
  return Add(std::string(aName) + "_ms",
             std::string_view(std::to_string(ms.count())));
}

DecisionLog::DecisionLog(DecisionLogOptions aOptions)
  : m_options(aOptions)
  , m_available(aOptions.burst)
{
}

void
DecisionLog::Write(const LogLine& aLine)
{
  const core::Instant now = core::RuntimeClock::now();
  const std::chrono::duration<double> passed = now - m_refilled;
  m_refilled = now;
  m_available = std::min(
    m_options.burst, m_available + passed.count() * m_options.lines_per_second);
  if (m_available < 1) {
    ++m_dropped;
    ++m_dropped_total;
    return;
  }
  m_available -= 1;
  if (m_dropped != 0) {
    LogInfo(kLogger, LogLine("lines_dropped").Add("count", m_dropped).Text());
    m_dropped = 0;
  }
  LogInfo(kLogger, aLine.Text());
}

void
DecisionLog::WriteUnthrottled(const LogLine& aLine)
{
  LogInfo(kLogger, aLine.Text());
}

} // namespace jujubehead::node
