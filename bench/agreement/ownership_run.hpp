#ifndef JUJUBEHEAD_BENCH_AGREEMENT_OWNERSHIP_RUN_HPP
#define JUJUBEHEAD_BENCH_AGREEMENT_OWNERSHIP_RUN_HPP

#include <cstdint> // for uint32_t, uint64_t
#include <vector>  // for vector

namespace jujubehead::bench {

/// @brief What ownership costs at rest, at some size.
struct SteadyFigures
{
  double writes_per_second = 0;
  double reads_per_second = 0;
  double bytes_per_second_per_node = 0;
  double memory_mb_per_node = 0; ///< Of the world, so also of the fakes.
  std::uint64_t overshoot = 0;
};

SteadyFigures
RunSteady(std::uint32_t aInstances, std::uint64_t aSeed);

/// @return the memory of a table of so many accounts, in MB.
double
TableMemoryMb(std::uint32_t aAccounts);

/// @brief How long groups of an instance that died went without a place that
/// could be granted.
struct TakeoverFigures
{
  std::vector<double> seconds; ///< One a group.
  std::uint64_t overshoot = 0;
};

TakeoverFigures
RunTakeover(std::uint32_t aInstances, std::uint64_t aSeed);

/// @brief A data centre's instances die and start again at once.
struct RestartFigures
{
  double peak_writes = 0;        ///< Items a second, over the busiest 10 s.
  double peak_reads = 0;         ///< As well.
  double peak_writes_in_one = 0; ///< Items in the busiest single second.
  double writes = 0;             ///< Until all groups are back at their places.
  std::uint64_t overshoot = 0;
};

RestartFigures
RunRestart(std::uint32_t aInstances, std::uint64_t aSeed);

/// @brief An hour without the table service, in which one instance dies.
struct OutageFigures
{
  double served_share = 0; ///< Of all targets' places.
  std::uint64_t overshoot = 0;
};

OutageFigures
RunOutage(std::uint32_t aInstances, std::uint64_t aSeed);

} // namespace jujubehead::bench

#endif // JUJUBEHEAD_BENCH_AGREEMENT_OWNERSHIP_RUN_HPP
