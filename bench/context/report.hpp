#ifndef JUJUBEHEAD_BENCH_CONTEXT_REPORT_HPP
#define JUJUBEHEAD_BENCH_CONTEXT_REPORT_HPP

#include <cstdint> // for uint64_t
#include <span>    // for span
#include <string>  // for string
#include <vector>  // for vector

#include "bench/context/deployment.hpp" // for Deployment, Condition
#include "bench/context/figures.hpp"    // for Figures

namespace jujubehead::bench::context {

/// @brief The policies that are compared, in the order they are printed.
enum class PolicyName : std::uint8_t
{
  kRandom,
  kAffinity,
  kExportAll,
  kKeeping,
  kOffline,
};

inline constexpr std::size_t kPolicies = 5;
/// The first ones are naive.
inline constexpr std::size_t kNaivePolicies = 3;

std::string
ToText(PolicyName aName);

/// @brief All policies under one condition of one deployment.
struct Cell
{
  const Deployment* deployment = nullptr;
  const Condition* condition = nullptr;
  double working_set = 0;        ///< Times accelerator memory.
  std::vector<Figures> policies; ///< By PolicyName.

  [[nodiscard]] const Figures& Of(PolicyName aName) const
  {
    return policies[static_cast<std::size_t>(aName)];
  }
};

/// @return p95 of time to first token against the best naive policy's.
double
FirstTokenRatio(const Cell& aCell);
/// @return recomputed share against the best naive policy's.
double
RecomputedRatio(const Cell& aCell);
/// @return saved tokens as a share of what the offline bound saves.
double
ShareOfBound(const Cell& aCell);
/// @return bytes over the links against those of exporting everything.
double
LinkRatio(const Cell& aCell);

/// @brief Prints a cell's figures, a line a policy.
void
Print(const Cell& aCell);

/// @brief Prints what the product's policy did where hints or quotes were bad.
void
PrintProbe(const Deployment& aDeployment,
           const Condition& aProbe,
           const Figures& aFigures);

/// @brief Prints the summary: the ordinary condition of each deployment.
/// @param aCells Kuttanad's and the Förbund's cell of the ordinary condition.
void
PrintSummary(const Cell& aKuttanad, const Cell& aForbund);

} // namespace jujubehead::bench::context

#endif // JUJUBEHEAD_BENCH_CONTEXT_REPORT_HPP
