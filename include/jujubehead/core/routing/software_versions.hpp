#ifndef JUJUBEHEAD_CORE_ROUTING_SOFTWARE_VERSIONS_HPP
#define JUJUBEHEAD_CORE_ROUTING_SOFTWARE_VERSIONS_HPP

#include <cstddef>  // for size_t
#include <map>      // for map
#include <optional> // for optional
#include <string>   // for string
#include <vector>   // for vector

#include "jujubehead/core/routing/target_directory.hpp" // for RegistrationChange
#include "jujubehead/core/runtime_clock.hpp"            // for Instant, Duration

namespace jujubehead::core {

/// Services all of whose streams began at one software version, and that
/// version.
using SoleVersions = std::map<ServiceId, std::string>;

/// @brief The software versions that the targets of each service run, and those
/// that they ran until a moment ago.
///
/// A stream goes on only at the version that began it. Where one version alone
/// has served for as long as a stream can last, no record of the stream is
/// needed. A process that has just started does not know what served before.
class SoftwareVersions
{
public:
  void Apply(const std::vector<RegistrationChange>& aChanges, Instant aNow);
  /// @param aLongest time within which a stream that has begun may go on.
  [[nodiscard]] SoleVersions Sole(Duration aLongest, Instant aNow) const;

private:
  struct Version
  {
    std::size_t targets = 0;
    Instant gone_at{}; ///< Once there are none.
  };
  struct Running
  {
    ServiceId service;
    std::string version;
  };

  void Remove(const TargetId& aId, Instant aNow);

  std::map<TargetId, Running> m_targets;
  std::map<ServiceId, std::map<std::string, Version>> m_versions;
  std::optional<Instant> m_known_since;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_SOFTWARE_VERSIONS_HPP
