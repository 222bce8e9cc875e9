#include "jujubehead/core/context/store_homes.hpp"

#include <algorithm> // for sort
#include <set>       // for set

#include "jujubehead/core/routing/placement.hpp" // for WeightedScore

namespace jujubehead::core {
namespace {

/// Homes beyond these would only be looked at while all before are full or
/// away.
constexpr std::size_t kMostHomes = 8;

struct RankedStore
{
  std::size_t index = 0;
  bool suits = false;
  Duration first_delay{};
  double score = 0;
};

/// Whether the one comes before the other by what they are, whatever the part.
bool
IsBetterKind(const RankedStore& aOne, const RankedStore& aOther)
{
  if (aOne.suits != aOther.suits) {
    return aOne.suits;
  }
  return aOne.suits ? aOne.first_delay > aOther.first_delay
                    : aOne.first_delay < aOther.first_delay;
}

bool
IsAlike(const RankedStore& aOne, const RankedStore& aOther)
{
  return !IsBetterKind(aOne, aOther) && !IsBetterKind(aOther, aOne);
}

} // namespace

std::vector<StoreHome>
StoreHomes(std::uint64_t aPart,
           const TransferSize& aSize,
           std::span<const StoreFacts> aStores)
{
  std::vector<RankedStore> ranked;
  ranked.reserve(aStores.size());
  for (std::size_t i = 0; i < aStores.size(); ++i) {
    const StoreFacts& store = aStores[i];
    RankedStore rank;
    rank.index = i;
    rank.first_delay = store.rate.first_delay;
    rank.suits = store.rate.first_delay <= LinkTime(aSize, store.rate);
    rank.score = WeightedScore(aPart, store.name_hash, store.capacity_tokens);
    ranked.push_back(rank);
  }
  std::sort(ranked.begin(),
            ranked.end(),
            [](const RankedStore& aOne, const RankedStore& aOther) {
              return IsAlike(aOne, aOther) ? aOne.score > aOther.score
                                           : IsBetterKind(aOne, aOther);
            });
  std::vector<StoreHome> homes;
  std::size_t kind = 0;
  std::set<std::string_view> places; // of this kind
  for (std::size_t i = 0; i < ranked.size() && homes.size() < kMostHomes; ++i) {
    if (i > 0 && !IsAlike(ranked[i - 1], ranked[i])) {
      ++kind;
      places.clear();
    }
    if (places.insert(aStores[ranked[i].index].data_centre).second) {
      homes.push_back({ ranked[i].index, kind });
    }
  }
  return homes;
}

} // namespace jujubehead::core
