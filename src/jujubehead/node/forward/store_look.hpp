#ifndef JUJUBEHEAD_NODE_FORWARD_STORE_LOOK_HPP
#define JUJUBEHEAD_NODE_FORWARD_STORE_LOOK_HPP

#include <cstdint>     // for uint64_t
#include <string_view> // for string_view
#include <vector>      // for vector

#include "jujubehead/core/context/prompt.hpp"        // for PromptPart
#include "jujubehead/core/context/store_homes.hpp"   // for StoreFacts
#include "jujubehead/core/routing/configuration.hpp" // for DeclaredStore

#include "forward_state.hpp" // for ForwardState

namespace jujubehead::node {

/// @brief The store that has a part, or the one that is to keep it.
struct PartHome
{
  const core::DeclaredStore* store = nullptr; ///< Null: none is there.
  bool has_part = false;
};

/// @brief One look at the stores, for the parts of one prompt. What it refers
/// to must outlive it.
class StoreLook
{
public:
  StoreLook(const ForwardState& aState,
            std::string_view aScope,
            const core::ServiceId& aService);

  /// @return whether a store has all of a part.
  [[nodiscard]] bool Has(const core::DeclaredStore& aStore,
                         const core::PromptPart& aPart) const;
  [[nodiscard]] bool HasRoom(const core::DeclaredStore& aStore,
                             const core::PromptPart& aPart) const;
  /// @param aDataCentre where the part would come from, if no store has it.
  [[nodiscard]] PartHome Home(const core::PromptPart& aPart,
                              const core::DataCentreId& aDataCentre) const;
  /// @return the store from which a part comes soonest within a data centre;
  /// null when there is none.
  [[nodiscard]] const core::DeclaredStore* Quickest(
    const core::PromptPart& aPart,
    const core::DataCentreId& aDataCentre) const;
  /// @return for how long a part keeps a store's link busy, to or from a data
  /// centre.
  [[nodiscard]] core::Duration LinkTime(
    const core::DeclaredStore& aStore,
    const core::PromptPart& aPart,
    const core::DataCentreId& aDataCentre) const;

  /// @return the number of stores with such a link, this one included.
  [[nodiscard]] std::size_t Alike(const core::DeclaredStore& aStore) const;
  static core::LinkRate RateOf(const core::DeclaredStore& aStore);

private:
  [[nodiscard]] core::TransferSize SizeOf(const core::PromptPart& aPart,
                                          bool aIsFar) const;

  const ForwardState& m_state;
  const std::vector<core::DeclaredStore>& m_stores;
  std::vector<core::StoreFacts> m_facts;
  std::string_view m_scope;
  std::uint64_t m_token_bytes = 0;
  core::Instant m_now;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_STORE_LOOK_HPP
