#ifndef JUJUBEHEAD_BENCH_AGREEMENT_LINE_FIT_HPP
#define JUJUBEHEAD_BENCH_AGREEMENT_LINE_FIT_HPP

#include <cmath>  // for sqrt
#include <vector> // for vector

namespace jujubehead::bench {

/// @brief A straight line through measured points, with its standard error.
struct LineFit
{
  double base = 0;
  double slope = 0;
  double slope_error = 0;

  [[nodiscard]] double At(double aX) const { return base + slope * aX; }
};

struct Point
{
  double x = 0;
  double y = 0;
};

/// @return the least-squares line. @param aPoints at least three.
inline LineFit
FitLine(const std::vector<Point>& aPoints)
{
  const auto count = static_cast<double>(aPoints.size());
  double mean_x = 0;
  double mean_y = 0;
  for (const Point& point : aPoints) {
    mean_x += point.x / count;
    mean_y += point.y / count;
  }
  double xx = 0;
  double xy = 0;
  for (const Point& point : aPoints) {
    xx += (point.x - mean_x) * (point.x - mean_x);
    xy += (point.x - mean_x) * (point.y - mean_y);
  }
  LineFit fit;
  fit.slope = xy / xx;
  fit.base = mean_y - fit.slope * mean_x;
  double rest = 0;
  for (const Point& point : aPoints) {
    const double off = point.y - fit.At(point.x);
    rest += off * off;
  }
  fit.slope_error = std::sqrt(rest / (count - 2) / xx);
  return fit;
}

} // namespace jujubehead::bench

#endif // JUJUBEHEAD_BENCH_AGREEMENT_LINE_FIT_HPP
