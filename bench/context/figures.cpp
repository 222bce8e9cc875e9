#include "bench/context/figures.hpp"

#include <algorithm> // for min, nth_element

namespace jujubehead::bench::context {

double
Figures::FirstToken(double aQuantile) const
{
  if (first_token_seconds.empty()) {
    return 0;
  }
  std::vector<double> values = first_token_seconds;
  const auto rank = std::min(
    values.size() - 1,
    static_cast<std::size_t>(aQuantile * static_cast<double>(values.size())));
  const auto place = values.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(values.begin(), place, values.end());
  return *place;
}

double
Figures::RecomputedShare() const
{
  return returning_tokens > 0 ? recomputed_tokens / returning_tokens : 0;
}

} // namespace jujubehead::bench::context
