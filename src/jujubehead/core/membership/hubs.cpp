#include "jujubehead/core/membership/hubs.hpp"

#include <algorithm> // for sort, any_of, count_if, max, stable_partition
#include <cstdint>   // for uint64_t

#include "jujubehead/core/routing/placement.hpp" // for PlacementHash

namespace jujubehead::core {
namespace {

/// The order must scatter names that differ in their last letter only, because
/// instances of one data centre often have such names.
std::uint64_t
SeededHash(std::string_view aSeed, std::string_view aId)
{
  return PlacementHash(std::string(aSeed).append(1, '/').append(aId));
}

void
SortBySeed(std::vector<KnownInstance>& aInstances, std::string_view aSeed)
{
  std::sort(aInstances.begin(),
            aInstances.end(),
            [&](const KnownInstance& aOne, const KnownInstance& aOther) {
              return SeededHash(aSeed, aOne.id) < SeededHash(aSeed, aOther.id);
            });
}

/// Instances with at least half of the largest capacity come first; the order
/// is otherwise kept.
void
PutLargestFirst(std::vector<KnownInstance>& aInstances)
{
  constexpr double kMinShareOfLargest = 0.5;
  double largest = 0;
  for (const KnownInstance& one : aInstances) {
    largest = std::max(largest, one.capacity);
  }
  std::stable_partition(
    aInstances.begin(), aInstances.end(), [&](const KnownInstance& aOne) {
      return aOne.capacity >= kMinShareOfLargest * largest;
    });
}

} // namespace

std::vector<KnownInstance>
HubsOf(std::vector<KnownInstance> aInstances,
       std::string_view aSelf,
       const HubOptions& aOptions)
{
  if (aInstances.size() > aOptions.max_without_hubs) {
    SortBySeed(aInstances, "hub");
    PutLargestFirst(aInstances);
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
  const std::uint64_t own = SeededHash(aSeed, aSelf);
  const auto before = std::count_if(
    aInstances.begin(), aInstances.end(), [&](const KnownInstance& aOne) {
      return SeededHash(aSeed, aOne.id) < own;
    });
  return static_cast<std::size_t>(before);
}

void
HubRole::Update(std::vector<KnownInstance> aInstances,
                const HubOptions& aOptions)
{
  m_has_non_hubs = aInstances.size() > aOptions.max_without_hubs;
  m_hubs = HubsOf(std::move(aInstances), m_self, aOptions);
  m_is_hub =
    std::any_of(m_hubs.begin(), m_hubs.end(), [&](const KnownInstance& aOne) {
      return IsSelf(aOne);
    });
}

} // namespace jujubehead::core
