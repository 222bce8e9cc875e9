#include "jujubehead/core/membership/holder_ring.hpp"

#include <algorithm> // for find, lower_bound, sort

#include "jujubehead/core/routing/placement.hpp" // for PlacementHash

namespace jujubehead::core {
namespace {

/// Points of one instance. More of them spread the targets more evenly.
constexpr int kPoints = 16;

} // namespace

HolderRing::HolderRing(std::span<const std::string> aIds,
                       std::string_view aSelf)
  : m_size(aIds.size())
{
  m_points.reserve(aIds.size() * kPoints);
  for (std::size_t i = 0; i < aIds.size(); ++i) {
    const auto instance = static_cast<std::uint32_t>(i);
    if (aIds[i] == aSelf) {
      m_self = instance;
    }
    for (int point = 0; point < kPoints; ++point) {
      m_points.push_back(
        { PlacementHash(aIds[i] + '#' + std::to_string(point)), instance });
    }
  }
  std::sort(m_points.begin(),
            m_points.end(),
            [](const Point& aOne, const Point& aOther) {
              return aOne.hash < aOther.hash;
            });
}

std::vector<std::size_t>
HolderRing::First(std::uint64_t aKey, std::size_t aCount) const
{
  const auto point =
    std::lower_bound(m_points.begin(),
                     m_points.end(),
                     aKey,
                     [](const Point& aPoint, std::uint64_t aHash) {
                       return aPoint.hash < aHash;
                     });
  const auto start = static_cast<std::size_t>(point - m_points.begin());
  std::vector<std::size_t> first;
  for (std::size_t i = 0; i < m_points.size() && first.size() < aCount; ++i) {
    const std::size_t instance =
      m_points[(start + i) % m_points.size()].instance;
    if (std::find(first.begin(), first.end(), instance) == first.end()) {
      first.push_back(instance);
    }
  }
  return first;
}

std::size_t
HolderRing::RankOf(std::uint64_t aTarget) const
{
  const std::vector<std::size_t> first = First(aTarget, kMaxRank);
  const auto own = std::find(first.begin(), first.end(), m_self);
  return static_cast<std::size_t>(own - first.begin());
}

} // namespace jujubehead::core
