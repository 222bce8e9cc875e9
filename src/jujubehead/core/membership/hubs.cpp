#include "jujubehead/core/membership/hubs.hpp"

#include <algorithm> // for sort, any_of, count_if, max, stable_partition
#include <cstdint>   // for uint64_t

#include "jujubehead/core/routing/placement.hpp" // for PlacementHash

namespace jujubehead::core {
namespace {

/// Names that differ in their last letter only must not come side by side:
/// instances of one data centre often have such names.
std::uint64_t
OrderBySeed(std::string_view aSeed, std::string_view aId)
{
  return PlacementHash(std::string(aSeed).append(1, '/').append(aId));
}

void
SortBySeed(std::vector<KnownInstance>& aInstances, std::string_view aSeed)
{
  std::sort(aInstances.begin(),
            aInstances.end(),
            [&](const KnownInstance& aOne, const KnownInstance& aOther) {
              return OrderBySeed(aSeed, aOne.id) <
                     OrderBySeed(aSeed, aOther.id);
            });
}

/// Those that can bear as much as half of the largest go first; the others
/// follow in their order.
void
PutFitFirst(std::vector<KnownInstance>& aInstances)
{
  constexpr double kFitShare = 0.5;
  double most = 0;
  for (const KnownInstance& one : aInstances) {
    most = std::max(most, one.capacity);
  }
  std::stable_partition(
    aInstances.begin(), aInstances.end(), [&](const KnownInstance& aOne) {
      return aOne.capacity >= kFitShare * most;
    });
}

} // namespace

std::vector<KnownInstance>
HubsOf(std::vector<KnownInstance> aInstances,
       std::string_view aSelf,
       const HubOptions& aOptions)
{
  if (aInstances.size() > aOptions.most_without) {
    SortBySeed(aInstances, "hub");
    PutFitFirst(aInstances);
    aInstances.resize(aOptions.hubs);
  }
  SortBySeed(aInstances, aSelf);
  return aInstances;
}

std::size_t
RankOf(std::span<const KnownInstance> aInstances,
       std::string_view aSelf,
       std::string_view aSeed)
{
  const std::uint64_t own = OrderBySeed(aSeed, aSelf);
  const auto before = std::count_if(
    aInstances.begin(), aInstances.end(), [&](const KnownInstance& aOne) {
      return OrderBySeed(aSeed, aOne.id) < own;
    });
  return static_cast<std::size_t>(before);
}

void
HubRole::Update(std::vector<KnownInstance> aInstances,
                const HubOptions& aOptions)
{
  m_is_many = aInstances.size() > aOptions.most_without;
  m_hubs = HubsOf(std::move(aInstances), m_self, aOptions);
  m_is_hub =
    std::any_of(m_hubs.begin(), m_hubs.end(), [&](const KnownInstance& aOne) {
      return IsSelf(aOne);
    });
}

} // namespace jujubehead::core
