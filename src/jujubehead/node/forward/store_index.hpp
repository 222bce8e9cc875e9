#ifndef JUJUBEHEAD_NODE_FORWARD_STORE_INDEX_HPP
#define JUJUBEHEAD_NODE_FORWARD_STORE_INDEX_HPP

#include <cstdint>     // for uint64_t
#include <string_view> // for string_view
#include <vector>      // for vector

#include "jujubehead/core/context/prompt.hpp"          // for PromptPart
#include "jujubehead/core/context/store_placement.hpp" // for StorePlacementInput
#include "jujubehead/core/routing/configuration.hpp"   // for DeclaredStore
#include "jujubehead/core/routing/homes.hpp"           // for Homes

#include "forward_state.hpp" // for ForwardState

namespace jujubehead::node {

/// @brief The store that has a part, or else the one that should store it.
struct PartHome
{
  const core::DeclaredStore* store = nullptr; ///< Null: none available.
  bool has_part = false;
};

/// @brief Looks up the stores for the parts of one prompt: those in allowed
/// regions whose data centre has no planned stop. Holds references to its
/// arguments, which must outlive it.
class StoreIndex
{
public:
  StoreIndex(const ForwardState& aState,
             std::string_view aScope,
             const core::ServiceId& aService,
             const core::Homes& aHomes);

  /// @return whether a store has all tokens of a part.
  [[nodiscard]] bool HasPart(const core::DeclaredStore& aStore,
                             const core::PromptPart& aPart) const;
  [[nodiscard]] bool HasRoom(const core::DeclaredStore& aStore,
                             const core::PromptPart& aPart) const;
  /// @param aDataCentre where the part would be written from.
  [[nodiscard]] PartHome FindHome(const core::PromptPart& aPart,
                                  const core::DataCentreId& aDataCentre) const;
  /// @return the store of a data centre with the shortest read time for a part;
  /// null when there is none.
  [[nodiscard]] const core::DeclaredStore* FastestStore(
    const core::PromptPart& aPart,
    const core::DataCentreId& aDataCentre) const;
  /// @return how long a transfer of a part to or from a data centre occupies
  /// the store's link.
  [[nodiscard]] core::Duration LinkTime(
    const core::DeclaredStore& aStore,
    const core::PromptPart& aPart,
    const core::DataCentreId& aDataCentre) const;

  /// @return the number of stores with the same link rate, including this one.
  [[nodiscard]] std::size_t CountWithSameLink(
    const core::DeclaredStore& aStore) const;
  static core::LinkRate LinkRateOf(const core::DeclaredStore& aStore);

private:
  [[nodiscard]] core::TransferSize TransferSizeOf(const core::PromptPart& aPart,
                                                  bool aIsFar) const;

  const ForwardState& m_state;
  std::vector<const core::DeclaredStore*> m_stores;
  std::vector<core::StorePlacementInput> m_facts;
  std::string_view m_scope;
  std::uint64_t m_token_bytes = 0;
  core::Instant m_now;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_STORE_INDEX_HPP
