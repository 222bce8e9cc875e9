#ifndef JUJUBEHEAD_APP_COMMAND_SPECS_HPP
#define JUJUBEHEAD_APP_COMMAND_SPECS_HPP

#include <span>        // for span
#include <string_view> // for string_view
#include <vector>      // for vector

namespace jujubehead::app {

/// @brief What there is to say about a command: for parsing, help and
/// completion alike.
struct CommandSpec
{
  std::string_view name;
  std::string_view argument; ///< Of the one argument it takes; may be empty.
  std::string_view summary;
  std::string_view details;
  std::vector<std::string_view> flags;
  std::vector<std::string_view> examples;
};

/// @return all commands, in the order of the help.
std::span<const CommandSpec>
CommandSpecs();

/// @return the command of that name, or null.
const CommandSpec*
FindCommandSpec(std::string_view aName);

} // namespace jujubehead::app

#endif // JUJUBEHEAD_APP_COMMAND_SPECS_HPP
