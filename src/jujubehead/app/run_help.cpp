#include "run.hpp"

#include <algorithm> // for max
#include <ostream>   // for ostream

#include "command_specs.hpp" // for CommandSpecs
#include "flags.hpp"         // for HelpOfFlag

namespace jujubehead::app {
namespace {

constexpr std::size_t kNameWidth = 22;

std::string
Padded(std::string aText)
{
  aText.resize(std::max(aText.size() + 1, kNameWidth), ' ');
  return aText;
}

std::string
Usage(const CommandSpec& aSpec)
{
  std::string usage(aSpec.name);
  if (!aSpec.argument.empty()) {
    usage += ' ' + std::string(aSpec.argument);
  }
  return usage;
}

void
PrintFlags(const CommandSpec& aSpec, std::ostream& aOut)
{
  if (aSpec.flags.empty()) {
    return;
  }
  aOut << "\nFlags (each also as a variable, --listen_port as "
          "JUJUBEHEAD_LISTEN_PORT):\n";
  for (const std::string_view name : aSpec.flags) {
    const auto help = HelpOfFlag(std::string(name));
    aOut << "  " << Padded("--" + help->name) << help->description;
    const bool has_default = !help->default_value.empty() &&
                             help->default_value != "0" && help->type != "bool";
    if (has_default) {
      aOut << " (default " << help->default_value << ')';
    }
    aOut << '\n';
  }
}

void
PrintCommand(const CommandSpec& aSpec, std::ostream& aOut)
{
  aOut << "jujubehead " << Usage(aSpec) << " - " << aSpec.summary << '\n';
  if (!aSpec.details.empty()) {
    aOut << '\n' << aSpec.details << '\n';
  }
  PrintFlags(aSpec, aOut);
  aOut << "\nExamples:\n";
  for (const std::string_view example : aSpec.examples) {
    aOut << "  " << example << '\n';
  }
}

void
PrintOverview(std::ostream& aOut)
{
  aOut << "jujubehead serves prompts to model targets by a table of client\n"
          "accounts, and keeps the context of prompts that return.\n\n"
          "Usage: jujubehead COMMAND [ARGUMENT] [--flag=value ...]\n\n"
          "Commands:\n";
  for (const CommandSpec& spec : CommandSpecs()) {
    aOut << "  " << Padded(Usage(spec)) << spec.summary << '\n';
  }
  aOut
    << "\nA first table, from nothing to in force:\n"
       "  jujubehead key acme     # the key_hash cell of its row\n"
       "  jujubehead check table.csv    # every finding with row and column\n"
       "  jujubehead plan table.csv     # what would change\n"
       "  jujubehead apply table.csv    # bring it in force\n"
       "\nExit codes:\n"
       "  0  done\n"
       "  1  something did not answer or could not be done\n"
       "  2  settings or table are wrong; every finding is printed\n"
       "  3  another operator changed the same; nothing was written\n"
       "  4  the change may or may not be in force; run it again\n"
       "  5  the planned stop is not over by its deadline\n"
       "\n`jujubehead help COMMAND` explains a command and its flags.\n";
}

} // namespace

ExitCode
RunHelp(const HelpCommand& aCommand, Tools& aTools)
{
  if (aCommand.topic.empty()) {
    PrintOverview(aTools.out);
    return ExitCode::kDone;
  }
  const CommandSpec* spec = FindCommandSpec(aCommand.topic);
  if (spec == nullptr) {
    aTools.err << "unknown command '" << aCommand.topic << "'\n";
    PrintOverview(aTools.err);
    return ExitCode::kFindings;
  }
  PrintCommand(*spec, aTools.out);
  return ExitCode::kDone;
}

ExitCode
RunCompletion(const CompletionCommand& /*aCommand*/, Tools& aTools)
{
  aTools.out << "_jujubehead() {\n"
                "  local current=\"${COMP_WORDS[COMP_CWORD]}\" flags=\"\"\n"
                "  if [ \"$COMP_CWORD\" -eq 1 ]; then\n"
                "    COMPREPLY=($(compgen -W \"";
  for (const CommandSpec& spec : CommandSpecs()) {
    aTools.out << spec.name << ' ';
  }
  aTools.out << "\" -- \"$current\"))\n    return\n  fi\n"
                "  case \"${COMP_WORDS[1]}\" in\n";
  for (const CommandSpec& spec : CommandSpecs()) {
    aTools.out << "    " << spec.name << ") flags=\"--help";
    for (const std::string_view flag : spec.flags) {
      aTools.out << " --" << flag;
    }
    aTools.out << "\" ;;\n";
  }
  aTools.out << "  esac\n"
                "  if [[ \"$current\" == -* ]]; then\n"
                "    COMPREPLY=($(compgen -W \"$flags\" -- \"$current\"))\n"
                "  else\n"
                "    COMPREPLY=($(compgen -f -- \"$current\"))\n"
                "  fi\n"
                "}\n"
                "complete -o nospace -F _jujubehead jujubehead\n";
  return ExitCode::kDone;
}

} // namespace jujubehead::app
