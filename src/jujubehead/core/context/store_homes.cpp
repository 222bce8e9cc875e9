#include "jujubehead/core/context/store_homes.hpp"

#include <algorithm> // for find_if, min, sort

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
  // The best of each kind and data centre: few, however many stores there are.
  std::vector<RankedStore> best;
  for (std::size_t i = 0; i < aStores.size(); ++i) {
    const StoreFacts& store = aStores[i];
    RankedStore rank;
    rank.index = i;
    rank.first_delay = store.rate.first_delay;
    rank.suits = store.rate.first_delay <= LinkTime(aSize, store.rate);
    rank.score = WeightedScore(aPart, store.name_hash, store.capacity_tokens);
    const auto rival =
      std::find_if(best.begin(), best.end(), [&](const RankedStore& aOther) {
        return IsAlike(aOther, rank) &&
               aStores[aOther.index].data_centre == store.data_centre;
      });
    if (rival == best.end()) {
      best.push_back(rank);
    } else if (rank.score > rival->score) {
      *rival = rank;
    }
  }
  std::sort(best.begin(),
            best.end(),
            [](const RankedStore& aOne, const RankedStore& aOther) {
              return IsAlike(aOne, aOther) ? aOne.score > aOther.score
                                           : IsBetterKind(aOne, aOther);
            });
  best.resize(std::min(best.size(), kMostHomes));
  std::vector<StoreHome> homes;
  std::size_t kind = 0;
  for (std::size_t i = 0; i < best.size(); ++i) {
    kind += i > 0 && !IsAlike(best[i - 1], best[i]) ? 1 : 0;
    homes.push_back({ best[i].index, kind });
  }
  return homes;
}

} // namespace jujubehead::core
