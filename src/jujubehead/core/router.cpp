#include "jujubehead/core/router.hpp"

#include <algorithm> // for clamp, max, min, stable_sort
#include <chrono>    // for duration
#include <limits>    // for numeric_limits

namespace jujubehead::core {
namespace {

using Seconds = std::chrono::duration<double>;

/// Extra seconds for a target in another data centre: a round trip.
constexpr double kOtherDataCentre = 0.002;
/// Stands for the rate of a target whose rate is not known.
constexpr double kUnknownRate = 1.0;
/// No block crosses a link quicker, in seconds.
constexpr double kShortestBlock = 1e-9;
/// A link is taken to be no busier than this.
constexpr double kMostUse = 0.95;
/// Weight of the delay that an import causes to later ones. At 1 callers left
/// a holder that was busy for a moment; at 10 they computed what a link had
/// room for.
constexpr double kLinkToll = 3;

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
    return Plan(0, m_start, m_cached);
  }

  /// The cheapest way to use the copy. The cost is linear in the block where
  /// the import begins, and in the one where it ends, but for one bend: where
  /// the import takes as long as the work that goes on beside it.
  [[nodiscard]] RoutePlan Import(const StoredCopy& aCopy) const
  {
    const std::uint32_t end = std::min(aCopy.blocks, m_query.blocks);
    if (end <= m_cached || aCopy.bytes_per_second <= 0) {
      return Recompute();
    }
    RoutePlan best = ImportRange(aCopy, m_cached, end);
    TakeCheaper(best, ImportRange(aCopy, m_cached, HiddenByWait(aCopy, end)));
    if (m_target.computes_during_import) {
      TakeCheaper(best, ImportRange(aCopy, MeetingBlock(aCopy, end), end));
    }
    return best;
  }

private:
  static void TakeCheaper(RoutePlan& aBest, RoutePlan aOther)
  {
    if (aOther.cost < aBest.cost) {
      aBest = std::move(aOther);
    }
  }

  [[nodiscard]] double BlockSeconds(const StoredCopy& aCopy) const
  {
    return std::max(aCopy.bytes_per_block / aCopy.bytes_per_second,
                    kShortestBlock);
  }

  [[nodiscard]] double ComputeSeconds(double aBlocks) const
  {
    return aBlocks * m_query.tokens_per_block / m_rate;
  }

  /// The last block whose import still ends before the wait does.
  [[nodiscard]] std::uint32_t HiddenByWait(const StoredCopy& aCopy,
                                           std::uint32_t aMost) const
  {
    const double room = std::max(0.0, m_start - ToSeconds(aCopy.link_wait));
    return Clamp(m_cached + room / BlockSeconds(aCopy), aMost);
  }

  /// The block where computing from the front meets importing from the back.
  [[nodiscard]] std::uint32_t MeetingBlock(const StoredCopy& aCopy,
                                           std::uint32_t aEnd) const
  {
    const double importing =
      ToSeconds(aCopy.link_wait) + (aEnd - m_cached) * BlockSeconds(aCopy);
    const double ahead = std::max(0.0, importing - m_start);
    const double both = BlockSeconds(aCopy) + ComputeSeconds(1);
    return Clamp(m_cached + ahead / both, aEnd);
  }

  [[nodiscard]] std::uint32_t Clamp(double aBlock, std::uint32_t aMost) const
  {
    const double block = std::min<double>(aMost, aBlock);
    return std::max(m_cached, static_cast<std::uint32_t>(block));
  }

  /// Computes up to aFrom, imports from there to aEnd, computes the rest.
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
    const double use = std::clamp(aCopy.link_use, 0.0, kMostUse);
    RoutePlan plan = Plan(aEnd - aFrom, std::max(computed, arrived), aEnd);
    plan.import = aCopy;
    plan.import_from = aFrom;
    plan.cost += kLinkToll * link * use / (1 - use);
    return plan;
  }

  /// @param aReady when the blocks before aEnd are all there.
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
  double fill;
};

bool
Before(const Ranked& aLeft, const Ranked& aRight)
{
  if (aLeft.plan.cost != aRight.plan.cost) {
    return aLeft.plan.cost < aRight.plan.cost;
  }
  return aLeft.fill < aRight.fill;
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
  std::stable_sort(ranked.begin(), ranked.end(), Before);
  std::vector<RoutePlan> plans;
  plans.reserve(ranked.size());
  for (Ranked& entry : ranked) {
    plans.push_back(std::move(entry.plan));
  }
  return plans;
}

} // namespace jujubehead::core
