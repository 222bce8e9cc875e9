#ifndef JUJUBEHEAD_BENCH_CONTEXT_OFFLINE_BOUND_HPP
#define JUJUBEHEAD_BENCH_CONTEXT_OFFLINE_BOUND_HPP

#include "bench/context/figures.hpp"  // for Figures
#include "bench/context/workload.hpp" // for Workload

namespace jujubehead::bench::context {

/// @brief The most that any policy could save: all tiers as one, links free,
/// and the blocks whose next use is furthest evicted first.
/// @return figures of tokens only; no time is modelled.
Figures
OfflineBound(const Hardware& aHardware,
             const Condition& aCondition,
             const Workload& aWorkload);

} // namespace jujubehead::bench::context

#endif // JUJUBEHEAD_BENCH_CONTEXT_OFFLINE_BOUND_HPP
