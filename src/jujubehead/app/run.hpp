#ifndef JUJUBEHEAD_APP_RUN_HPP
#define JUJUBEHEAD_APP_RUN_HPP

#include "command.hpp" // for Command, ExitCode
#include "tools.hpp"   // for Tools

namespace jujubehead::app {

/// @brief Runs one command; errors go to `aTools.err`.
ExitCode
Run(const Command& aCommand, Tools& aTools);

ExitCode
RunCheck(const CheckCommand& aCommand, Tools& aTools);
ExitCode
RunPlan(const PlanCommand& aCommand, Tools& aTools);
ExitCode
RunApply(const ApplyCommand& aCommand, Tools& aTools);
ExitCode
RunTable(const TableCommand& aCommand, Tools& aTools);
ExitCode
RunDrain(const DrainCommand& aCommand, Tools& aTools);
ExitCode
RunStatus(const StatusCommand& aCommand, Tools& aTools);
ExitCode
RunKey(const KeyCommand& aCommand, Tools& aTools);
ExitCode
RunCompletion(const CompletionCommand& aCommand, Tools& aTools);
ExitCode
RunHelp(const HelpCommand& aCommand, Tools& aTools);

/// @brief Prints how a set of changes ended.
ExitCode
ReportPublish(const core::PublishStep& aEnd, Tools& aTools);

} // namespace jujubehead::app

#endif // JUJUBEHEAD_APP_RUN_HPP
