#include "jujubehead/core/context/store_placement.hpp"

#include <algorithm> // for find_if, min, sort

#include "jujubehead/core/routing/placement.hpp" // for WeightedScore

namespace jujubehead::core {
namespace {

/// More homes would only be tried while all of these are full or unreachable.
constexpr std::size_t kMaxHomes = 8;

struct RankedStore
{
  std::size_t index = 0;
  bool is_suitable = false;
  Duration base_latency{};
  double score = 0;
};

/// Whether one kind of store is preferred to the other, hashes aside.
bool
IsBetterKind(const RankedStore& aOne, const RankedStore& aOther)
{
  if (aOne.is_suitable != aOther.is_suitable) {
    return aOne.is_suitable;
  }
  return aOne.is_suitable ? aOne.base_latency > aOther.base_latency
                          : aOne.base_latency < aOther.base_latency;
}

bool
IsSameKind(const RankedStore& aOne, const RankedStore& aOther)
{
  return !IsBetterKind(aOne, aOther) && !IsBetterKind(aOther, aOne);
}

} // namespace

std::vector<StoreHome>
SelectHomeStores(std::uint64_t aPart,
                 const TransferSize& aSize,
                 std::span<const StorePlacementInput> aStores)
{
  // The best store of each kind and data centre; their number stays small.
  std::vector<RankedStore> best;
  for (std::size_t i = 0; i < aStores.size(); ++i) {
    const StorePlacementInput& store = aStores[i];
    RankedStore rank;
    rank.index = i;
    rank.base_latency = store.rate.base_latency;
    rank.is_suitable = store.rate.base_latency <= LinkTime(aSize, store.rate);
    rank.score = WeightedScore(aPart, store.name_hash, store.capacity_tokens);
    const auto rival =
      std::find_if(best.begin(), best.end(), [&](const RankedStore& aOther) {
        return IsSameKind(aOther, rank) &&
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
              return IsSameKind(aOne, aOther) ? aOne.score > aOther.score
                                              : IsBetterKind(aOne, aOther);
            });
  best.resize(std::min(best.size(), kMaxHomes));
  std::vector<StoreHome> homes;
  std::size_t kind = 0;
  for (std::size_t i = 0; i < best.size(); ++i) {
    kind += i > 0 && !IsSameKind(best[i - 1], best[i]) ? 1 : 0;
    homes.push_back({ best[i].index, kind });
  }
  return homes;
}

} // namespace jujubehead::core
