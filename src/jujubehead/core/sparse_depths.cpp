#include "jujubehead/core/sparse_depths.hpp"

#include <algorithm> // for max

namespace jujubehead::core {
namespace {

constexpr std::uint32_t kGrowthDivisor = 4;

std::uint32_t
NextDepth(std::uint32_t aDepth)
{
  return aDepth + std::max<std::uint32_t>(1, aDepth / kGrowthDivisor);
}

} // namespace

std::vector<std::uint32_t>
SparseDepths(std::uint32_t aBlocks)
{
  std::vector<std::uint32_t> depths;
  for (std::uint32_t depth = 1; depth <= aBlocks; depth = NextDepth(depth)) {
    depths.push_back(depth);
  }
  return depths;
}

std::vector<ContextKey>
SparseKeys(std::span<const ContextKey> aChain)
{
  std::vector<ContextKey> keys;
  const auto blocks = static_cast<std::uint32_t>(aChain.size());
  for (const std::uint32_t depth : SparseDepths(blocks)) {
    keys.push_back(aChain[depth - 1]);
  }
  return keys;
}

std::uint32_t
SparseDepthAt(std::uint32_t aKeys)
{
  std::uint32_t depth = aKeys == 0 ? 0 : 1;
  for (std::uint32_t key = 1; key < aKeys; ++key) {
    depth = NextDepth(depth);
  }
  return depth;
}

} // namespace jujubehead::core
