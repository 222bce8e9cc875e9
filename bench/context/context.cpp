#include <chrono>    // for hours
#include <stdexcept> // for invalid_argument
#include <thread>    // for jthread

#include <gflags/gflags.h> // for DEFINE_uint64

#include "bench/benches.hpp"               // for RunContext
#include "bench/context/offline_bound.hpp" // for OfflineBound
#include "bench/context/report.hpp"        // for Print
#include "bench/context/world.hpp"         // for World

DEFINE_uint64(context_seed, 20261202, "seed of the context bench's workload");

DEFINE_string(context_condition, "", "only this condition; empty: all four");

namespace jujubehead::bench {
namespace {

constexpr Duration kWarmUp = std::chrono::hours(10);
constexpr Duration kMeasured = std::chrono::hours(6);

void
Measure(Cell& aCell, const Hardware& aHardware)
{
  const Workload workload = MakeWorkload(*aCell.deployment,
                                         aHardware,
                                         aCell.condition->load,
                                         kWarmUp,
                                         kMeasured,
                                         FLAGS_context_seed);
  aCell.working_set =
    workload.working_set_blocks /
    static_cast<double>(aHardware.targets * aHardware.target_blocks);
  const auto run = [&](Policy aPolicy) {
    World world(aHardware,
                *aCell.deployment,
                *aCell.condition,
                workload,
                aPolicy,
                FLAGS_context_seed);
    aCell.policies.push_back(world.Run());
  };
  run(RandomPolicy());
  run(AffinityPolicy());
  run(ExportAllPolicy());
  run(KeepingPolicy(aHardware));
  aCell.policies.push_back(OfflineBound(aHardware, *aCell.condition, workload));
}

} // namespace

int
RunContext()
{
  const Hardware hardware;
  const auto deployments = Deployments();
  auto conditions = Conditions();
  std::erase_if(conditions, [](const Condition& aCondition) {
    return !FLAGS_context_condition.empty() &&
           aCondition.name != FLAGS_context_condition;
  });
  if (conditions.empty()) {
    throw std::invalid_argument("--context_condition: none has that name");
  }
  std::vector<Cell> cells;
  for (const Deployment& deployment : deployments) {
    for (const Condition& condition : conditions) {
      cells.push_back({ &deployment, &condition, 0, {} });
    }
  }
  {
    std::vector<std::jthread> threads;
    for (Cell& cell : cells) {
      threads.emplace_back([&cell, &hardware] { Measure(cell, hardware); });
    }
  }
  for (const Cell& cell : cells) {
    Print(cell);
  }
  PrintSummary(cells.front(), cells[conditions.size()]);
  return 0;
}

} // namespace jujubehead::bench
