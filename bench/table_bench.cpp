#include "bench/benches.hpp"

#include <cstdio> // for printf

#include "bench/agreement/table_run.hpp" // for RunTable

namespace jujubehead::bench {
namespace {

constexpr double kInstancesIn2Years = 370;

void
Print(const TableRunOptions& aOptions, const TableRunFigures& aFigures)
{
  std::printf("instances=%zu accounts=%zu accepted=%zu conflicts=%zu "
              "in_force_s p50=%.3f p99=%.3f max=%.3f ready_s_p99=%.3f "
              "ready_in_outage_s_p99=%.3f reads_per_second=%.2f "
              "writes_per_second=%.3f bytes_per_second_per_node=%.0f\n",
              aOptions.instances,
              aOptions.accounts,
              aFigures.accepted,
              aFigures.conflicts,
              aFigures.in_force_s_p50,
              aFigures.in_force_s_p99,
              aFigures.in_force_s_max,
              aFigures.ready_s_p99,
              aFigures.ready_out_s_p99,
              aFigures.reads_per_second,
              aFigures.writes_per_second,
              aFigures.bytes_per_second_per_node);
}

} // namespace

int
RunTableBench()
{
  TableRunFigures last;
  TableRunOptions options;
  std::size_t wrong = 0;
  for (const std::size_t instances : { 4U, 8U, 16U, 32U }) {
    options.instances = instances;
    last = RunTable(options);
    wrong += last.reverts + last.half_applied + last.doubled;
    Print(options, last);
  }
  // Each instance polls by itself, so that reads grow in proportion.
  const double reads_370 = last.reads_per_second * kInstancesIn2Years /
                           static_cast<double>(options.instances);
  std::printf("table in_force_s_p99=%.3f reverts=%zu half_applied=%zu "
              "doubled=%zu service_reads_per_second_370=%.0f "
              "bytes_per_second_per_node=%.0f\n",
              last.in_force_s_p99,
              last.reverts,
              last.half_applied,
              last.doubled,
              reads_370,
              last.bytes_per_second_per_node);
  return wrong == 0 ? 0 : 1;
}

} // namespace jujubehead::bench
