#include "jujubehead/core/router.hpp"

#include <algorithm> // for max, min, sort
#include <chrono>    // for duration
#include <limits>    // for numeric_limits

namespace jujubehead::core {
namespace {

using Seconds = std::chrono::duration<double>;

/// Extra seconds for a target in another data centre: a round trip.
constexpr double kOtherDataCentre = 0.002;
/// Stands for the rate of a target whose rate is not known.
constexpr double kUnknownRate = 1.0;

double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration_cast<Seconds>(aDuration).count();
}

Duration
ToDuration(double aSeconds)
{
  constexpr double kLongest = 1e9;
  return std::chrono::duration_cast<Duration>(
    Seconds(std::min(aSeconds, kLongest)));
}

/// Share of the target's limit that is in use, for ties.
double
Fill(const TargetView& aTarget)
{
  return aTarget.limit == 0 ? 1.0
                            : static_cast<double>(aTarget.running) /
                                static_cast<double>(aTarget.limit);
}

/// Plans one target; knows the query and the target.
class TargetPlanner
{
public:
  TargetPlanner(const RouteQuery& aQuery, const TargetView& aTarget)
    : m_query(aQuery)
    , m_target(aTarget)
    , m_cached(std::min(aTarget.cached_blocks, aQuery.blocks))
    , m_rate(aTarget.prefill_tokens_per_second > 0
               ? aTarget.prefill_tokens_per_second
               : kUnknownRate)
    , m_start(
        ToSeconds(aTarget.expected_wait) +
        (aTarget.data_centre == aQuery.data_centre ? 0.0 : kOtherDataCentre))
  {
  }

  [[nodiscard]] RoutePlan Recompute() const
  {
    return Plan(m_cached, m_start, nullptr);
  }

  /// The cheapest number of blocks to import from the copy. An import may run
  /// while the request waits, so the cost is convex in the number of blocks,
  /// with its only bend where the import takes as long as the wait.
  [[nodiscard]] RoutePlan Import(const StoredCopy& aCopy) const
  {
    const std::uint32_t most = std::min(aCopy.blocks, m_query.blocks);
    if (most <= m_cached || aCopy.bytes_per_second <= 0) {
      return Recompute();
    }
    const RoutePlan whole = ImportUpTo(aCopy, most);
    const RoutePlan hidden = ImportUpTo(aCopy, HiddenByWait(aCopy, most));
    return hidden.cost < whole.cost ? hidden : whole;
  }

private:
  [[nodiscard]] double BlockSeconds(const StoredCopy& aCopy) const
  {
    return aCopy.bytes_per_block / aCopy.bytes_per_second;
  }

  /// The last block whose import still ends before the wait does.
  [[nodiscard]] std::uint32_t HiddenByWait(const StoredCopy& aCopy,
                                           std::uint32_t aMost) const
  {
    const double room = std::max(0.0, m_start - ToSeconds(aCopy.link_wait));
    const double blocks = room / std::max(BlockSeconds(aCopy), 1e-9);
    const double end = std::min<double>(aMost, m_cached + blocks);
    return std::max(m_cached, static_cast<std::uint32_t>(end));
  }

  [[nodiscard]] RoutePlan ImportUpTo(const StoredCopy& aCopy,
                                     std::uint32_t aEnd) const
  {
    if (aEnd <= m_cached) {
      return Recompute();
    }
    const double arrived =
      ToSeconds(aCopy.link_wait) + (aEnd - m_cached) * BlockSeconds(aCopy);
    return Plan(aEnd, std::max(m_start, arrived), &aCopy);
  }

  [[nodiscard]] RoutePlan Plan(std::uint32_t aPresent,
                               double aStart,
                               const StoredCopy* aCopy) const
  {
    RoutePlan plan;
    plan.target = m_target.target;
    plan.cached_blocks = m_cached;
    plan.imported_blocks = aPresent - m_cached;
    plan.recomputed_blocks = m_query.blocks - aPresent;
    if (aCopy != nullptr) {
      plan.import = *aCopy;
    }
    const double again =
      static_cast<double>(plan.recomputed_blocks) * m_query.tokens_per_block;
    const double first = aStart + (again + m_query.tail_tokens) / m_rate;
    plan.expected_first_token = ToDuration(first);
    plan.cost = first + again * m_query.recompute_price;
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
  double fill;
};

bool
Before(const Ranked& aLeft, const Ranked& aRight)
{
  if (aLeft.plan.cost != aRight.plan.cost) {
    return aLeft.plan.cost < aRight.plan.cost;
  }
  if (aLeft.fill != aRight.fill) {
    return aLeft.fill < aRight.fill;
  }
  return aLeft.plan.target < aRight.plan.target;
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
      ranked.push_back({ BestOn(aQuery, target, aCopies), Fill(target) });
    }
  }
  std::sort(ranked.begin(), ranked.end(), Before);
  std::vector<RoutePlan> plans;
  plans.reserve(ranked.size());
  for (Ranked& entry : ranked) {
    plans.push_back(std::move(entry.plan));
  }
  return plans;
}

} // namespace jujubehead::core
