#include "jujubehead/core/candidates.hpp"

#include <algorithm> // for find, partial_sort
#include <utility>   // for pair
#include <variant>   // for get_if

#include "jujubehead/core/rendezvous.hpp" // for detail::RendezvousWeight

namespace jujubehead::core {
namespace {

/// Collects targets that are among the allowed ones, each once.
class Picker
{
public:
  explicit Picker(std::span<const TargetId> aTargets)
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

  void AddHomes(const ContextKey& aRoot, std::size_t aCount)
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

  /// Every target is as likely as any other that is not picked yet.
  void AddOthers(std::uint64_t aDraw, std::size_t aCount)
  {
    std::vector<const TargetId*> rest;
    for (const TargetId& target : m_targets) {
      if (!IsIn(m_picked, target)) {
        rest.push_back(&target);
      }
    }
    for (std::size_t i = 0; i < aCount && !rest.empty(); ++i) {
      const auto place =
        rest.begin() + static_cast<std::ptrdiff_t>(aDraw % rest.size());
      aDraw /= rest.size();
      Add(**place);
      rest.erase(place);
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
  Picker picker(aTargets);
  picker.AddHolders(aHints, aSettings.holders);
  picker.AddHomes(aRoot, aSettings.homes);
  picker.AddOthers(aDraw, aSettings.others);
  return picker.Take();
}

} // namespace jujubehead::core
