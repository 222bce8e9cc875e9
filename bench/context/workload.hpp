#ifndef JUJUBEHEAD_BENCH_CONTEXT_WORKLOAD_HPP
#define JUJUBEHEAD_BENCH_CONTEXT_WORKLOAD_HPP

#include <cstddef> // for size_t
#include <cstdint> // for uint32_t, uint64_t
#include <vector>  // for vector

#include "bench/context/deployment.hpp"    // for Deployment
#include "jujubehead/core/context_key.hpp" // for ContextKey

namespace jujubehead::bench::context {

/// @brief One prompt of one context.
struct Request
{
  Instant at;
  std::uint32_t context = 0;
  std::uint32_t account = 0;
  std::uint32_t blocks = 0;
  std::uint32_t seen_blocks = 0; ///< Blocks that an earlier request had.
  bool measured = false;         ///< After the warm-up.
  Instant next;                  ///< Next use of the context, or kNever.
};

inline constexpr Instant kNever = Instant::max();

/// @brief All prompts of one run, the same for every policy.
struct Workload
{
  std::vector<Request> requests;                   ///< In order of time.
  std::vector<std::vector<core::ContextKey>> keys; ///< By context.
  Instant measured_from;
  Instant end;
  /// Halfway through the measured time, when a store may die.
  [[nodiscard]] Instant Halfway() const
  {
    return measured_from + (end - measured_from) / 2;
  }
  double working_set_blocks = 0; ///< Mean of contexts that will return.
};

/// @return the workload of a deployment under a load; the same for one seed.
Workload
MakeWorkload(const Deployment& aDeployment,
             const Hardware& aHardware,
             double aLoad,
             Duration aWarmUp,
             Duration aMeasured,
             std::uint64_t aSeed);

} // namespace jujubehead::bench::context

#endif // JUJUBEHEAD_BENCH_CONTEXT_WORKLOAD_HPP
