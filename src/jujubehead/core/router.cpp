#include "jujubehead/core/router.hpp"

#include <algorithm> // for clamp, max, min, stable_sort
#include <chrono>    // for duration
#include <limits>    // for numeric_limits

namespace jujubehead::core {
namespace {

using Seconds = std::chrono::duration<double>;

/// Added for a target in another data centre: one round trip.
constexpr double kCrossDataCentreSeconds = 0.002;
/// Assumed for a target whose prefill rate is unknown; so low that it ranks
/// last.
constexpr double kDefaultTokensPerSecond = 1.0;
/// Lower bound of the transfer time of a block.
constexpr double kMinBlockSeconds = 1e-9;
/// Upper bound of the link use in the delay formula, which diverges at 1.
constexpr double kMaxLinkUse = 0.95;
/// Weight of the delay that an import causes to later ones. At 1, requests left
/// a holder of the context that was busy only briefly; at 10, they recomputed
/// blocks that the link had the capacity to import.
constexpr double kImportDelayWeight = 3;

double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration_cast<Seconds>(aDuration).count();
}

Duration
ToDuration(double aSeconds)
{
  constexpr double kMaxSeconds = 1e9;
  return std::chrono::duration_cast<Duration>(
    Seconds(std::min(aSeconds, kMaxSeconds)));
}

/// Share of the target's limit that is in use; breaks ties.
double
Utilization(const TargetView& aTarget)
{
  return aTarget.limit == 0 ? 1.0
                            : static_cast<double>(aTarget.running) /
                                static_cast<double>(aTarget.limit);
}

/// Plans the routes of one query on one target.
class TargetPlanner
{
public:
  TargetPlanner(const RouteQuery& aQuery, const TargetView& aTarget)
    : m_query(aQuery)
    , m_target(aTarget)
    , m_cached(std::min(aTarget.cached_blocks, aQuery.blocks))
    , m_rate(aTarget.prefill_tokens_per_second > 0
               ? aTarget.prefill_tokens_per_second
               : kDefaultTokensPerSecond)
    , m_start(ToSeconds(aTarget.expected_wait) +
              (aTarget.data_centre == aQuery.data_centre
                 ? 0.0
                 : kCrossDataCentreSeconds))
  {
  }

  [[nodiscard]] RoutePlan Recompute() const
  {
    return Plan(0, m_start, m_cached);
  }

  /// The cheapest way to use the copy. The cost is piecewise linear in the
  /// first and in the last imported block, with one breakpoint each: where the
  /// import takes as long as the wait or computation in parallel with it. So
  /// only the ends and the breakpoints are tried.
  [[nodiscard]] RoutePlan Import(const StoredCopy& aCopy) const
  {
    const std::uint32_t end = std::min(aCopy.blocks, m_query.blocks);
    if (end <= m_cached || aCopy.bytes_per_second <= 0) {
      return Recompute();
    }
    RoutePlan best = ImportRange(aCopy, m_cached, end);
    KeepCheaper(best,
                ImportRange(aCopy, m_cached, ImportEndWithinWait(aCopy, end)));
    if (m_target.computes_during_import) {
      KeepCheaper(best, ImportRange(aCopy, MeetingBlock(aCopy, end), end));
    }
    return best;
  }

private:
  static void KeepCheaper(RoutePlan& aBest, RoutePlan aOther)
  {
    if (aOther.cost < aBest.cost) {
      aBest = std::move(aOther);
    }
  }

  [[nodiscard]] double BlockSeconds(const StoredCopy& aCopy) const
  {
    return std::max(aCopy.bytes_per_block / aCopy.bytes_per_second,
                    kMinBlockSeconds);
  }

  [[nodiscard]] double ComputeSeconds(double aBlocks) const
  {
    return aBlocks * m_query.tokens_per_block / m_rate;
  }

  /// The end of the longest import that completes during the wait.
  [[nodiscard]] std::uint32_t ImportEndWithinWait(const StoredCopy& aCopy,
                                                  std::uint32_t aMax) const
  {
    const double available =
      std::max(0.0, m_start - ToSeconds(aCopy.link_wait));
    return Clamp(m_cached + available / BlockSeconds(aCopy), aMax);
  }

