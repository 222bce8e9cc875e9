#include "jujubehead/core/routing/software_versions.hpp"

namespace jujubehead::core {

void
SoftwareVersions::Apply(const std::vector<RegistrationChange>& aChanges,
                        Instant aNow)
{
  m_known_since = m_known_since.value_or(aNow);
  for (const RegistrationChange& change : aChanges) {
    Remove(change.id, aNow);
    if (change.target) {
      const RegisteredTarget& target = *change.target;
      m_targets[change.id] = { target.service, target.software_version };
      ++m_versions[target.service][target.software_version].targets;
    }
  }
}

void
SoftwareVersions::Remove(const TargetId& aId, Instant aNow)
{
  const auto found = m_targets.find(aId);
  if (found == m_targets.end()) {
    return;
  }
  Version& version = m_versions[found->second.service][found->second.version];
  --version.targets;
  version.gone_at = aNow;
  m_targets.erase(found);
}

SoleVersions
SoftwareVersions::Sole(Duration aLongest, Instant aNow) const
{
  SoleVersions sole;
  const bool is_known = m_known_since && aNow - *m_known_since >= aLongest;
  for (const auto& [service, versions] : m_versions) {
    std::vector<std::string> served;
    for (const auto& [text, version] : versions) {
      if (version.targets > 0 || aNow - version.gone_at < aLongest) {
        served.push_back(text);
      }
    }
    // Targets without a version do not tell versions apart at all.
    const bool is_one = served.size() == 1;
    if (is_one && (is_known || served.front().empty())) {
      sole.emplace(service, served.front());
    }
  }
  return sole;
}

} // namespace jujubehead::core
