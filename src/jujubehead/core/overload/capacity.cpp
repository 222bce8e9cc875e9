#include "jujubehead/core/overload/capacity.hpp"

#include <algorithm> // for max, min

namespace jujubehead::core {
namespace {

constexpr double kTrafficShare = 0.4;
constexpr double kControlShare = 0.06;
constexpr double kConnectionShare = 0.1;
/// Descriptors for files and the process itself, as far as there are so many.
constexpr std::size_t kReservedDescriptors = 200;
/// Each request has a connection to its target, so that callers and targets
/// have the same share.
constexpr double kCallerShare = 0.3;
constexpr double kInstanceShare = 0.25;
constexpr double kProbeShare = 0.015;
constexpr std::size_t kMinConnections = 8;

std::size_t
ShareOf(std::size_t aAll, double aShare)
{
  return static_cast<std::size_t>(static_cast<double>(aAll) * aShare);
}

} // namespace

Capacity
CapacityOf(const MachineLimits& aLimits, std::size_t aConnectionBytes)
{
  const std::size_t memory = aLimits.memory_bytes;
  const std::size_t descriptors =
    aLimits.descriptors -
    std::min(kReservedDescriptors, aLimits.descriptors / 4);
  const auto connections = [&](double aShare) {
    return std::max(kMinConnections, ShareOf(descriptors, aShare));
  };
  Capacity capacity;
  capacity.traffic_bytes = ShareOf(memory, kTrafficShare);
  capacity.control_bytes = ShareOf(memory, kControlShare);
  capacity.callers =
    std::max(kMinConnections,
             std::min(connections(kCallerShare),
                      ShareOf(memory, kConnectionShare) / aConnectionBytes));
  capacity.instances = connections(kInstanceShare);
  capacity.probes = connections(kProbeShare);
  return capacity;
}

} // namespace jujubehead::core
