#ifndef JUJUBEHEAD_NODE_OWNER_MAP_HPP
#define JUJUBEHEAD_NODE_OWNER_MAP_HPP

#include <cstdint>  // for uint64_t
#include <optional> // for optional

#include "jujubehead/core/ids.hpp" // for InstanceId, TargetId

namespace jujubehead::node {

/// @brief Whom to ask for a permit of a target, or for a store's link.
class OwnerMap
{
public:
  virtual ~OwnerMap() = default;
  /// @return the owner as far as this instance knows; nothing when unknown.
  [[nodiscard]] virtual std::optional<core::InstanceId> OwnerOf(
    const core::TargetId& aTarget) const = 0;
  [[nodiscard]] virtual std::optional<core::InstanceId> OwnerOf(
    const core::StoreId& aStore) const = 0;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_OWNER_MAP_HPP
