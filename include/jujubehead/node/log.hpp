#ifndef JUJUBEHEAD_NODE_LOG_HPP
#define JUJUBEHEAD_NODE_LOG_HPP

#include <string>      // for string
#include <string_view> // for string_view

namespace jujubehead::node {

/// @brief Sets up log4cxx, once a process, before the first line.
/// @param aConfigFile a log4cxx property file; empty: lines go to stderr.
/// @throws std::runtime_error when the file cannot be read.
void
ConfigureLog(const std::string& aConfigFile);

/// @brief Writes one line about a change of state; counters tell the rest.
/// @param aLogger the part that speaks: `control`, `owner`, `table`, ...
void
LogInfo(std::string_view aLogger, std::string_view aText);

/// @brief As LogInfo(), for what an operator should look at.
void
LogWarning(std::string_view aLogger, std::string_view aText);

/// @brief As LogInfo(), for what does not work.
void
LogError(std::string_view aLogger, std::string_view aText);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_LOG_HPP
