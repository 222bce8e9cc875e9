#include "jujubehead/core/routing/load_news.hpp"

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

HeardLoad
GoneTarget(const TargetId& aTarget, Instant aNow)
{
  return { KeyOf(aTarget), kLoadOfGone, aNow, true };
}

void
LoadNews::Put(const HeardLoad& aLoad)
{
  const auto [known, is_new] = m_loads.try_emplace(aLoad.target, aLoad);
  if (!is_new && aLoad.heard > known->second.heard) {
    known->second = aLoad;
  }
}

std::vector<HeardLoad>
LoadNews::Busiest(Instant aNow)
{
  std::erase_if(m_loads, [&](const auto& aEntry) {
    return aNow - aEntry.second.heard > m_options.max_age;
  });
  std::vector<HeardLoad> busiest;
  busiest.reserve(m_loads.size());
  for (const auto& [target, load] : m_loads) {
    busiest.push_back(load);
  }
  std::sort(busiest.begin(),
            busiest.end(),
            [](const HeardLoad& aOne, const HeardLoad& aOther) {
              return RequestsPerSlot(aOne.load) > RequestsPerSlot(aOther.load);
            });
  if (busiest.size() > m_options.max_reports) {
    busiest.resize(m_options.max_reports);
  }
  return busiest;
}

std::vector<HeardLoad>
LoadNews::TakeBusiest(Instant aNow)
{
  std::vector<HeardLoad> busiest = Busiest(aNow);
  m_loads.clear();
  return busiest;
}

} // namespace jujubehead::core
