#ifndef JUJUBEHEAD_CORE_CONTEXT_STORE_HOMES_HPP
#define JUJUBEHEAD_CORE_CONTEXT_STORE_HOMES_HPP

#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <span>        // for span
#include <string_view> // for string_view
#include <vector>      // for vector

#include "jujubehead/core/context/store_link.hpp" // for LinkRate, TransferSize

namespace jujubehead::core {

/// @brief What the choice of a part's store weighs of one store.
struct StoreFacts
{
  std::uint64_t name_hash = 0; ///< Of the store's id; see PlacementHash().
  std::string_view data_centre;
  double capacity_tokens = 0;
  LinkRate rate;
};

/// @brief A store in which a part may lie.
struct StoreHome
{
  std::size_t index = 0; ///< Of the store.
  std::size_t kind = 0;  ///< The same for stores that are alike; 0 suits best.
};

/// @brief Finds the stores in which a part may lie, in the order in which it is
/// kept there. Instances agree on them without asking each other.
///
/// A store suits a part whose bytes take longer than what the store adds to
/// each transfer. Of those that suit, the slowest to begin goes first: long
/// parts leave the room of quick stores to short ones, which would spend most
/// of their time in a slow store on its beginning. Among equal stores a part
/// has one home in each data centre, by hash and capacity: so it can be kept
/// near the target that has it, and is still found by few look-ups.
/// @param aPart the hash of the part's id.
/// @return a few homes, those of the best kind first.
std::vector<StoreHome>
StoreHomes(std::uint64_t aPart,
           const TransferSize& aSize,
           std::span<const StoreFacts> aStores);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_CONTEXT_STORE_HOMES_HPP
