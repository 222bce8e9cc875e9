#ifndef JUJUBEHEAD_APP_FLAGS_HPP
#define JUJUBEHEAD_APP_FLAGS_HPP

#include <cstdint>     // for uint32_t, uint64_t, uint8_t
#include <functional>  // for function
#include <map>         // for map
#include <optional>    // for optional
#include <span>        // for span
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "jujubehead/core/finding.hpp" // for Findings, Place

namespace jujubehead::app {

/// @brief The values of all flags.
struct FlagValues
{
  std::string instance_id;
  std::string data_centre;
  std::string listen_address;
  std::uint32_t listen_port = 0;
  std::string peer_address;
  std::uint32_t peer_port = 0;
  std::string members;
  std::string table_service;
  std::string object_store;
  std::string peer_secret;
  std::string peer_secret_file;
  std::string listen_certificate;
  std::string listen_key;
  std::string listen_authority;
  std::string peer_certificate;
  std::string peer_key;
  std::string peer_authority;
  std::uint32_t traffic_threads = 0;
  std::string ready_file;
  std::string log_config;
  std::string operator_key;
  std::string author;
  std::string base;
  std::uint64_t base_version = 0;
  std::string instances;
  std::uint32_t deadline = 0;
  std::string callers;
  std::string ready;
  std::string metrics;
  std::string relay;
  std::string relay_seeds;
  std::string tunnel;
  std::string regions;
  double capacity = 0;
  std::uint32_t memory = 0;
  std::uint32_t descriptors = 0;
  double retry_share = 0;
  double hedge_share = 0;
  double retry_fixed = 0;
  std::uint32_t retry_window = 0;
  std::uint32_t first_quarantine = 0;
  std::uint32_t stop_grace = 0;
  std::uint32_t lease_time = 0;
  std::uint32_t weights_time = 0;
  std::uint32_t weights_time_in_all = 0;
  bool undo = false;
  bool json = false;
};

/// @brief Where a flag's value was set.
enum class FlagSource : std::uint8_t
{
  kDefault,
  kCommandLine,
  kEnvironment,
};

/// Reads an environment variable; null when it is not set.
using Environment = std::function<const char*(const char* aName)>;

/// @brief A command line taken apart.
struct Arguments
{
  std::vector<std::string> words; ///< What is no flag, in its order.
  FlagValues values;
  std::map<std::string, FlagSource, std::less<>> sources; ///< Of those set.
  core::Findings findings;

  /// @return the place of a flag, for findings.
  [[nodiscard]] core::Place PlaceOf(std::string_view aFlag) const;
  [[nodiscard]] bool IsSet(std::string_view aFlag) const;
  /// @return whether a flag is on the command line itself.
  [[nodiscard]] bool IsGiven(std::string_view aFlag) const;
};

/// @brief Takes a command line apart, without the program's name. Variables
/// `JUJUBEHEAD_<FLAG>` stand for flags that are not on it.
Arguments
ParseArguments(std::span<const std::string> aArguments,
               const Environment& aEnvironment);

/// @brief What the help says of a flag.
struct FlagHelp
{
  std::string name;
  std::string type; ///< `string`, `uint32`, `uint64` or `bool`.
  std::string description;
  std::string default_value;
};

/// @return the help of a flag, or nothing when there is none of that name.
std::optional<FlagHelp>
HelpOfFlag(const std::string& aName);

/// @return `JUJUBEHEAD_<FLAG>`.
std::string
VariableOfFlag(std::string_view aFlag);

} // namespace jujubehead::app

#endif // JUJUBEHEAD_APP_FLAGS_HPP
