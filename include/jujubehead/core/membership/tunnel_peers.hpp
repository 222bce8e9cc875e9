#ifndef JUJUBEHEAD_CORE_MEMBERSHIP_TUNNEL_PEERS_HPP
#define JUJUBEHEAD_CORE_MEMBERSHIP_TUNNEL_PEERS_HPP

#include <cstdint> // for uint32_t, uint64_t
#include <map>     // for map
#include <set>     // for set
#include <string>  // for string
#include <vector>  // for vector

#include "jujubehead/core/ids.hpp"                           // for DataCentreId
#include "jujubehead/core/membership/instance_directory.hpp" // for KnownInstance
#include "jujubehead/core/routing/homes.hpp" // for Homes, DataCentreRegions
#include "jujubehead/core/runtime_clock.hpp" // for Instant

namespace jujubehead::core {

/// @brief Another instance that opens connections to targets for this one.
struct TunnelPeer
{
  std::string id;
  std::string address; ///< `ip:port`.
  DataCentreId data_centre;
};

/// @brief The other instances through which this one may reach targets that it
/// does not reach itself.
///
/// Of a fleet of any size each instance knows a few: of its own data centre, of
/// the others in its region, and of other regions. Each ranks them by its own
/// hash, so that the instances of a partitioned data centre do not all turn to
/// the same ones.
class TunnelPeers
{
public:
  /// @param aRegions outlives this.
  TunnelPeers(std::string aSelf,
              DataCentreId aDataCentre,
              const DataCentreRegions& aRegions);

  /// @param aOthers all other instances. Those without a tunnel address are
  /// left out.
  void Update(const std::vector<KnownInstance>& aOthers);
  [[nodiscard]] bool IsEmpty() const { return m_peers.empty(); }

  /// @return the peer for the next tunnel, null if there is none: near ones
  /// first, of two random ones the one with fewer tunnels of this instance. One
  /// that failed lately is chosen only when no other is left, and so is one in
  /// a data centre where another was tried: it may be partitioned as a whole.
  /// @param aHomes where the request's data may pass.
  /// @param aTried ids of peers not to choose.
  [[nodiscard]] const TunnelPeer* Choose(const Homes& aHomes,
                                         const std::set<std::string>& aTried,
                                         std::uint64_t aRandom,
                                         Instant aNow) const;
  /// @brief A tunnel is about to be opened, or has ended.
  void OnBegin(const std::string& aPeer);
  void OnEnd(const std::string& aPeer);
  /// @brief The peer opened a tunnel, or reported that a target is gone.
  void OnAnswer(const std::string& aPeer);
  /// @brief The peer did not answer, took no tunnel or did not reach a target.
  void OnFailure(const std::string& aPeer, Instant aNow);

private:
  enum class Distance : std::uint8_t
  {
    kDataCentre,
    kRegion,
    kOtherRegion,
  };

  struct State
  {
    TunnelPeer peer;
    Distance distance = Distance::kOtherRegion;
    std::uint32_t tunnels = 0;
    std::uint32_t failures = 0; ///< In a row.
    Instant failed_until{};
  };

  [[nodiscard]] Distance DistanceTo(const DataCentreId& aDataCentre) const;
  /// @return the peers to choose from: the nearest that are usable.
  [[nodiscard]] std::vector<const State*> Nearest(
    const Homes& aHomes,
    const std::set<std::string>& aTried,
    Instant aNow,
    bool aWithAll) const;

  std::string m_self;
  DataCentreId m_data_centre;
  const DataCentreRegions& m_regions;
  std::map<std::string, State> m_peers; ///< By id.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_MEMBERSHIP_TUNNEL_PEERS_HPP
