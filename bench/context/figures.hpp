#ifndef JUJUBEHEAD_BENCH_CONTEXT_FIGURES_HPP
#define JUJUBEHEAD_BENCH_CONTEXT_FIGURES_HPP

#include <cstdint> // for uint64_t
#include <vector>  // for vector

namespace jujubehead::bench::context {

/// @brief What one policy did over the measured time.
struct Figures
{
  std::vector<double> first_token_seconds; ///< One a request, any order.
  double returning_tokens = 0;   ///< Of prompts, computed once before.
  double recomputed_tokens = 0;  ///< Of those, computed again.
  double never_kept_tokens = 0;  ///< Of those, no store ever had them.
  double dropped_tokens = 0;     ///< Of those, stores had them no more.
  double passed_over_tokens = 0; ///< Of those, a store had them.
  double link_bytes = 0;
  double export_bytes = 0;
  std::uint64_t imports = 0;
  std::uint64_t failed_imports = 0; ///< Gone, or given up, at their turn.
  std::uint64_t exports = 0;
  std::uint64_t hints = 0;      ///< Targets chosen by a hint of what they had.
  std::uint64_t true_hints = 0; ///< Where exactly that much was there.
  double cached_blocks = 0;     ///< What was there, over all these.
  double hint_error_blocks = 0; ///< Sum of differences from what was there.
  double target_seconds = 0;    ///< Busy time of all targets.

  /// @return the given quantile of time to first token, in seconds.
  [[nodiscard]] double FirstToken(double aQuantile) const;
  /// @return recomputed tokens as a share of returning ones.
  [[nodiscard]] double RecomputedShare() const;
  [[nodiscard]] double SavedTokens() const
  {
    return returning_tokens - recomputed_tokens;
  }
};

} // namespace jujubehead::bench::context

#endif // JUJUBEHEAD_BENCH_CONTEXT_FIGURES_HPP
