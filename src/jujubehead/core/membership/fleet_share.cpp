#include "jujubehead/core/membership/fleet_share.hpp"

namespace jujubehead::core {

void
FleetShare::OnView(std::size_t aInstances,
                   bool aHasOwn,
                   Instant aAsOf,
                   Instant aNow)
{
  if (!aHasOwn) {
    m_visible_since.reset();
  } else if (!m_visible_since) {
    m_visible_since = aNow;
  }
  m_instances = aInstances;
  m_as_of = aAsOf;
}

double
FleetShare::At(Instant aNow) const
{
  const bool is_visible =
    m_visible_since &&
    aNow - *m_visible_since >= m_options.window + m_options.view_lifetime;
  if (!is_visible || m_instances == 0 || aNow >= ValidUntil()) {
    return 0;
  }
  return 1.0 / static_cast<double>(m_instances);
}

} // namespace jujubehead::core
