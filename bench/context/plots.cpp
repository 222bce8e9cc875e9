#include "bench/context/plots.hpp"

#include <fstream>   // for ofstream
#include <stdexcept> // for runtime_error

#include "bench/svg_bars.hpp" // for BarChart

namespace jujubehead::bench::context {
namespace {

constexpr double kMostRequests = 0.95;
constexpr double kTera = 1e12;

template<typename Measure>
void
WriteChart(std::span<const Cell> aCells,
           const std::string& aFile,
           BarChart aChart,
           std::size_t aPolicies,
           Measure aMeasure)
{
  for (std::size_t i = 0; i < aPolicies; ++i) {
    aChart.series.push_back(ToText(static_cast<PolicyName>(i)));
  }
  for (const Cell& cell : aCells) {
    BarGroup group{ cell.deployment->name + " " + cell.condition->name, {} };
    for (std::size_t i = 0; i < aPolicies; ++i) {
      group.values.push_back(aMeasure(cell.policies[i]));
    }
    aChart.groups.push_back(std::move(group));
  }
  std::ofstream file(aFile);
  file << ToSvg(aChart);
  if (!file.flush()) {
    throw std::runtime_error("cannot write " + aFile);
  }
}

} // namespace

void
WritePlots(std::span<const Cell> aCells, const std::string& aDirectory)
{
  const std::size_t half = aCells.size() / 2;
  for (const auto& cells : { aCells.first(half), aCells.subspan(half) }) {
    const std::string& user = cells.front().deployment->name;
    std::string base = aDirectory;
    base.append("/context-").append(user);
    WriteChart(cells,
               base + "-first-token.svg",
               { "Time to first token, p95", "s", {}, {} },
               kPolicies - 1,
               [](const Figures& aFigures) {
                 return aFigures.FirstToken(kMostRequests);
               });
    WriteChart(
      cells,
      base + "-recomputed.svg",
      { "Recomputed share of returning context", "1", {}, {} },
      kPolicies,
      [](const Figures& aFigures) { return aFigures.RecomputedShare(); });
    WriteChart(
      cells,
      base + "-link.svg",
      { "Bytes over the stores' links in 6 hours", "TB", {}, {} },
      kPolicies - 1,
      [](const Figures& aFigures) { return aFigures.link_bytes / kTera; });
  }
}

} // namespace jujubehead::bench::context
