#include "jujubehead/core/candidates.hpp"

#include <algorithm> // for find, partial_sort
#include <utility>   // for pair
#include <variant>   // for get_if

#include "jujubehead/core/rendezvous.hpp" // for detail::RendezvousWeight

namespace jujubehead::core {
namespace {

/// Collects targets out of the allowed ones, without duplicates.
class CandidateList
{
public:
  explicit CandidateList(std::span<const TargetId> aTargets)
    : m_targets(aTargets)
  {
  }

  void AddHolders(std::span<const PrefixHint> aHints, std::size_t aCount)
  {
    const std::size_t end = m_picked.size() + aCount;
    for (const PrefixHint& hint : aHints) {
      const auto* target = std::get_if<TargetId>(&hint.holder);
      if (target != nullptr && m_picked.size() < end &&
          IsIn(m_targets, *target)) {
        Add(*target);
      }
    }
  }

  void AddHashed(const ContextKey& aRoot, std::size_t aCount)
  {
    std::vector<std::pair<std::uint64_t, const TargetId*>> weighted;
    weighted.reserve(m_targets.size());
    for (const TargetId& target : m_targets) {
      weighted.emplace_back(detail::RendezvousWeight(aRoot, target.View()),
                            &target);
    }
    const std::size_t count = std::min(aCount, weighted.size());
    std::partial_sort(weighted.begin(),
                      weighted.begin() + static_cast<std::ptrdiff_t>(count),
                      weighted.end(),
                      [](const auto& aLeft, const auto& aRight) {
                        return aLeft.first != aRight.first
                                 ? aLeft.first > aRight.first
                                 : *aLeft.second < *aRight.second;
                      });
    for (std::size_t i = 0; i < count; ++i) {
      Add(*weighted[i].second);
    }
  }

  /// Draws uniformly from the targets that are not picked yet.
  void AddRandom(std::uint64_t aDraw, std::size_t aCount)
  {
    std::vector<const TargetId*> remaining;
    for (const TargetId& target : m_targets) {
      if (!IsIn(m_picked, target)) {
        remaining.push_back(&target);
      }
    }
    for (std::size_t i = 0; i < aCount && !remaining.empty(); ++i) {
      const auto chosen = remaining.begin() +
                          static_cast<std::ptrdiff_t>(aDraw % remaining.size());
      aDraw /= remaining.size();
      Add(**chosen);
      remaining.erase(chosen);
    }
  }

  [[nodiscard]] std::vector<TargetId> Take() { return std::move(m_picked); }

private:
  static bool IsIn(std::span<const TargetId> aTargets, const TargetId& aTarget)
  {
    return std::find(aTargets.begin(), aTargets.end(), aTarget) !=
           aTargets.end();
  }

  void Add(const TargetId& aTarget)
  {
    if (!IsIn(m_picked, aTarget)) {
      m_picked.push_back(aTarget);
    }
  }

  std::span<const TargetId> m_targets;
  std::vector<TargetId> m_picked;
};

} // namespace

std::vector<TargetId>
PickCandidates(std::span<const PrefixHint> aHints,
               const ContextKey& aRoot,
               std::span<const TargetId> aTargets,
               std::uint64_t aDraw,
               const CandidateSettings& aSettings)
{
  CandidateList candidates(aTargets);
  candidates.AddHolders(aHints, aSettings.holders);
  candidates.AddHashed(aRoot, aSettings.hashed);
  candidates.AddRandom(aDraw, aSettings.random);
  return candidates.Take();
}

} // namespace jujubehead::core
