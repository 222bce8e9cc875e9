#include "bench/context/report.hpp"

#include <algorithm> // for min
#include <cstdio>    // for printf

namespace jujubehead::bench::context {
namespace {

constexpr double kTera = 1e12;
constexpr double kMedian = 0.5;
constexpr double kMostRequests = 0.95;
constexpr double kNearlyAll = 0.99;

double
Ratio(double aValue, double aBase)
{
  return aBase > 0 ? aValue / aBase : 0;
}

template<typename Measure>
double
BestNaive(const Cell& aCell, Measure aMeasure)
{
  double best = aMeasure(aCell.policies.front());
  for (std::size_t i = 1; i < kNaivePolicies; ++i) {
    best = std::min(best, aMeasure(aCell.policies[i]));
  }
  return best;
}

void
PrintPolicy(PolicyName aName, const Figures& aFigures)
{
  const double tokens = aFigures.returning_tokens;
  std::printf("  %-10s ttft_s p50=%.2f p95=%.2f p99=%.2f recomputed=%.4f"
              " link_tb=%.2f export_tb=%.2f | never_kept=%.3f dropped=%.3f"
              " passed_over=%.3f imports=%lu failed=%lu\n",
              ToText(aName).c_str(),
              aFigures.FirstToken(kMedian),
              aFigures.FirstToken(kMostRequests),
              aFigures.FirstToken(kNearlyAll),
              aFigures.RecomputedShare(),
              aFigures.link_bytes / kTera,
              aFigures.export_bytes / kTera,
              Ratio(aFigures.never_kept_tokens, tokens),
              Ratio(aFigures.dropped_tokens, tokens),
              Ratio(aFigures.passed_over_tokens, tokens),
              aFigures.imports,
              aFigures.failed_imports);
}

} // namespace

std::string
ToText(PolicyName aName)
{
  switch (aName) {
    case PolicyName::kRandom:
      return "random";
    case PolicyName::kAffinity:
      return "affinity";
    case PolicyName::kExportAll:
      return "export_all";
    case PolicyName::kKeeping:
      return "jujubehead";
    case PolicyName::kOffline:
      return "offline";
  }
  return "unknown";
}

double
FirstTokenRatio(const Cell& aCell)
{
  const auto measure = [](const Figures& aFigures) {
    return aFigures.FirstToken(kMostRequests);
  };
  return Ratio(measure(aCell.Of(PolicyName::kKeeping)),
               BestNaive(aCell, measure));
}

double
RecomputedRatio(const Cell& aCell)
{
  const auto measure = [](const Figures& aFigures) {
    return aFigures.RecomputedShare();
  };
  return Ratio(measure(aCell.Of(PolicyName::kKeeping)),
               BestNaive(aCell, measure));
}

double
ShareOfBound(const Cell& aCell)
{
  return Ratio(aCell.Of(PolicyName::kKeeping).SavedTokens(),
               aCell.Of(PolicyName::kOffline).SavedTokens());
}

double
LinkRatio(const Cell& aCell)
{
  return Ratio(aCell.Of(PolicyName::kKeeping).link_bytes,
               aCell.Of(PolicyName::kExportAll).link_bytes);
}

void
Print(const Cell& aCell)
{
  std::printf("%s %s: working set %.1f times accelerator memory;"
              " ttft_p95_vs_best_naive=%.3f recomputed_vs_best_naive=%.3f"
              " share_of_offline_bound=%.3f link_bytes_vs_export_all=%.3f\n",
              aCell.deployment->name.c_str(),
              aCell.condition->name.c_str(),
              aCell.working_set,
              FirstTokenRatio(aCell),
              RecomputedRatio(aCell),
              ShareOfBound(aCell),
              LinkRatio(aCell));
  for (std::size_t i = 0; i < aCell.policies.size(); ++i) {
    PrintPolicy(static_cast<PolicyName>(i), aCell.policies[i]);
  }
}

void
PrintProbe(const Deployment& aDeployment,
           const Condition& aProbe,
           const Figures& aFigures)
{
  std::printf("%s %s: hints=%lu exact=%.4f error_blocks=%.4f ttft_s p50=%.2f"
              " p95=%.2f recomputed=%.4f link_tb=%.2f\n",
              aDeployment.name.c_str(),
              aProbe.name.c_str(),
              aFigures.hints,
              Ratio(static_cast<double>(aFigures.true_hints),
                    static_cast<double>(aFigures.hints)),
              Ratio(aFigures.hint_error_blocks, aFigures.cached_blocks),
              aFigures.FirstToken(kMedian),
              aFigures.FirstToken(kMostRequests),
              aFigures.RecomputedShare(),
              aFigures.link_bytes / kTera);
}

void
PrintSummary(const Cell& aKuttanad, const Cell& aForbund)
{
  std::printf("context kuttanad_ttft_p95_vs_best_naive=%.3f"
              " forbund_recomputed_share_vs_best_naive=%.3f"
              " share_of_offline_bound=%.3f"
              " link_bytes_vs_export_all=%.3f\n",
              FirstTokenRatio(aKuttanad),
              RecomputedRatio(aForbund),
              std::min(ShareOfBound(aKuttanad), ShareOfBound(aForbund)),
              std::max(LinkRatio(aKuttanad), LinkRatio(aForbund)));
}

} // namespace jujubehead::bench::context
