#include <algorithm> // for min
#include <cstdio>    // for printf
#include <thread>    // for jthread

#include <gflags/gflags.h> // for DEFINE_uint64

#include "bench/benches.hpp"               // for RunContext
#include "bench/context/offline_bound.hpp" // for OfflineBound
#include "bench/context/world.hpp"         // for World

DEFINE_uint64(context_seed, 20261202, "seed of the context bench's workload");

namespace jujubehead::bench {
namespace {

constexpr Duration kWarmUp = std::chrono::hours(2);
constexpr Duration kMeasured = std::chrono::hours(6);

struct PolicyFigures
{
  const char* name;
  Figures figures;
};

struct Cell
{
  const Deployment* deployment;
  const Condition* condition;
  double working_set_blocks = 0;
  std::vector<PolicyFigures> policies;
};

void
Measure(Cell& aCell, const Hardware& aHardware)
{
  const Workload workload = MakeWorkload(*aCell.deployment,
                                         aHardware,
                                         aCell.condition->load,
                                         kWarmUp,
                                         kMeasured,
                                         FLAGS_context_seed);
  aCell.working_set_blocks = workload.working_set_blocks;
  const auto run = [&](const char* aName, Policy aPolicy) {
    World world(aHardware,
                *aCell.deployment,
                *aCell.condition,
                workload,
                aPolicy,
                FLAGS_context_seed);
    aCell.policies.push_back({ aName, world.Run() });
  };
  run("random", RandomPolicy());
  run("affinity", AffinityPolicy());
  run("export_all", ExportAllPolicy());
  run("jujubehead", KeepingPolicy(aHardware));
  aCell.policies.push_back(
    { "offline", OfflineBound(aHardware, *aCell.condition, workload) });
}

void
Print(const Cell& aCell)
{
  const Hardware hardware;
  std::printf("%s %s: working set %.1f times accelerator memory\n",
              aCell.deployment->name.c_str(),
              aCell.condition->name.c_str(),
              aCell.working_set_blocks /
                static_cast<double>(hardware.targets * hardware.target_blocks));
  for (const auto& [name, figures] : aCell.policies) {
    std::printf(
      "  %-11s ttft_s p50=%.2f p95=%.2f p99=%.2f recomputed=%.4f "
      "link_tb=%.2f export_tb=%.2f imports=%lu failed=%lu "
      "hints=%lu true=%.3f busy=%.2f\n",
      name,
      figures.FirstToken(0.5),
      figures.FirstToken(0.95),
      figures.FirstToken(0.99),
      figures.RecomputedShare(),
      figures.link_bytes / 1e12,
      figures.export_bytes / 1e12,
      figures.imports,
      figures.failed_imports,
      figures.hints,
      figures.hints == 0 ? 0.0
                         : static_cast<double>(figures.true_hints) /
                             static_cast<double>(figures.hints),
      figures.target_seconds /
        (ToSeconds(kMeasured) * static_cast<double>(hardware.targets)));
  }
}

} // namespace

int
RunContext()
{
  const Hardware hardware;
  const auto deployments = Deployments();
  const auto conditions = Conditions();
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
  return 0;
}

} // namespace jujubehead::bench
