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

/// More requests per slot than any target has.
constexpr ReportedLoad kLoadOfGone{ 64, 64, 1 };

} // namespace

TargetKey
KeyOf(const TargetId& aTarget)
{
  return static_cast<TargetKey>(PlacementHash(aTarget.View()));
}

TargetLoadReport
GoneTargetReport(const TargetId& aTarget, Instant aNow)
{
  return { KeyOf(aTarget), kLoadOfGone, aNow, true };
}

void
LoadReports::Put(const TargetLoadReport& aLoad)
{
  const auto [known, is_new] = m_loads.try_emplace(aLoad.target, aLoad);
  if (!is_new && aLoad.reported_at > known->second.reported_at) {
    known->second = aLoad;
  }
}

std::vector<TargetLoadReport>
LoadReports::Busiest(Instant aNow)
{
  std::erase_if(m_loads, [&](const auto& aEntry) {
    return aNow - aEntry.second.reported_at > m_options.max_age;
  });
  std::vector<TargetLoadReport> busiest;
  busiest.reserve(m_loads.size());
  for (const auto& [target, load] : m_loads) {
    busiest.push_back(load);
  }
  std::sort(busiest.begin(),
            busiest.end(),
            [](const TargetLoadReport& aOne, const TargetLoadReport& aOther) {
              return RequestsPerSlot(aOne.load) > RequestsPerSlot(aOther.load);
            });
  if (busiest.size() > m_options.max_reports) {
    busiest.resize(m_options.max_reports);
  }
  return busiest;
}

std::vector<TargetLoadReport>
LoadReports::TakeBusiest(Instant aNow)
{
  std::vector<TargetLoadReport> busiest = Busiest(aNow);
  m_loads.clear();
  return busiest;
}

} // namespace jujubehead::core
