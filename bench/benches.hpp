#ifndef JUJUBEHEAD_BENCH_BENCHES_HPP
#define JUJUBEHEAD_BENCH_BENCHES_HPP

namespace jujubehead::bench {

// Each bench has read its gflags already, prints its figures to stdout, the
// summary as the last line, and returns the exit status.

/// @brief One hop through the instances, over real processes; bench/path/run
/// starts them.
int
RunPathBench();

/// @brief How table changes come in force at many instances, on simulated
/// time: the same code as `serve` over a table service in memory.
int
RunTableBench();

/// @brief The net layer's streaming path in one process: a target, a relay and
/// callers over loopback, each on a thread.
int
RunStreamsBench();

/// @brief Returning context: policies over fakes of targets, links and stores.
int
RunContext();

/// @brief Ownership, limits, the table and claims, without a coordination
/// service; see docs/design/0040-ownership.md.
int
RunAgreement();

/// @brief The time that one prompt's decision takes: its target, and where its
/// parts are read from and kept; at three sizes, in one thread.
int
RunPlacementBench();

} // namespace jujubehead::bench

#endif // JUJUBEHEAD_BENCH_BENCHES_HPP
