#ifndef JUJUBEHEAD_BENCH_CONTEXT_POLICIES_HPP
#define JUJUBEHEAD_BENCH_CONTEXT_POLICIES_HPP

#include <cstddef>  // for size_t
#include <cstdint>  // for uint32_t
#include <optional> // for optional
#include <variant>  // for variant
#include <vector>   // for vector

#include "bench/context/keeping_policy.hpp" // for KeepingPolicy
#include "bench/context/placement.hpp"      // for Placement

namespace jujubehead::bench::context {

/// @brief (a): any target, no store.
class RandomPolicy : public PolicyBase
{
public:
  Placement Route(World& aWorld, const Request& aRequest);
};

/// @brief (b): the target that the context hashes to, no store.
class AffinityPolicy : public PolicyBase
{
public:
  Placement Route(World& aWorld, const Request& aRequest);
};

/// @brief (c): the target with the least work; everything is exported, stores
/// evict what was unused for longest, and whatever a store has is imported
/// unless its link's queue makes that slower than computing.
class ExportAllPolicy : public PolicyBase
{
public:
  Placement Route(World& aWorld, const Request& aRequest);
  void OnRan(World& aWorld, const Request& aRequest, std::size_t aTarget);
  bool MakeRoom(World& aWorld,
                std::size_t aStore,
                std::uint32_t aContext,
                std::uint32_t aBlocks);
  void FitMemory(World& aWorld, std::size_t aStore);
};

using Policy =
  std::variant<RandomPolicy, AffinityPolicy, ExportAllPolicy, KeepingPolicy>;

} // namespace jujubehead::bench::context

#endif // JUJUBEHEAD_BENCH_CONTEXT_POLICIES_HPP
