#include "jujubehead/node/log.hpp"

#include <fstream>   // for ifstream
#include <stdexcept> // for runtime_error

#include <log4cxx/basicconfigurator.h>    // for BasicConfigurator
#include <log4cxx/consoleappender.h>      // for ConsoleAppender
#include <log4cxx/logger.h>               // for Logger
#include <log4cxx/patternlayout.h>        // for PatternLayout
#include <log4cxx/propertyconfigurator.h> // for PropertyConfigurator

namespace jujubehead::node {
namespace {

constexpr const char* kPattern =
  "%d{yyyy-MM-dd HH:mm:ss.SSS}{GMT} UTC %-5p %c: %m%n";

log4cxx::LoggerPtr
LoggerOf(std::string_view aName)
{
  return log4cxx::Logger::getLogger("jujubehead." + std::string(aName));
}

void
LogToConsole(LogStream aStream)
{
  const auto layout = std::make_shared<log4cxx::PatternLayout>(kPattern);
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
    layout,
    aStream == LogStream::kOut ? log4cxx::ConsoleAppender::getSystemOut()
                               : log4cxx::ConsoleAppender::getSystemErr());
  log4cxx::BasicConfigurator::configure(appender);
  log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getInfo());
}

} // namespace

void
ConfigureLog(const std::string& aConfigFile, LogStream aStream)
{
  // A second call replaces what the first one set, else lines come twice.
  log4cxx::BasicConfigurator::resetConfiguration();
  if (aConfigFile.empty()) {
    LogToConsole(aStream);
    return;
  }
  if (!std::ifstream(aConfigFile)) {
    throw std::runtime_error("the log configuration cannot be read: " +
                             aConfigFile);
  }
  log4cxx::PropertyConfigurator::configure(log4cxx::File(aConfigFile));
}

void
LogInfo(std::string_view aLogger, std::string_view aText)
{
  LOG4CXX_INFO(LoggerOf(aLogger), std::string(aText));
}

void
LogWarning(std::string_view aLogger, std::string_view aText)
{
  LOG4CXX_WARN(LoggerOf(aLogger), std::string(aText));
}

void
LogError(std::string_view aLogger, std::string_view aText)
{
  LOG4CXX_ERROR(LoggerOf(aLogger), std::string(aText));
}

} // namespace jujubehead::node
