#include "bench/benches.hpp"

#include <algorithm> // for sort
#include <array>     // for array
#include <cmath>     // for lround
#include <cstdio>    // for printf
#include <vector>    // for vector

#include "bench/agreement/claims_run.hpp"    // for RunClaims
#include "bench/agreement/line_fit.hpp"      // for FitLine
#include "bench/agreement/ownership_run.hpp" // for RunSteady, RunTakeover
#include "bench/agreement/table_run.hpp"     // for RunTable

namespace jujubehead::bench {
namespace {

constexpr std::uint64_t kSeed = 20261202;
constexpr double kSizeIn2Years = 370;
constexpr std::array<std::uint32_t, 4> kSizes{ 4, 8, 16, 32 };

double
Quantile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const double at = aShare * static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(std::lround(at))];
}

/// @brief One figure at every size, and what its line says of 370.
class Series
{
public:
  explicit Series(const char* aName)
    : m_name(aName)
  {
  }
  void Add(double aSize, double aValue)
  {
    m_points.push_back({ aSize, aValue });
  }
  /// @brief Prints the points and the line. @return its value at 370.
  double Print() const
  {
    const LineFit fit = FitLine(m_points);
    std::printf("%s:", m_name);
    for (const Point& point : m_points) {
      std::printf(" %.0f:%.3f", point.x, point.y);
    }
    std::printf(" slope=%.5f+-%.5f base=%.3f at_370=%.2f\n",
                fit.slope,
                fit.slope_error,
                fit.base,
                fit.At(kSizeIn2Years));
    return fit.At(kSizeIn2Years);
  }

private:
  const char* m_name;
  std::vector<Point> m_points;
};

struct Totals
{
  std::uint64_t overshoot = 0;
  std::size_t reverts = 0;
  std::size_t doubled = 0;
  double writes = 0;
  double reads = 0;
  double bytes = 0;
  double memory_mb = 0;
};

void
MeasureSteady(Totals& aTotals)
{
  Series writes("steady writes/s");
  Series reads("steady reads/s");
  Series bytes("steady bytes/s a node");
  Series memory("memory MB a node, fakes included");
  for (const std::uint32_t size : kSizes) {
    const SteadyFigures figures = RunSteady(size, kSeed);
    writes.Add(size, figures.writes_per_second);
    reads.Add(size, figures.reads_per_second);
    bytes.Add(size, figures.bytes_per_second_per_node);
    memory.Add(size, figures.memory_mb_per_node);
    aTotals.overshoot += figures.overshoot;
  }
  writes.Print();
  aTotals.reads += reads.Print();
  aTotals.bytes += bytes.Print();
  aTotals.memory_mb += memory.Print();
  constexpr std::uint32_t kAccounts = 46'000;
  const double table_mb = TableMemoryMb(kAccounts);
  std::printf(
    "memory MB of a table of %u accounts: %.2f\n", kAccounts, table_mb);
  aTotals.memory_mb += table_mb;
}

void
MeasureRestart(Totals& aTotals)
{
  Series peak_writes("restart of a data centre: writes/s, busiest 10 s");
  Series peak_reads("restart of a data centre: reads/s, busiest 10 s");
  Series one("restart of a data centre: writes in the busiest second");
  Series writes("restart of a data centre: writes in all");
  for (const std::uint32_t size : kSizes) {
    const RestartFigures figures = RunRestart(size, kSeed);
    peak_writes.Add(size, figures.peak_writes);
    peak_reads.Add(size, figures.peak_reads);
    one.Add(size, figures.peak_writes_in_one);
    writes.Add(size, figures.writes);
    aTotals.overshoot += figures.overshoot;
  }
  aTotals.writes += peak_writes.Print();
  aTotals.reads += peak_reads.Print();
  one.Print();
  writes.Print();
}

std::vector<double>
MeasureTakeover(Totals& aTotals)
{
  constexpr std::uint64_t kDeaths = 8;
  std::vector<double> all;
  for (const std::uint32_t size : kSizes) {
    std::vector<double> seconds;
    for (std::uint64_t i = 0; i < kDeaths; ++i) {
      const TakeoverFigures figures = RunTakeover(size, kSeed + i);
      seconds.insert(
        seconds.end(), figures.seconds.begin(), figures.seconds.end());
      aTotals.overshoot += figures.overshoot;
    }
    std::printf("takeover seconds, %u instances: p50=%.2f p99=%.2f max=%.2f "
                "groups=%zu\n",
                size,
                Quantile(seconds, 0.5),
                Quantile(seconds, 0.99),
                Quantile(seconds, 1),
                seconds.size());
    all.insert(all.end(), seconds.begin(), seconds.end());
  }
  return all;
}

double
MeasureTable(Totals& aTotals)
{
  Series reads("table reads/s");
  Series bytes("table bytes/s a node");
  double in_force = 0;
  for (const std::uint32_t size : kSizes) {
    TableRunOptions options;
    options.instances = size;
    const TableRunFigures figures = RunTable(options);
    reads.Add(size, figures.reads_per_second);
    bytes.Add(size, figures.bytes_per_second_per_node);
    aTotals.reverts += figures.reverts;
    aTotals.doubled += figures.doubled;
    in_force = std::max(in_force, figures.in_force_s_p99);
  }
  aTotals.reads += reads.Print();
  aTotals.bytes += bytes.Print();
  return in_force;
}

} // namespace

int
RunAgreement()
{
  Totals totals;
  MeasureSteady(totals);
  MeasureRestart(totals);
  const std::vector<double> takeover = MeasureTakeover(totals);
  const OutageFigures outage = RunOutage(8, kSeed);
  totals.overshoot += outage.overshoot;
  std::printf("outage of an hour, 8 instances, one dies: served=%.4f\n",
              outage.served_share);
  const ClaimsFigures claims = RunClaims(kSeed);
  totals.doubled += claims.doubled;
  std::printf("claims: requests=%lu ran=%lu doubled=%lu rows/s=%.0f "
              "transactions/s=%.0f\n",
              claims.requests,
              claims.ran,
              claims.doubled,
              claims.rows_per_second,
              claims.transactions_per_second);
  const double in_force = MeasureTable(totals);
  std::printf("agreement overshoot=%lu takeover_s_p99=%.2f "
              "outage_served_share=%.4f table_in_force_s_p99=%.2f reverts=%zu "
              "doubled=%zu service_writes_per_second_370=%.0f "
              "service_reads_per_second_370=%.0f "
              "control_bytes_per_second_per_node_370=%.0f "
              "control_memory_mb_per_node_370=%.2f\n",
              totals.overshoot,
              Quantile(takeover, 0.99),
              outage.served_share,
              in_force,
              totals.reverts,
              totals.doubled,
              totals.writes,
              totals.reads,
              totals.bytes,
              totals.memory_mb);
  return totals.overshoot + totals.reverts + totals.doubled == 0 ? 0 : 1;
}

} // namespace jujubehead::bench
