#ifndef JUJUBEHEAD_BENCH_SVG_BARS_HPP
#define JUJUBEHEAD_BENCH_SVG_BARS_HPP

#include <string> // for string
#include <vector> // for vector

namespace jujubehead::bench {

/// @brief Bars of one group, in the order of the chart's series.
struct BarGroup
{
  std::string name;
  std::vector<double> values;
};

/// @brief A chart of grouped bars.
struct BarChart
{
  std::string title;
  std::string unit;
  std::vector<std::string> series;
  std::vector<BarGroup> groups;
};

/// @return the chart as an SVG document; the same text for the same chart.
std::string
ToSvg(const BarChart& aChart);

} // namespace jujubehead::bench

#endif // JUJUBEHEAD_BENCH_SVG_BARS_HPP