  /// The first block to import so that the computation of the blocks before it
  /// ends together with the import.
  [[nodiscard]] std::uint32_t MeetingBlock(const StoredCopy& aCopy,
                                           std::uint32_t aEnd) const
  {
    const double importing =
      ToSeconds(aCopy.link_wait) + (aEnd - m_cached) * BlockSeconds(aCopy);
    const double head_start = std::max(0.0, importing - m_start);
    const double seconds_per_block = BlockSeconds(aCopy) + ComputeSeconds(1);
    return Clamp(m_cached + head_start / seconds_per_block, aEnd);
  }

  [[nodiscard]] std::uint32_t Clamp(double aBlock, std::uint32_t aMax) const
  {
    const double block = std::min<double>(aMax, aBlock);
    return std::max(m_cached, static_cast<std::uint32_t>(block));
  }

  /// Computes up to aFrom, imports from aFrom to aEnd, computes the rest.
  [[nodiscard]] RoutePlan ImportRange(const StoredCopy& aCopy,
                                      std::uint32_t aFrom,
                                      std::uint32_t aEnd) const
  {
    if (aEnd <= aFrom) {
      return Recompute();
    }
    const double link = (aEnd - aFrom) * BlockSeconds(aCopy);
    const double arrived = ToSeconds(aCopy.link_wait) + link;
    const double computed = m_start + ComputeSeconds(aFrom - m_cached);
    const double use = std::clamp(aCopy.link_use, 0.0, kMaxLinkUse);
    RoutePlan plan = Plan(aEnd - aFrom, std::max(computed, arrived), aEnd);
    plan.import = aCopy;
    plan.import_from = aFrom;
    plan.cost += kImportDelayWeight * link * use / (1 - use);
    return plan;
  }

  /// @param aReady seconds until all blocks before aEnd are available.
  [[nodiscard]] RoutePlan Plan(std::uint32_t aImported,
                               double aReady,
                               std::uint32_t aEnd) const
  {
    RoutePlan plan;
    plan.target = m_target.target;
    plan.cached_blocks = m_cached;
    plan.imported_blocks = aImported;
    plan.recomputed_blocks = m_query.blocks - m_cached - aImported;
    plan.import_from = m_cached;
    const double tokens =
      static_cast<double>(plan.recomputed_blocks) * m_query.tokens_per_block;
    const double first = aReady + ComputeSeconds(m_query.blocks - aEnd) +
                         m_query.tail_tokens / m_rate;
    plan.expected_first_token = ToDuration(first);
    plan.cost = first + tokens * m_query.recompute_price;
    return plan;
  }

  const RouteQuery& m_query;
  const TargetView& m_target;
  std::uint32_t m_cached;
  double m_rate;
  double m_start;
};

RoutePlan
BestOn(const RouteQuery& aQuery,
       const TargetView& aTarget,
       std::span<const StoredCopy> aCopies)
{
  const TargetPlanner planner(aQuery, aTarget);
  RoutePlan best = planner.Recompute();
  for (const StoredCopy& copy : aCopies) {
    RoutePlan plan = planner.Import(copy);
    if (plan.cost < best.cost) {
      best = std::move(plan);
    }
  }
  return best;
}

struct Ranked
{
  RoutePlan plan;
  double utilization;
};

bool
RanksBefore(const Ranked& aLeft, const Ranked& aRight)
{
  if (aLeft.plan.cost != aRight.plan.cost) {
    return aLeft.plan.cost < aRight.plan.cost;
  }
  return aLeft.utilization < aRight.utilization;
}

} // namespace

std::vector<RoutePlan>
RankRoutes(const RouteQuery& aQuery,
           std::span<const TargetView> aTargets,
           std::span<const StoredCopy> aCopies)
{
  std::vector<Ranked> ranked;
  ranked.reserve(aTargets.size());
  for (const TargetView& target : aTargets) {
    if (target.admits) {
      ranked.push_back(
        { BestOn(aQuery, target, aCopies), Utilization(target) });
    }
  }
  std::stable_sort(ranked.begin(), ranked.end(), RanksBefore);
  std::vector<RoutePlan> plans;
  plans.reserve(ranked.size());
  for (Ranked& entry : ranked) {
    plans.push_back(std::move(entry.plan));
  }
  return plans;
}

} // namespace jujubehead::core
