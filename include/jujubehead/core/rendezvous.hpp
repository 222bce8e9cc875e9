#ifndef JUJUBEHEAD_CORE_RENDEZVOUS_HPP
#define JUJUBEHEAD_CORE_RENDEZVOUS_HPP

#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <optional>    // for optional
#include <span>        // for span
#include <string_view> // for string_view
#include <vector>      // for vector

#include "jujubehead/core/context_key.hpp" // for ContextKey
#include "jujubehead/core/ids.hpp"         // for InstanceId

namespace jujubehead::core {

/// @brief Rendezvous (highest random weight) hashing: each instance gets a
/// weight for the key, the highest wins. A member that comes or goes moves
/// only the keys that it gains or had.
/// @param aInstances the live members, in any order.
/// @return the key's home; nothing when there are no members.
std::optional<InstanceId>
HomeOf(const ContextKey& aKey, std::span<const InstanceId> aInstances);

/// @return at most aCount members by falling weight for the key; the first is
/// its home, the others would follow it.
std::vector<InstanceId>
HomesOf(const ContextKey& aKey,
        std::span<const InstanceId> aInstances,
        std::size_t aCount);

/// @brief As above, for keys that are names.
std::vector<InstanceId>
HomesOf(std::string_view aKey,
        std::span<const InstanceId> aInstances,
        std::size_t aCount);

namespace detail {

/// @return the hash of a name; the same on every machine.
std::uint64_t
HashName(std::string_view aName);

/// @return the weight of a member for a key; the same on every machine.
std::uint64_t
RendezvousWeight(const ContextKey& aKey, std::string_view aName);

} // namespace detail
} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_RENDEZVOUS_HPP
