#ifndef JUJUBEHEAD_CORE_OVERLOAD_CAPACITY_HPP
#define JUJUBEHEAD_CORE_OVERLOAD_CAPACITY_HPP

#include <cstddef> // for size_t

namespace jujubehead::core {

/// @brief What the machine grants to one instance.
struct MachineLimits
{
  std::size_t memory_bytes = 0;
  std::size_t descriptors = 0; ///< Files and sockets open at once.
};

/// @brief How much of it is for whom. The shares leave room for what a process
/// holds at rest and for the allocator.
struct Capacity
{
  std::size_t traffic_bytes = 0; ///< Of requests and replies, together.
  std::size_t control_bytes = 0; ///< The same, of other instances' calls.
  std::size_t callers = 0;       ///< Their connections.
  std::size_t instances = 0;     ///< Connections of other instances.
  std::size_t probes = 0; ///< Connections to each page for health or metrics.
};

/// Memory of a connection between two requests.
inline constexpr std::size_t kConnectionBytes = 8UL * 1024;
/// The same with TLS, whose buffers are kept.
inline constexpr std::size_t kTlsConnectionBytes = 64UL * 1024;

/// @param aConnectionBytes memory of a caller's connection at rest.
[[nodiscard]] Capacity
CapacityOf(const MachineLimits& aLimits,
           std::size_t aConnectionBytes = kConnectionBytes);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_OVERLOAD_CAPACITY_HPP
