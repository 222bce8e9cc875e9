#include "run.hpp"

#include <exception> // for exception
#include <ostream>   // for ostream

#include "version.hpp" // for kVersion

namespace jujubehead::app {
namespace {

struct Runner
{
  Tools& tools;

  ExitCode operator()(const ServeCommand& aCommand) const
  {
    return static_cast<ExitCode>(tools.serve(aCommand.options));
  }
  ExitCode operator()(const EntryCommand& aCommand) const
  {
    return static_cast<ExitCode>(tools.entry(aCommand.options));
  }
  ExitCode operator()(const CheckCommand& aCommand) const
  {
    return RunCheck(aCommand, tools);
  }
  ExitCode operator()(const PlanCommand& aCommand) const
  {
    return RunPlan(aCommand, tools);
  }
  ExitCode operator()(const ApplyCommand& aCommand) const
  {
    return RunApply(aCommand, tools);
  }
  ExitCode operator()(const TableCommand& aCommand) const
  {
    return RunTable(aCommand, tools);
  }
  ExitCode operator()(const DrainCommand& aCommand) const
  {
    return RunDrain(aCommand, tools);
  }
  ExitCode operator()(const StatusCommand& aCommand) const
  {
    return RunStatus(aCommand, tools);
  }
  ExitCode operator()(const KeyCommand& aCommand) const
  {
    return RunKey(aCommand, tools);
  }
  ExitCode operator()(const CompletionCommand& aCommand) const
  {
    return RunCompletion(aCommand, tools);
  }
  ExitCode operator()(const VersionCommand& /*aCommand*/) const
  {
    tools.out << "jujubehead " << kVersion << '\n';
    return ExitCode::kDone;
  }
  ExitCode operator()(const HelpCommand& aCommand) const
  {
    return RunHelp(aCommand, tools);
  }
};

} // namespace

ExitCode
Run(const Command& aCommand, Tools& aTools)
{
  try {
    return std::visit(Runner{ aTools }, aCommand);
  } catch (const std::exception& error) {
    aTools.err << "jujubehead: " << error.what() << '\n';
    return ExitCode::kFailed;
  }
}

} // namespace jujubehead::app
