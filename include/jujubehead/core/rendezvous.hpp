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
/// weight for the key, the highest wins. A member that joins or leaves moves
/// only its own keys.
/// @param aInstances the live members, in any order.
/// @return the member with the highest weight; nullopt if there are no members.
std::optional<InstanceId>
RendezvousOwner(const ContextKey& aKey, std::span<const InstanceId> aInstances);

/// @return at most aCount members by descending weight for the key: the owner
/// of the key first, then its successors.
std::vector<InstanceId>
RankByRendezvous(const ContextKey& aKey,
                 std::span<const InstanceId> aInstances,
                 std::size_t aCount);

/// @brief As above, for a key given as a string.
std::vector<InstanceId>
RankByRendezvous(std::string_view aKey,
                 std::span<const InstanceId> aInstances,
                 std::size_t aCount);

namespace detail {

/// @return the hash of a name; identical on every machine.
std::uint64_t
HashName(std::string_view aName);

/// @return the weight of a member for a key; identical on every machine.
std::uint64_t
RendezvousWeight(const ContextKey& aKey, std::string_view aName);

} // namespace detail
} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_RENDEZVOUS_HPP
