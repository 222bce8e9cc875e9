#include "jujubehead/node/machine_limits.hpp"

#include <algorithm> // for min
#include <limits>    // for numeric_limits

#include <malloc.h>       // for mallopt
#include <sys/resource.h> // for getrlimit
#include <unistd.h>       // for sysconf

namespace jujubehead::node {
namespace {

/// The allocator's own default, which otherwise grows.
constexpr int kLargeBlockBytes = 128 * 1024;

std::size_t
SoftLimit(__rlimit_resource aResource)
{
  rlimit limit{};
  if (::getrlimit(aResource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
    return std::numeric_limits<std::size_t>::max();
  }
  return limit.rlim_cur;
}

} // namespace

core::MachineLimits
ReadMachineLimits()
{
  const auto pages = static_cast<std::size_t>(::sysconf(_SC_PHYS_PAGES));
  const auto page_bytes = static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  core::MachineLimits limits;
  limits.memory_bytes = std::min(pages * page_bytes, SoftLimit(RLIMIT_AS));
  limits.descriptors = SoftLimit(RLIMIT_NOFILE);
  return limits;
}

void
ReturnLargeBlocks()
{
  (void)::mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
}

} // namespace jujubehead::node
