#ifndef JUJUBEHEAD_CORE_SPARSE_DEPTHS_HPP
#define JUJUBEHEAD_CORE_SPARSE_DEPTHS_HPP

#include <cstdint> // for uint32_t
#include <span>    // for span
#include <vector>  // for vector

#include "jujubehead/core/context_key.hpp" // for ContextKey

namespace jujubehead::core {

/// @brief The prefix lengths, in blocks, at which instances tell each other
/// where a context lies: 1, 2, 3, ... and then each about a quarter longer.
///
/// A context of n blocks is told by about 4 log2(n) keys in place of n, and a
/// holder's prefix is understated by at most a fifth. All instances use the
/// same lengths, so that keys told by one are found by another.
/// @return the lengths up to `aBlocks`, rising.
std::vector<std::uint32_t>
SparseDepths(std::uint32_t aBlocks);

/// @return the keys of a chain at its sparse depths.
std::vector<ContextKey>
SparseKeys(std::span<const ContextKey> aChain);

/// @return the prefix length in blocks that the first `aKeys` of the sparse
/// keys stand for; 0 for none.
std::uint32_t
BlocksOfSparse(std::uint32_t aKeys);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_SPARSE_DEPTHS_HPP
