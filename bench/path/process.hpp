#ifndef JUJUBEHEAD_BENCH_PATH_PROCESS_HPP
#define JUJUBEHEAD_BENCH_PATH_PROCESS_HPP

namespace jujubehead::bench {

/// @return resident memory of a process in KiB.
/// @throws std::runtime_error when there is no such process.
[[nodiscard]] double
ResidentKib(int aPid);

/// @return processor time that a process has used, in seconds.
/// @throws std::runtime_error when there is no such process.
[[nodiscard]] double
ProcessorSeconds(int aPid);

} // namespace jujubehead::bench

#endif // JUJUBEHEAD_BENCH_PATH_PROCESS_HPP
