#include "jujubehead/core/routing/target_directory.hpp"

#include <algorithm> // for find_if
#include <tuple>     // for tie
#include <utility>   // for move

namespace jujubehead::core {
namespace {

/// Compares all that routing uses, so not the heartbeat.
bool
IsSameForRouting(const RegisteredTarget& aOne, const RegisteredTarget& aOther)
{
  const auto tie = [](const RegisteredTarget& aTarget) {
    return std::tie(aTarget.service,
                    aTarget.address,
                    aTarget.data_centre,
                    aTarget.slots,
                    aTarget.leaving,
                    aTarget.software_version,
                    aTarget.models,
                    aTarget.started_ms);
  };
  return tie(aOne) == tie(aOther);
}

/// Whether a report tells of a cold period that the known one does not cover,
/// or of its end.
bool
ChangesColdPeriod(const RegisteredTarget& aKnown,
                  const RegisteredTarget& aReport)
{
  const bool is_cold = aReport.cold_left > Duration(0);
  return is_cold ? aReport.cold_until > aKnown.cold_until
                 : aKnown.cold_left > Duration(0);
}

bool
IsOlder(const RegisteredTarget& aReport, const RegisteredTarget& aKnown)
{
  return std::tie(aReport.started_ms, aReport.heartbeat) <
         std::tie(aKnown.started_ms, aKnown.heartbeat);
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

TargetDirectory::TargetDirectory(TargetDirectoryOptions aOptions)
  : m_options(aOptions)
{
}

void
TargetDirectory::OnAnswer(Instant aNow)
{
  if (m_is_unavailable) {
    m_outage_end = aNow;
  }
  m_is_unavailable = false;
}

bool
TargetDirectory::IsReregistering(Instant aNow) const
{
  return m_outage_end && aNow - *m_outage_end < m_options.reregistration_time;
}

bool
TargetDirectory::IsLateReport(const RegisteredTarget& aTarget) const
{
  const auto found = m_removed.find(aTarget.id);
  if (found == m_removed.end()) {
    return false;
  }
  const RegisteredTarget& last = found->second.target;
  const bool same_start = last.started_ms == aTarget.started_ms;
  return !IsOlder(last, aTarget) || (same_start && last.leaving);
}

bool
TargetDirectory::Put(RegisteredTarget aTarget, Instant aNow)
{
  if (IsLateReport(aTarget)) {
    return false;
  }
  // Counted from the receipt of the report, this is never before the real end.
  aTarget.cold_until =
    aTarget.cold_left > Duration(0) ? aNow + aTarget.cold_left : Instant{};
  m_removed.erase(aTarget.id);
  const auto [entry, is_new] =
    m_entries.try_emplace(aTarget.id, Entry{ aTarget, std::nullopt });
  if (is_new) {
    Count(entry->second);
    m_changed.insert(aTarget.id);
    return true;
  }
  Entry& known = entry->second;
  if (IsOlder(aTarget, known.target)) {
    return false;
  }
  if (!IsOlder(known.target, aTarget)) {
    aTarget.cold_until = known.target.cold_until; // The same report again.
  }
  Uncount(known);
  known.kept_until.reset();
  aTarget.leaving |=
    known.target.leaving && known.target.started_ms == aTarget.started_ms;
  const bool changed = !IsSameForRouting(aTarget, known.target) ||
                       ChangesColdPeriod(known.target, aTarget);
  if (changed) {
    m_changed.insert(aTarget.id);
  }
  known.target = std::move(aTarget);
  Count(known);
  return changed;
}

bool
TargetDirectory::Remove(const TargetId& aId, Instant aNow)
{
  const auto found = m_entries.find(aId);
  if (found == m_entries.end()) {
    return false;
  }
  if (IsReregistering(aNow) && !found->second.target.leaving) {
    if (!found->second.kept_until) {
      found->second.kept_until = *m_outage_end + m_options.reregistration_time;
      ++m_expired;
    }
    return false;
  }
  Uncount(found->second);
  m_removed[aId] = { found->second.target, aNow };
  m_entries.erase(found);
  m_changed.insert(aId);
  return true;
}

bool
TargetDirectory::Apply(const std::vector<RegistrationChange>& aChanges,
                       Instant aNow)
{
  bool changed = false;
  for (const RegistrationChange& change : aChanges) {
    changed |=
      change.target ? Put(*change.target, aNow) : Remove(change.id, aNow);
  }
  return changed;
}

bool
TargetDirectory::Replace(const std::vector<RegisteredTarget>& aAll,
                         Instant aNow)
{
  bool changed = false;
  std::set<TargetId> present;
  for (const RegisteredTarget& target : aAll) {
    present.insert(target.id);
    changed |= Put(target, aNow);
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
TargetDirectory::Tick(Instant aNow)
{
  std::erase_if(m_removed, [&](const auto& aEntry) {
    return aNow - aEntry.second.since > m_options.removed_retention;
  });
  if (m_expired == 0) {
    return false;
  }
  const std::size_t dropped = std::erase_if(m_entries, [&](const auto& aEntry) {
    const Entry& entry = aEntry.second;
    const bool is_due = entry.kept_until && aNow >= *entry.kept_until;
    if (is_due) {
      Uncount(entry);
      m_changed.insert(aEntry.first);
    }
    return is_due;
  });
  return dropped != 0;
}

void
TargetDirectory::Count(const Entry& aEntry)
{
  m_leaving += aEntry.target.leaving ? 1 : 0;
  m_expired += aEntry.kept_until ? 1 : 0;
}

void
TargetDirectory::Uncount(const Entry& aEntry)
{
  m_leaving -= aEntry.target.leaving ? 1 : 0;
  m_expired -= aEntry.kept_until ? 1 : 0;
}

std::vector<RegistrationChange>
TargetDirectory::TakeChanges()
{
  std::vector<RegistrationChange> changes;
  changes.reserve(m_changed.size());
  for (const TargetId& id : m_changed) {
    const auto found = m_entries.find(id);
    changes.push_back(
      { id,
        found == m_entries.end()
          ? std::nullopt
          : std::optional<RegisteredTarget>(found->second.target) });
  }
  m_changed.clear();
  return changes;
}

std::vector<RegisteredTarget>
TargetDirectory::Targets() const
{
  std::vector<RegisteredTarget> targets;
  targets.reserve(m_entries.size());
  for (const auto& [id, entry] : m_entries) {
    targets.push_back(entry.target);
  }
  return targets;
}

} // namespace jujubehead::core
