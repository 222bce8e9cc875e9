#include "bench/svg_bars.hpp"

#include <algorithm> // for max
#include <array>     // for array
#include <cstdio>    // for snprintf

namespace jujubehead::bench {
namespace {

constexpr double kLeft = 50;
constexpr double kTop = 50;
constexpr double kHeight = 240;
constexpr double kBar = 22;
constexpr double kGap = 30;
constexpr double kLegend = 110;
constexpr std::array<const char*, 5> kColours{ "#9aa5b1",
                                               "#6b8fb5",
                                               "#c59a4a",
                                               "#2f7d4f",
                                               "#c9d8cd" };

std::string
Number(double aValue)
{
  std::array<char, 32> text{};
  std::snprintf(
    text.data(), text.size(), aValue < 10 ? "%.2f" : "%.0f", aValue);
  return text.data();
}

std::string
Text(double aX, double aY, const char* aAnchor, const std::string& aText)
{
  return "<text x=\"" + Number(aX) + "\" y=\"" + Number(aY) +
         "\" text-anchor=\"" + aAnchor + "\">" + aText + "</text>\n";
}

std::string
Bar(double aX, double aY, double aHeight, std::size_t aSeries)
{
  return "<rect x=\"" + Number(aX) + "\" y=\"" + Number(aY) + "\" width=\"" +
         Number(kBar - 2) + "\" height=\"" + Number(aHeight) + "\" fill=\"" +
         kColours[aSeries % kColours.size()] + "\"/>\n";
}

double
Largest(const BarChart& aChart)
{
  double largest = 0;
  for (const BarGroup& group : aChart.groups) {
    for (const double value : group.values) {
      largest = std::max(largest, value);
    }
  }
  return largest > 0 ? largest : 1;
}

double
GroupWidth(const BarChart& aChart)
{
  return kBar * static_cast<double>(aChart.series.size()) + kGap;
}

std::string
Groups(const BarChart& aChart)
{
  const double scale = kHeight / Largest(aChart);
  std::string svg;
  double x = kLeft;
  for (const BarGroup& group : aChart.groups) {
    for (std::size_t i = 0; i < group.values.size(); ++i) {
      const double height = group.values[i] * scale;
      const double left = x + kBar * static_cast<double>(i);
      const double top = kTop + kHeight - height;
      svg += Bar(left, top, height, i);
      svg += Text(left + kBar / 2, top - 3, "middle", Number(group.values[i]));
    }
    svg += Text(x + (GroupWidth(aChart) - kGap) / 2,
                kTop + kHeight + 16,
                "middle",
                group.name);
    x += GroupWidth(aChart);
  }
  return svg;
}

std::string
Legend(const BarChart& aChart)
{
  std::string svg;
  double x = kLeft;
  for (std::size_t i = 0; i < aChart.series.size(); ++i) {
    svg += Bar(x, kTop + kHeight + 30, 10, i);
    svg += Text(x + kBar + 2, kTop + kHeight + 39, "start", aChart.series[i]);
    x += kLegend;
  }
  return svg;
}

} // namespace

std::string
ToSvg(const BarChart& aChart)
{
  const double groups = static_cast<double>(aChart.groups.size());
  const double width =
    std::max(kLeft + groups * GroupWidth(aChart),
             kLeft + kLegend * static_cast<double>(aChart.series.size()));
  return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + Number(width) +
         "\" height=\"" + Number(kTop + kHeight + 55) +
         "\" font-family=\"sans-serif\" font-size=\"9\">\n"
         "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n" +
         Text(kLeft, 20, "start", aChart.title + " (" + aChart.unit + ")") +
         Groups(aChart) + Legend(aChart) + "</svg>\n";
}

} // namespace jujubehead::bench
