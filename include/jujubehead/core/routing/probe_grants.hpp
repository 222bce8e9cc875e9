#ifndef JUJUBEHEAD_CORE_ROUTING_PROBE_GRANTS_HPP
#define JUJUBEHEAD_CORE_ROUTING_PROBE_GRANTS_HPP

#include <optional>      // for optional
#include <unordered_map> // for unordered_map

#include "jujubehead/core/routing/poison_requests.hpp" // for Quarantine
#include "jujubehead/core/runtime_clock.hpp"           // for Instant, Duration

namespace jujubehead::core {

/// @brief The probes of requests in quarantine that one instance may send.
///
/// A probe is claimed by recording the next quarantine, which takes a call to
/// the operators' store. A grant that the claiming request does not use is left
/// to the next copy.
class ProbeGrants
{
public:
  /// Time between two claims of a probe by one instance. A claim that had no
  /// effect shows that another instance has the probe, or that the store is not
  /// reached.
  static constexpr Duration kClaimInterval = std::chrono::seconds(5);

  /// @return whether to claim a probe now.
  [[nodiscard]] bool TryToClaim(RequestFingerprint aFingerprint, Instant aNow);
  /// @brief Adds the probe that `aBegun` allows, or returns it unsent.
  void Put(const Quarantine& aBegun);
  /// @return the quarantine whose probe may be sent, by the caller only;
  /// nothing if this instance has none.
  [[nodiscard]] std::optional<Quarantine> Take(RequestFingerprint aFingerprint,
                                               Instant aNow);
  /// @brief Drops grants and pauses that are over.
  void Tick(Instant aNow);

private:
  struct Probe
  {
    Instant next_claim{};
    std::optional<Quarantine> granted;
  };

  std::unordered_map<RequestFingerprint, Probe> m_probes;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_PROBE_GRANTS_HPP
