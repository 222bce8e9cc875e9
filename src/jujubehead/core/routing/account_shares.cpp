#include "jujubehead/core/routing/account_shares.hpp"

#include <algorithm> // for max, min, sort
#include <chrono>    // for duration
#include <cmath>     // for exp2, log

#include "jujubehead/core/routing/placement.hpp" // for PlacementHash

namespace jujubehead::core {
namespace {

using Seconds = std::chrono::duration<double>;

/// Half-life of demands: several reports, and a fraction of a burst.
constexpr Seconds kHalfLife{ 2 };
/// A demand below this is forgotten.
constexpr double kMinTokensPerSecond = 1;
constexpr unsigned kKeyBits = 16;
/// Demands change little within this time.
constexpr Duration kTotalsInterval = std::chrono::milliseconds(100);

std::uint16_t
ShortHash(std::string_view aName)
{
  return static_cast<std::uint16_t>(PlacementHash(aName));
}

std::uint32_t
Index(const AccountDemand& aDemand)
{
  return (static_cast<std::uint32_t>(aDemand.account) << kKeyBits) |
         aDemand.instance;
}

} // namespace

AccountHash
HashOf(const AccountId& aAccount)
{
  return static_cast<AccountHash>(ShortHash(aAccount.View()));
}

double
AccountShares::Rate::As(Instant aNow) const
{
  const Seconds age = std::max(aNow - at, Duration(0));
  return tokens_per_second * std::exp2(-(age / kHalfLife));
}

void
AccountShares::OnRequest(const AccountId& aAccount,
                         double aTokens,
                         Instant aNow)
{
  Rate& rate = m_own[HashOf(aAccount)];
  // The weight with which a steady demand has this rate.
  const double weight = std::log(2.0) / kHalfLife.count();
  rate.tokens_per_second = rate.As(aNow) + aTokens * weight;
  rate.at = aNow;
}

void
AccountShares::OnReport(const AccountDemand& aDemand, Instant aReportedAt)
{
  Rate& rate = m_reported[Index(aDemand)];
  if (aReportedAt > rate.at) {
    rate = { aDemand.tokens_per_second, aReportedAt };
  }
}

std::vector<AccountDemand>
AccountShares::Report(const InstanceId& aSelf, Instant aNow) const
{
  std::vector<AccountDemand> all;
  for (const auto& [account, rate] : m_own) {
    const double now = rate.As(aNow);
    if (now >= kMinTokensPerSecond) {
      all.push_back({ account, ShortHash(aSelf.View()), now });
    }
  }
  std::sort(all.begin(),
            all.end(),
            [](const AccountDemand& aOne, const AccountDemand& aOther) {
              return aOne.tokens_per_second > aOther.tokens_per_second;
            });
  all.resize(std::min(all.size(), kMaxReported));
  return all;
}

void
AccountShares::UpdateTotals(Instant aNow)
{
  if (aNow - m_totals_at < kTotalsInterval && !m_totals.empty()) {
    return;
  }
  m_totals_at = aNow;
  m_totals.clear();
  for (const auto& [account, rate] : m_own) {
    m_totals[account] += rate.As(aNow);
  }
  for (const auto& [index, rate] : m_reported) {
    m_totals[static_cast<AccountHash>(index >> kKeyBits)] += rate.As(aNow);
  }
  m_demands.clear();
  m_total = 0;
  for (const auto& [account, demand] : m_totals) {
    m_demands.push_back(demand);
    m_total += demand;
  }
  std::sort(m_demands.begin(), m_demands.end());
}

double
AccountShares::ShareFor(const AccountId& aAccount, double aOfAll, Instant aNow)
{
  if (aOfAll <= 0 || aOfAll >= 1) {
    return aOfAll;
  }
  UpdateTotals(aNow);
  const auto found = m_totals.find(HashOf(aAccount));
  if (found == m_totals.end() || found->second < kMinTokensPerSecond) {
    return 1;
  }
  const double level = MaxMinLevel(m_demands, aOfAll * m_total);
  return std::min(1.0, level / found->second);
}

void
AccountShares::Tick(Instant aNow)
{
  const auto is_over = [&](const auto& aEntry) {
    return aEntry.second.As(aNow) < kMinTokensPerSecond;
  };
  std::erase_if(m_own, is_over);
  std::erase_if(m_reported, is_over);
}

double
MaxMinLevel(std::span<const double> aDemands, double aRoom)
{
  double left = aRoom;
  for (std::size_t i = 0; i < aDemands.size(); ++i) {
    const double equal = left / static_cast<double>(aDemands.size() - i);
    if (aDemands[i] >= equal) {
      return equal;
    }
    left -= aDemands[i];
  }
  return aDemands.empty() ? 0 : aDemands.back();
}

} // namespace jujubehead::core
