#include "jujubehead/core/membership/tunnel_peers.hpp"

#include <algorithm> // for min, sort
#include <array>     // for array
#include <utility>   // for move

#include <boost/container_hash/hash.hpp> // for hash_combine

#include "jujubehead/core/rendezvous.hpp" // for HashName

namespace jujubehead::core {
namespace {

/// Peers kept of each distance. When half of a data centre is partitioned, one
/// in 250 instances has only partitioned ones among them, and turns to other
/// data centres.
constexpr std::size_t kPeersEach = 8;
constexpr std::size_t kDistances = 3;
/// Pause after a failure, doubled with each further one.
constexpr Duration kFirstPause = std::chrono::milliseconds(500);
constexpr Duration kMaxPause = std::chrono::seconds(4);
constexpr std::uint32_t kMaxDoublings = 3;

std::uint64_t
RankOfPair(std::string_view aSelf, std::string_view aOther)
{
  std::size_t seed = detail::HashName(aSelf);
  boost::hash_combine(seed, detail::HashName(aOther));
  return seed;
}

} // namespace

TunnelPeers::TunnelPeers(std::string aSelf,
                         DataCentreId aDataCentre,
                         const DataCentreRegions& aRegions)
  : m_self(std::move(aSelf))
  , m_data_centre(std::move(aDataCentre))
  , m_regions(aRegions)
{
}

TunnelPeers::Distance
TunnelPeers::DistanceTo(const DataCentreId& aDataCentre) const
{
  if (aDataCentre == m_data_centre) {
    return Distance::kDataCentre;
  }
  const auto own = m_regions.find(m_data_centre);
  const auto other = m_regions.find(aDataCentre);
  const bool is_same_region = own != m_regions.end() &&
                              other != m_regions.end() &&
                              own->second == other->second;
  return is_same_region ? Distance::kRegion : Distance::kOtherRegion;
}

void
TunnelPeers::Update(const std::vector<KnownInstance>& aOthers)
{
  struct Ranked
  {
    std::uint64_t rank;
    const KnownInstance* instance;
  };
  std::array<std::vector<Ranked>, kDistances> by_distance;
  for (const KnownInstance& other : aOthers) {
    if (!other.tunnel_address.empty() && other.id != m_self) {
      const Distance distance = DistanceTo(other.data_centre);
      by_distance.at(static_cast<std::size_t>(distance))
        .push_back({ RankOfPair(m_self, other.id), &other });
    }
  }
  std::map<std::string, State> peers;
  for (std::size_t i = 0; i < kDistances; ++i) {
    auto& ranked = by_distance.at(i);
    std::sort(
      ranked.begin(), ranked.end(), [](const auto& aOne, const auto& aOther) {
        return aOne.rank < aOther.rank;
      });
    ranked.resize(std::min(ranked.size(), kPeersEach));
    for (const Ranked& one : ranked) {
      const auto known = m_peers.find(one.instance->id);
      State state = known != m_peers.end() ? known->second : State();
      state.peer = { one.instance->id,
                     one.instance->tunnel_address,
                     one.instance->data_centre };
      state.distance = static_cast<Distance>(i);
      peers.emplace(one.instance->id, std::move(state));
    }
  }
  m_peers = std::move(peers);
}

std::vector<const TunnelPeers::State*>
TunnelPeers::Nearest(const Homes& aHomes,
                     const std::set<std::string>& aTried,
                     Instant aNow,
                     bool aWithAll) const
{
  std::set<DataCentreId> tried_in;
  for (const std::string& id : aTried) {
    if (const auto found = m_peers.find(id); found != m_peers.end()) {
      tried_in.insert(found->second.peer.data_centre);
    }
  }
  std::vector<const State*> nearest;
  for (const auto& [id, state] : m_peers) {
    const bool is_preferred =
      state.failed_until <= aNow && !tried_in.contains(state.peer.data_centre);
    if ((!aWithAll && !is_preferred) || aTried.contains(id) ||
        !aHomes.Allow(state.peer.data_centre)) {
      continue;
    }
    if (!nearest.empty() && state.distance < nearest.front()->distance) {
      nearest.clear();
    }
    if (nearest.empty() || state.distance == nearest.front()->distance) {
      nearest.push_back(&state);
    }
  }
  return nearest;
}

const TunnelPeer*
TunnelPeers::Choose(const Homes& aHomes,
                    const std::set<std::string>& aTried,
                    std::uint64_t aRandom,
                    Instant aNow) const
{
  auto nearest = Nearest(aHomes, aTried, aNow, false);
  if (nearest.empty()) {
    nearest = Nearest(aHomes, aTried, aNow, true);
  }
  if (nearest.empty()) {
    return nullptr;
  }
  const State* one = nearest[aRandom % nearest.size()];
  const State* other = nearest[aRandom / nearest.size() % nearest.size()];
  return other->tunnels < one->tunnels ? &other->peer : &one->peer;
}

void
TunnelPeers::OnBegin(const std::string& aPeer)
{
  if (const auto found = m_peers.find(aPeer); found != m_peers.end()) {
    ++found->second.tunnels;
  }
}

void
TunnelPeers::OnEnd(const std::string& aPeer)
{
  const auto found = m_peers.find(aPeer);
  if (found != m_peers.end() && found->second.tunnels > 0) {
    --found->second.tunnels;
  }
}

void
TunnelPeers::OnAnswer(const std::string& aPeer)
{
  if (const auto found = m_peers.find(aPeer); found != m_peers.end()) {
    found->second.failures = 0;
    found->second.failed_until = {};
  }
}

void
TunnelPeers::OnFailure(const std::string& aPeer, Instant aNow)
{
  const auto found = m_peers.find(aPeer);
  if (found == m_peers.end()) {
    return;
  }
  State& state = found->second;
  const std::uint32_t doublings = std::min(state.failures, kMaxDoublings);
  state.failed_until =
    aNow + std::min(kFirstPause * (1 << doublings), kMaxPause);
  ++state.failures;
}

} // namespace jujubehead::core
