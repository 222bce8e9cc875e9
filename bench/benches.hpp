#ifndef JUJUBEHEAD_BENCH_BENCHES_HPP
#define JUJUBEHEAD_BENCH_BENCHES_HPP

namespace jujubehead::bench {

// Each bench has read its gflags already, prints its figures to stdout, the
// summary as the last line, and returns the exit status.

} // namespace jujubehead::bench

#endif // JUJUBEHEAD_BENCH_BENCHES_HPP
