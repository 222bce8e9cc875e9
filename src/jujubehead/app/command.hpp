#ifndef JUJUBEHEAD_APP_COMMAND_HPP
#define JUJUBEHEAD_APP_COMMAND_HPP

#include <cstdint>  // for uint64_t, uint32_t
#include <memory>   // for shared_ptr
#include <optional> // for optional
#include <string>   // for string
#include <variant>  // for variant
#include <vector>   // for vector

#include "jujubehead/core/change_log.hpp"            // for StopSubject
#include "jujubehead/net/tls.hpp"                    // for TlsCredentials
#include "jujubehead/node/forward/entry_options.hpp" // for EntryOptions
#include "jujubehead/node/serve_options.hpp"         // for ServeOptions

namespace jujubehead::app {

/// @brief Where the platform is.
struct PlatformOptions
{
  std::string members; ///< `ip:port`; may be empty.
  std::string table_service;
  std::string object_store;
};

/// @brief What a table was made from.
struct BaseOptions
{
  std::string file;                     ///< Empty: none.
  std::optional<std::uint64_t> version; ///< Nothing: the version in force.

  [[nodiscard]] bool IsSet() const { return !file.empty() || version; }
};

/// @brief Which instances to ask.
struct InstancesOptions
{
  std::vector<std::string> addresses; ///< Empty: those of the list.
  std::string members;                ///< `ip:port`; may be empty.
  std::string operator_key;
  /// How to speak TLS with them; null: plain.
  std::shared_ptr<net::TlsCredentials> tls = nullptr;
};

/// @brief Runs an instance.
struct ServeCommand
{
  node::ServeOptions options;
};

/// @brief Runs an instance that forwards requests on the operators' platform.
struct EntryCommand
{
  node::EntryOptions options;
};

/// @brief Checks a table without asking anyone.
struct CheckCommand
{
  std::string file;
};

/// @brief Shows what a table would change.
struct PlanCommand
{
  std::string file;
  PlatformOptions platform;
  BaseOptions base;
};

/// @brief Brings a table in force.
struct ApplyCommand
{
  std::string file;
  PlatformOptions platform;
  BaseOptions base;
  std::string author;
};

/// @brief Prints the table that is in force.
struct TableCommand
{
  PlatformOptions platform;
  std::optional<std::uint64_t> version; ///< Nothing: the newest.
};

/// @brief Begins or takes back a planned stop.
struct DrainCommand
{
  core::StopSubject subject;
  PlatformOptions platform;
  InstancesOptions instances;
  std::string author;
  std::uint32_t deadline_s = 0; ///< 0: none.
  bool undo = false;
};

/// @brief Shows what the instances do.
struct StatusCommand
{
  InstancesOptions instances;
  bool json = false;
};

/// @brief Makes a key for a client account.
struct KeyCommand
{
  std::string account;
};

/// @brief Prints the completion script for a shell.
struct CompletionCommand
{};

/// @brief Prints the program's version.
struct VersionCommand
{};

/// @brief Prints help; of all commands when `topic` is empty.
struct HelpCommand
{
  std::string topic;
};

using Command = std::variant<ServeCommand,
                             EntryCommand,
                             CheckCommand,
                             PlanCommand,
                             ApplyCommand,
                             TableCommand,
                             DrainCommand,
                             StatusCommand,
                             KeyCommand,
                             CompletionCommand,
                             VersionCommand,
                             HelpCommand>;

/// @brief How a command ended; documented in `jujubehead help`.
enum class ExitCode : int
{
  kDone = 0,
  kFailed = 1,    ///< Something did not answer or could not be done.
  kFindings = 2,  ///< The settings or the table are wrong.
  kConflict = 3,  ///< Another operator changed the same.
  kUnknown = 4,   ///< The change may or may not be in force.
  kNotDrained = 5 ///< The planned stop is not over by its deadline.
};

} // namespace jujubehead::app

#endif // JUJUBEHEAD_APP_COMMAND_HPP
