#ifndef JUJUBEHEAD_NODE_MACHINE_LIMITS_HPP
#define JUJUBEHEAD_NODE_MACHINE_LIMITS_HPP

#include "jujubehead/core/overload/capacity.hpp" // for MachineLimits

namespace jujubehead::node {

/// @return the memory and descriptors that the system grants to this process.
[[nodiscard]] core::MachineLimits
ReadMachineLimits();

/// @brief Makes the allocator return large blocks to the system when they are
/// freed. By default it keeps them once the first one was freed.
void
ReturnLargeBlocks();

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_MACHINE_LIMITS_HPP
