#ifndef JUJUBEHEAD_NODE_LOG_HPP
#define JUJUBEHEAD_NODE_LOG_HPP

#include <cstdint>     // for uint8_t
#include <string>      // for string
#include <string_view> // for string_view

namespace jujubehead::node {

/// @brief Where lines go unless a file says otherwise.
enum class LogStream : std::uint8_t
{
  kErr, ///< Standard error.
  kOut, ///< Standard output.
};

/// @brief Sets up log4cxx, once a process, before the first line.
/// @param aConfigFile a log4cxx property file; empty: lines go to aStream.
/// @throws std::runtime_error when the file cannot be read.
void
ConfigureLog(const std::string& aConfigFile,
             LogStream aStream = LogStream::kErr);

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
