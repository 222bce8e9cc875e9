#include "jujubehead/core/routing/load_reports.hpp"

#include <algorithm> // for max, sort
#include <utility>   // for move

#include "jujubehead/core/routing/placement.hpp" // for PlacementHash

namespace jujubehead::core {
namespace {

double
RequestsPerSlot(const ReportedLoad& aLoad)
{
  const double requests = static_cast<double>(aLoad.running) + aLoad.waiting;
  return requests / std::max(aLoad.slots, 1U);
}

/// Of an account's and of an instance's hash in a report's key.
constexpr unsigned kHashBits = 16;

/// More requests per slot than any target has: ranks a report above all loads.
constexpr ReportedLoad kAboveAllLoads{ 64, 64, 1 };

} // namespace

TargetKey
KeyOf(const TargetId& aTarget)
{
  return static_cast<TargetKey>(PlacementHash(aTarget.View()));
}

TargetLoadReport
GoneTargetReport(const TargetId& aTarget, Instant aNow)
{
  return { KeyOf(aTarget), kAboveAllLoads, aNow, true };
}

TargetLoadReport
LimitReport(const TargetId& aTarget,
            std::optional<double> aPerSecond,
            Instant aNow)
{
  TargetLoadReport report{ KeyOf(aTarget), kAboveAllLoads, aNow };
  report.kind = ReportKind::kLimit;
  report.limit = aPerSecond;
  return report;
}

TargetKey
KeyOf(const ServiceId& aService)
{
  return static_cast<TargetKey>(PlacementHash(aService.View()));
}

TargetLoadReport
BrittleReport(const ServiceId& aService,
              std::optional<std::uint32_t> aMaxRejections,
              Instant aSent)
{
  TargetLoadReport report{ KeyOf(aService), kAboveAllLoads, aSent };
  report.kind = ReportKind::kBrittle;
  report.max_rejections = aMaxRejections;
  return report;
}

TargetLoadReport
AccountReport(const AccountDemand& aDemand, Instant aNow)
{
  const std::uint32_t key =
    (static_cast<std::uint32_t>(aDemand.account) << kHashBits) |
    aDemand.instance;
  TargetLoadReport report{ static_cast<TargetKey>(key), {}, aNow };
  report.kind = ReportKind::kAccount;
  report.tokens_per_second = aDemand.tokens_per_second;
  return report;
}

AccountDemand
DemandOf(const TargetLoadReport& aReport)
{
  const auto key = static_cast<std::uint32_t>(aReport.target);
  return { static_cast<AccountHash>(key >> kHashBits),
           static_cast<std::uint16_t>(key),
           aReport.tokens_per_second };
}

void
LoadReports::Put(const TargetLoadReport& aLoad)
{
  const Key key{ aLoad.target, aLoad.kind };
  const auto [known, is_new] = m_loads.try_emplace(key);
  Entry& entry = known->second;
  if (!is_new) {
    if (aLoad.reported_at <= entry.report.reported_at) {
      return;
    }
    m_by_position.erase(entry.position);
  }
  entry = { aLoad, ++m_last };
  m_by_position.emplace(m_last, key);
}

void
LoadReports::DropOld(Instant aNow)
{
  const auto is_old = [&](const Key& aKey) {
    return aNow - m_loads.at(aKey).report.reported_at > m_options.max_age;
  };
  // Reports are put in about the order of their age.
  while (!m_by_position.empty() && is_old(m_by_position.begin()->second)) {
    m_loads.erase(m_by_position.begin()->second);
    m_by_position.erase(m_by_position.begin());
  }
}

void
LoadReports::KeepBusiest(std::vector<TargetLoadReport>& aReports) const
{
  std::sort(aReports.begin(),
            aReports.end(),
            [](const TargetLoadReport& aOne, const TargetLoadReport& aOther) {
              return RequestsPerSlot(aOne.load) > RequestsPerSlot(aOther.load);
            });
  if (aReports.size() > m_options.max_reports) {
    aReports.resize(m_options.max_reports);
  }
}

LoadReports::Page
LoadReports::BusiestAfter(std::uint64_t aAfter, Instant aNow)
{
  DropOld(aNow);
  Page page;
  page.next = m_last;
  for (auto at = m_by_position.upper_bound(aAfter); at != m_by_position.end();
       ++at) {
    const TargetLoadReport& report = m_loads.at(at->second).report;
    if (aNow - report.reported_at <= m_options.max_age) {
      page.reports.push_back(report);
    }
  }
  KeepBusiest(page.reports);
  return page;
}

std::vector<TargetLoadReport>
LoadReports::Busiest(Instant aNow)
{
  return BusiestAfter(0, aNow).reports;
}

std::vector<TargetLoadReport>
LoadReports::TakeBusiest(Instant aNow)
{
  std::vector<TargetLoadReport> busiest = Busiest(aNow);
  m_loads.clear();
  m_by_position.clear();
  return busiest;
}

} // namespace jujubehead::core
