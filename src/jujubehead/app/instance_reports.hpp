#ifndef JUJUBEHEAD_APP_INSTANCE_REPORTS_HPP
#define JUJUBEHEAD_APP_INSTANCE_REPORTS_HPP

#include <string>  // for string
#include <variant> // for variant
#include <vector>  // for vector

#include "command.hpp"                // for InstancesOptions
#include "jujubehead/node/status.hpp" // for InstanceStatus
#include "tools.hpp"                  // for Platform

namespace jujubehead::app {

/// @brief An instance did not answer with its status.
struct NoReport
{
  std::string why;
};

/// @brief What an instance said, or why it said nothing.
struct InstanceReport
{
  std::string address;
  std::variant<NoReport, node::InstanceStatus> report;

  /// @return the status, or null.
  [[nodiscard]] const node::InstanceStatus* Status() const
  {
    return std::get_if<node::InstanceStatus>(&report);
  }
};

/// @return addresses of the instances to ask.
/// @throws net::MemberListError when they are to be taken from the list.
std::vector<std::string>
FindInstances(const InstancesOptions& aOptions, Platform& aPlatform);

/// @brief Asks all instances at once for their status.
/// @return their reports, in the order of the addresses.
std::vector<InstanceReport>
ReadInstances(const std::vector<std::string>& aAddresses,
              const InstancesOptions& aOptions,
              Platform& aPlatform);

} // namespace jujubehead::app

#endif // JUJUBEHEAD_APP_INSTANCE_REPORTS_HPP
