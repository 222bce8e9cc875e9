#ifndef JUJUBEHEAD_CORE_SPARSE_DEPTHS_HPP
#define JUJUBEHEAD_CORE_SPARSE_DEPTHS_HPP

#include <cstdint> // for uint32_t
#include <span>    // for span
#include <vector>  // for vector

#include "jujubehead/core/context_key.hpp" // for ContextKey

namespace jujubehead::core {

/// @brief The prefix lengths, in blocks, whose keys instances exchange to
/// locate a context: 1, 2, 3, ... and then each about a quarter longer.
///
/// A context of n blocks takes about 4 log2(n) keys in place of n, and a
/// holder's prefix is understated by at most a fifth. All instances use the
/// same lengths, so that keys published by one are found by another.
/// @return the lengths up to `aBlocks`, ascending.
std::vector<std::uint32_t>
SparseDepths(std::uint32_t aBlocks);

/// @return the keys of a chain at its sparse depths.
std::vector<ContextKey>
SparseKeys(std::span<const ContextKey> aChain);

/// @return the prefix length, in blocks, of the first `aKeys` sparse keys; 0
/// for none.
std::uint32_t
SparseDepthAt(std::uint32_t aKeys);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_SPARSE_DEPTHS_HPP
