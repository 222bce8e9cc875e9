#ifndef JUJUBEHEAD_APP_COMMAND_LINE_HPP
#define JUJUBEHEAD_APP_COMMAND_LINE_HPP

#include <span>   // for span
#include <string> // for string

#include "command.hpp"                 // for Command
#include "flags.hpp"                   // for Environment
#include "jujubehead/core/finding.hpp" // for Checked

namespace jujubehead::app {

/// @brief Reads a command line, without the program's name.
/// @return the command, or every finding about arguments and settings.
core::Checked<Command>
ReadCommandLine(std::span<const std::string> aArguments,
                const Environment& aEnvironment);

} // namespace jujubehead::app

#endif // JUJUBEHEAD_APP_COMMAND_LINE_HPP
