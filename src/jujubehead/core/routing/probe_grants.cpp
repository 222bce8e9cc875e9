#include "jujubehead/core/routing/probe_grants.hpp"

#include <utility> // for exchange

namespace jujubehead::core {

bool
ProbeGrants::TryToClaim(RequestFingerprint aFingerprint, Instant aNow)
{
  Probe& probe = m_probes[aFingerprint];
  if (aNow < probe.next_claim) {
    return false;
  }
  probe.next_claim = aNow + kClaimInterval;
  return true;
}

void
ProbeGrants::Put(const Quarantine& aBegun)
{
  m_probes[aBegun.fingerprint].granted = aBegun;
}

std::optional<Quarantine>
ProbeGrants::Take(RequestFingerprint aFingerprint, Instant aNow)
{
  Tick(aNow);
  const auto found = m_probes.find(aFingerprint);
  return found == m_probes.end()
           ? std::nullopt
           : std::exchange(found->second.granted, std::nullopt);
}

void
ProbeGrants::Tick(Instant aNow)
{
  // A grant that outlives its quarantine would add to the next one's probe.
  std::erase_if(m_probes, [&](const auto& aEntry) {
    const Probe& probe = aEntry.second;
    return probe.next_claim <= aNow &&
           (!probe.granted || probe.granted->until <= aNow);
  });
}

} // namespace jujubehead::core
