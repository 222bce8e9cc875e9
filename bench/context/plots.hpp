#ifndef JUJUBEHEAD_BENCH_CONTEXT_PLOTS_HPP
#define JUJUBEHEAD_BENCH_CONTEXT_PLOTS_HPP

#include <span>   // for span
#include <string> // for string

#include "bench/context/report.hpp" // for Cell

namespace jujubehead::bench::context {

/// @brief Writes one SVG a measure, policies side by side for each condition.
/// @param aDirectory where the files go; it must exist.
/// @throws std::runtime_error when a file cannot be written.
void
WritePlots(std::span<const Cell> aCells, const std::string& aDirectory);

} // namespace jujubehead::bench::context

#endif // JUJUBEHEAD_BENCH_CONTEXT_PLOTS_HPP
