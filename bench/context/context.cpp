#include <atomic>    // for atomic
#include <chrono>    // for hours
#include <stdexcept> // for invalid_argument
#include <thread>    // for jthread

#include <gflags/gflags.h> // for DEFINE_uint64

#include "bench/benches.hpp"               // for RunContext
#include "bench/context/offline_bound.hpp" // for OfflineBound
#include "bench/context/plots.hpp"         // for WritePlots
#include "bench/context/report.hpp"        // for Print
#include "bench/context/world.hpp"         // for World

DEFINE_uint64(context_seed, 20261202, "seed of the context bench's workload");

DEFINE_string(context_condition, "", "only this condition; empty: all four");

DEFINE_string(context_plots, "", "write plots to this directory; empty: none");

namespace jujubehead::bench::context {
namespace {

constexpr int kThreads = 6;
constexpr Duration kWarmUp = std::chrono::hours(10);
constexpr Duration kMeasured = std::chrono::hours(6);

Workload
WorkloadOf(const Cell& aCell, const Hardware& aHardware)
{
  return MakeWorkload(*aCell.deployment,
                      aHardware,
                      aCell.condition->load,
                      kWarmUp,
                      kMeasured,
                      FLAGS_context_seed);
}

Figures
RunPolicy(const Cell& aCell,
          const Hardware& aHardware,
          const Workload& aWorkload,
          Policy aPolicy)
{
  World world(aHardware,
              *aCell.deployment,
              *aCell.condition,
              aWorkload,
              aPolicy,
              FLAGS_context_seed);
  return world.Run();
}

void
MeasureAll(Cell& aCell, const Hardware& aHardware)
{
  const Workload workload = WorkloadOf(aCell, aHardware);
  aCell.working_set =
    workload.working_set_blocks /
    static_cast<double>(aHardware.targets * aHardware.target_blocks);
  const auto run = [&](Policy aPolicy) {
    aCell.policies.push_back(
      RunPolicy(aCell, aHardware, workload, std::move(aPolicy)));
  };
  run(RandomPolicy());
  run(AffinityPolicy());
  run(ExportAllPolicy());
  run(KeepingPolicy(aHardware));
  aCell.policies.push_back(OfflineBound(aHardware, *aCell.condition, workload));
}

void
MeasureProbe(Cell& aCell, const Hardware& aHardware)
{
  const Workload workload = WorkloadOf(aCell, aHardware);
  aCell.policies.push_back(
    RunPolicy(aCell, aHardware, workload, KeepingPolicy(aHardware)));
}

/// Each cell is a run of its own, so they may go on at the same time.
void
MeasureEach(std::vector<Cell>& aCells,
            void (*aMeasure)(Cell&, const Hardware&),
            const Hardware& aHardware)
{
  std::atomic<std::size_t> next = 0;
  std::vector<std::jthread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (std::size_t cell = next++; cell < aCells.size(); cell = next++) {
        aMeasure(aCells[cell], aHardware);
      }
    });
  }
}

std::vector<Cell>
CellsOf(const std::vector<Deployment>& aDeployments,
        const std::vector<Condition>& aConditions)
{
  std::vector<Cell> cells;
  for (const Deployment& deployment : aDeployments) {
    for (const Condition& condition : aConditions) {
      cells.push_back({ &deployment, &condition, 0, {} });
    }
  }
  return cells;
}

std::vector<Condition>
ChosenConditions()
{
  auto conditions = Conditions();
  std::erase_if(conditions, [](const Condition& aCondition) {
    return !FLAGS_context_condition.empty() &&
           aCondition.name != FLAGS_context_condition;
  });
  if (conditions.empty()) {
    throw std::invalid_argument("--context_condition: none has that name");
  }
  return conditions;
}

} // namespace

} // namespace jujubehead::bench::context

namespace jujubehead::bench {

int
RunContext()
{
  using namespace context;
  const Hardware hardware;
  const auto deployments = Deployments();
  const auto conditions = ChosenConditions();
  const auto probes = Probes();
  auto cells = CellsOf(deployments, conditions);
  MeasureEach(cells, MeasureAll, hardware);
  for (const Cell& cell : cells) {
    Print(cell);
  }
  if (FLAGS_context_condition.empty()) {
    auto probed = CellsOf(deployments, probes);
    MeasureEach(probed, MeasureProbe, hardware);
    for (const Cell& cell : probed) {
      PrintProbe(*cell.deployment, *cell.condition, cell.policies.front());
    }
  }
  if (!FLAGS_context_plots.empty()) {
    WritePlots(cells, FLAGS_context_plots);
  }
  PrintSummary(cells.front(), cells[conditions.size()]);
  return 0;
}

} // namespace jujubehead::bench
