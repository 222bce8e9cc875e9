#include "jujubehead/core/membership/hubs.hpp"

#include <algorithm> // for sort, any_of, find_if
#include <cstdint>   // for uint64_t

#include "jujubehead/core/routing/placement.hpp" // for PlacementHash

namespace jujubehead::core {
namespace {

void
SortBySeed(std::vector<KnownInstance>& aInstances, std::string_view aSeed)
{
  // Names that differ in their last letter only must not come side by side:
  // instances of one data centre often have such names.
  const auto rank = [&](const KnownInstance& aOne) {
    return PlacementHash(std::string(aSeed) + '/' + aOne.id);
  };
  std::sort(aInstances.begin(),
            aInstances.end(),
            [&](const KnownInstance& aOne, const KnownInstance& aOther) {
              return rank(aOne) < rank(aOther);
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
    aInstances.resize(aOptions.hubs);
  }
  SortBySeed(aInstances, aSelf);
  return aInstances;
}

std::size_t
RankOf(std::vector<KnownInstance> aInstances,
       std::string_view aSelf,
       std::string_view aSeed)
{
  SortBySeed(aInstances, aSeed);
  const auto self =
    std::find_if(aInstances.begin(),
                 aInstances.end(),
                 [&](const KnownInstance& aOne) { return aOne.id == aSelf; });
  return static_cast<std::size_t>(self - aInstances.begin());
}

void
HubRole::Update(std::vector<KnownInstance> aInstances,
                const HubOptions& aOptions)
{
  m_is_many = aInstances.size() > aOptions.most_without;
  m_hubs = HubsOf(std::move(aInstances), m_self, aOptions);
  m_is_hub =
    std::any_of(m_hubs.begin(), m_hubs.end(), [&](const KnownInstance& aOne) {
      return aOne.id == m_self;
    });
}

} // namespace jujubehead::core
