#ifndef JUJUBEHEAD_CORE_CONTEXT_STORE_PLACEMENT_HPP
#define JUJUBEHEAD_CORE_CONTEXT_STORE_PLACEMENT_HPP

#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <span>        // for span
#include <string_view> // for string_view
#include <vector>      // for vector

#include "jujubehead/core/context/store_link.hpp" // for LinkRate, TransferSize

namespace jujubehead::core {

/// @brief Properties of a store that decide which parts it holds.
struct StorePlacementInput
{
  std::uint64_t name_hash = 0; ///< Of the store's id; see PlacementHash().
  std::string_view data_centre;
  double capacity_tokens = 0;
  LinkRate rate;
};

/// @brief A store that may hold a part.
struct StoreHome
{
  std::size_t index = 0; ///< Of the store.
  std::size_t kind = 0;  ///< Equal for equivalent stores; 0 is preferred.
};

/// @brief Finds the stores that may hold a part, in order of preference.
/// Instances compute the same stores without communicating.
///
/// A store is suitable if the part's bytes take longer to transfer than the
/// store's fixed latency. Of the suitable stores, the one with the highest
/// latency goes first: long parts leave the capacity of low-latency stores to
/// short ones, whose transfer from a slow store would be mostly latency. Among
/// equivalent stores a part has one home in each data centre, by weighted
/// rendezvous hashing: so it can be stored near the target that has it, and is
/// still found by few look-ups.
/// @param aPart hash of the part's id.
/// @return a few homes, those of the preferred kind first.
std::vector<StoreHome>
SelectHomeStores(std::uint64_t aPart,
                 const TransferSize& aSize,
                 std::span<const StorePlacementInput> aStores);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_CONTEXT_STORE_PLACEMENT_HPP
