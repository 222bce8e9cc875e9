#include "jujubehead/core/retention_policy.hpp"

#include <algorithm> // for clamp, sort
#include <numeric>   // for iota

namespace jujubehead::core {
namespace {

/// Upper bound of link utilization, so that the estimated queueing delay stays
/// finite.
constexpr double kMaxUtilization = 0.95;

} // namespace

double
ReuseValue(double aSeconds, double aTokens, double aRecomputePrice)
{
  const double tokens = aTokens * aRecomputePrice;
  const double weight = aSeconds > 0 ? tokens / aSeconds : 0;
  return aSeconds * aSeconds / (1 + weight * weight) + tokens;
}

double
RetentionPrice(const ReuseModel& aModel, const RetentionInput& aValue)
{
  if (aValue.bytes == 0) {
    return 0;
  }
  return aModel.ReuseRate(aValue.account, aValue.idle) * aValue.reuse_value /
         static_cast<double>(aValue.bytes);
}

double
ExportGain(const ReuseModel& aModel, const ExportInput& aView)
{
  if (aView.bytes_per_second <= 0 || aView.value.bytes == 0) {
    return 0;
  }
  const double probability = aModel.ReuseProbability(
    aView.value.account, aView.value.idle, aView.expected_retention);
  const double utilization = std::clamp(aView.link_use, 0.0, kMaxUtilization);
  const double transfer_seconds =
    static_cast<double>(aView.bytes_to_move) / aView.bytes_per_second;
  const double missing_share = static_cast<double>(aView.bytes_to_move) /
                               static_cast<double>(aView.value.bytes);
  const double import_seconds = transfer_seconds / (1 - utilization);
  const double saved_seconds = missing_share * (aView.value.recompute_seconds +
                                                aView.token_price_seconds) -
                               import_seconds;
  const double delay = transfer_seconds * utilization / (1 - utilization);
  return probability * saved_seconds - delay;
}

std::optional<std::vector<std::size_t>>
ChooseVictims(std::span<const EvictionCandidate> aCopies,
              std::uint64_t aBytesNeeded,
              double aNewPrice)
{
  std::vector<std::size_t> order(aCopies.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  std::sort(
    order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return aCopies[aLeft].price < aCopies[aRight].price;
    });
  std::vector<std::size_t> victims;
  std::uint64_t freed = 0;
  for (const std::size_t index : order) {
    if (freed >= aBytesNeeded) {
      break;
    }
    if (aCopies[index].price >= aNewPrice) {
      return std::nullopt;
    }
    freed += aCopies[index].bytes;
    victims.push_back(index);
  }
  if (freed < aBytesNeeded) {
    return std::nullopt;
  }
  return victims;
}

} // namespace jujubehead::core
