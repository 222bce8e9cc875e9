#include "jujubehead/core/routing/target_book.hpp"

#include <algorithm> // for find_if, count_if
#include <set>       // for set
#include <tuple>     // for tie
#include <utility>   // for move

namespace jujubehead::core {
namespace {

/// Whether routing sees a difference; a heartbeat alone is none.
bool
LooksTheSame(const RegisteredTarget& aOne, const RegisteredTarget& aOther)
{
  const auto tie = [](const RegisteredTarget& aTarget) {
    return std::tie(aTarget.service,
                    aTarget.address,
                    aTarget.data_centre,
                    aTarget.slots,
                    aTarget.leaving,
                    aTarget.models,
                    aTarget.born_ms);
  };
  return tie(aOne) == tie(aOther);
}

bool
IsOlder(const RegisteredTarget& aReport, const RegisteredTarget& aKnown)
{
  return std::tie(aReport.born_ms, aReport.heartbeat) <
         std::tie(aKnown.born_ms, aKnown.heartbeat);
}

} // namespace

std::optional<std::uint64_t>
RegisteredTarget::VersionOf(const ModelId& aModel) const
{
  const auto found =
    std::find_if(models.begin(), models.end(), [&](const LoadedModel& aLoaded) {
      return aLoaded.model == aModel;
    });
  return found == models.end() ? std::nullopt
                               : std::optional<std::uint64_t>(found->version);
}

TargetBook::TargetBook(TargetBookOptions aOptions)
  : m_options(aOptions)
{
}

void
TargetBook::OnAnswer(Instant aNow)
{
  if (m_is_away) {
    m_returned = aNow;
  }
  m_is_away = false;
}

bool
TargetBook::IsReturning(Instant aNow) const
{
  return m_returned && aNow - *m_returned < m_options.return_time;
}

bool
TargetBook::IsLateReport(const RegisteredTarget& aTarget) const
{
  const auto found = m_gone.find(aTarget.id);
  if (found == m_gone.end()) {
    return false;
  }
  const RegisteredTarget& last = found->second.target;
  const bool same_start = last.born_ms == aTarget.born_ms;
  return !IsOlder(last, aTarget) || (same_start && last.leaving);
}

bool
TargetBook::Put(RegisteredTarget aTarget)
{
  if (IsLateReport(aTarget)) {
    return false;
  }
  m_gone.erase(aTarget.id);
  const auto [entry, is_new] =
    m_entries.try_emplace(aTarget.id, Entry{ aTarget, std::nullopt });
  if (is_new) {
    return true;
  }
  Entry& known = entry->second;
  if (IsOlder(aTarget, known.target)) {
    return false;
  }
  known.lapsed_until.reset();
  aTarget.leaving |=
    known.target.leaving && known.target.born_ms == aTarget.born_ms;
  const bool changed = !LooksTheSame(aTarget, known.target);
  known.target = std::move(aTarget);
  return changed;
}

bool
TargetBook::Remove(const TargetId& aId, Instant aNow)
{
  const auto found = m_entries.find(aId);
  if (found == m_entries.end()) {
    return false;
  }
  if (IsReturning(aNow) && !found->second.target.leaving) {
    if (!found->second.lapsed_until) {
      found->second.lapsed_until = *m_returned + m_options.return_time;
    }
    return false;
  }
  m_gone[aId] = { found->second.target, aNow };
  m_entries.erase(found);
  return true;
}

bool
TargetBook::Apply(const std::vector<RegistrationChange>& aChanges, Instant aNow)
{
  bool changed = false;
  for (const RegistrationChange& change : aChanges) {
    changed |= change.target ? Put(*change.target) : Remove(change.id, aNow);
  }
  return changed;
}

bool
TargetBook::Replace(const std::vector<RegisteredTarget>& aAll, Instant aNow)
{
  bool changed = false;
  std::set<TargetId> present;
  for (const RegisteredTarget& target : aAll) {
    present.insert(target.id);
    changed |= Put(target);
  }
  std::vector<TargetId> absent;
  for (const auto& [id, entry] : m_entries) {
    if (!present.contains(id)) {
      absent.push_back(id);
    }
  }
  for (const TargetId& id : absent) {
    changed |= Remove(id, aNow);
  }
  return changed;
}

bool
TargetBook::Tick(Instant aNow)
{
  std::erase_if(m_gone, [&](const auto& aEntry) {
    return aNow - aEntry.second.since > m_options.memory_time;
  });
  const std::size_t dropped = std::erase_if(m_entries, [&](const auto& aEntry) {
    return aEntry.second.lapsed_until && aNow >= *aEntry.second.lapsed_until;
  });
  return dropped != 0;
}

std::vector<RegisteredTarget>
TargetBook::Targets() const
{
  std::vector<RegisteredTarget> targets;
  targets.reserve(m_entries.size());
  for (const auto& [id, entry] : m_entries) {
    targets.push_back(entry.target);
  }
  return targets;
}

std::size_t
TargetBook::Lapsed() const
{
  return static_cast<std::size_t>(
    std::count_if(m_entries.begin(), m_entries.end(), [](const auto& aEntry) {
      return aEntry.second.lapsed_until.has_value();
    }));
}

} // namespace jujubehead::core
