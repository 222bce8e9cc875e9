#include "jujubehead/core/routing/poison_requests.hpp"

#include <algorithm> // for any_of, count_if, max, min, min_element, sort

#include "jujubehead/core/routing/placement.hpp" // for PlacementHash

namespace jujubehead::core {
namespace {

/// Crashes kept of a suspect; the newest count.
constexpr std::size_t kMaxCrashes = 16;
/// Error of times that another instance reported.
constexpr Duration kTimeError = std::chrono::seconds(1);

} // namespace

DataCentreKey
KeyOf(const DataCentreId& aDataCentre)
{
  return static_cast<DataCentreKey>(PlacementHash(aDataCentre.View()));
}

PoisonRequests::Outcome
PoisonRequests::OnReport(const PoisonReport& aReport, Instant aNow)
{
  struct Apply
  {
    PoisonRequests& poison;
    Instant now;
    Outcome operator()(const CrashReport& aCrash) const
    {
      return poison.OnCrash(aCrash, now);
    }
    Outcome operator()(const CompletionReport& aCompletion) const
    {
      return poison.OnCompletion(aCompletion, now);
    }
  };
  return std::visit(Apply{ *this, aNow }, aReport);
}

PoisonRequests::Outcome
PoisonRequests::OnCrash(const CrashReport& aReport, Instant aNow)
{
  if (aNow - aReport.crashed > m_options.suspect_ttl) {
    return {};
  }
  if (!m_suspects.contains(aReport.fingerprint)) {
    MakeRoom(aNow);
  }
  Suspect& suspect = m_suspects[aReport.fingerprint];
  if (suspect.expires <= aNow) {
    suspect = {};
  }
  const bool is_known = std::any_of(
    suspect.crashes.begin(), suspect.crashes.end(), [&](const auto& aCrash) {
      return aCrash.target == aReport.target;
    });
  if (is_known || HasCompletedSince(suspect, aReport.crashed)) {
    return {};
  }
  suspect.crashes.push_back(aReport);
  Count(suspect);
  suspect.expires =
    std::max(suspect.expires, aReport.crashed + m_options.suspect_ttl);
  Outcome outcome{ true, std::nullopt };
  if (BeginsQuarantine(suspect, aReport)) {
    const Instant until = aReport.crashed + LengthOf(++suspect.quarantines);
    suspect.quarantined_until = until;
    suspect.expires = until + m_options.quarantine_retention;
    outcome.quarantine =
      Quarantine{ aReport.fingerprint, until, suspect.quarantines };
  }
  return outcome;
}

PoisonRequests::Outcome
PoisonRequests::OnCompletion(const CompletionReport& aReport, Instant aNow)
{
  const auto found = m_suspects.find(aReport.fingerprint);
  if (found == m_suspects.end() ||
      HasCompletedSince(found->second, aReport.completed)) {
    return {};
  }
  Suspect& suspect = found->second;
  suspect.completed = aReport.completed;
  std::erase_if(suspect.crashes, [&](const CrashReport& aCrash) {
    return aCrash.crashed <= aReport.completed;
  });
  Count(suspect);
  Outcome outcome{ true, std::nullopt };
  if (suspect.quarantines > 0) {
    outcome.quarantine = Quarantine{ aReport.fingerprint, Instant{} };
    suspect.expires = aNow + m_options.suspect_ttl;
  }
  suspect.quarantined_until = {};
  suspect.quarantines = 0;
  return outcome;
}

void
PoisonRequests::OnRecorded(const Quarantine& aQuarantine, Instant aNow)
{
  if (aQuarantine.IsReleased()) {
    m_suspects.erase(aQuarantine.fingerprint);
    return;
  }
  const Instant expires = aQuarantine.until + m_options.quarantine_retention;
  if (expires <= aNow) {
    return;
  }
  if (!m_suspects.contains(aQuarantine.fingerprint)) {
    MakeRoom(aNow);
  }
  Suspect& suspect = m_suspects[aQuarantine.fingerprint];
  const Instant begun = aQuarantine.until - LengthOf(aQuarantine.count);
  if (HasCompletedSince(suspect, begun)) {
    return; // Its record is about to be removed.
  }
  suspect.quarantined_until =
    std::max(suspect.quarantined_until, aQuarantine.until);
  suspect.quarantines = std::max(suspect.quarantines, aQuarantine.count);
  suspect.expires = std::max(suspect.expires, expires);
}

bool
PoisonRequests::HasCompletedSince(const Suspect& aSuspect, Instant aTime)
{
  return aSuspect.completed && *aSuspect.completed >= aTime;
}

/// Counts runs of which each began after the target of the one before had
/// crashed, beginning with the one that ended first.
void
PoisonRequests::Count(Suspect& aSuspect)
{
  std::sort(aSuspect.crashes.begin(),
            aSuspect.crashes.end(),
            [](const CrashReport& aOne, const CrashReport& aOther) {
              return aOne.crashed < aOther.crashed;
            });
  if (aSuspect.crashes.size() > kMaxCrashes) {
    aSuspect.crashes.erase(aSuspect.crashes.begin());
  }
  aSuspect.crash_count = 0;
  const CrashReport* last = nullptr;
  for (const CrashReport& crash : aSuspect.crashes) {
    if (last == nullptr || crash.sent >= last->crashed ||
        crash.data_centre != last->data_centre) {
      ++aSuspect.crash_count;
      last = &crash;
    }
  }
}

bool
PoisonRequests::BeginsQuarantine(const Suspect& aSuspect,
                                 const CrashReport& aCrash) const
{
  if (aSuspect.quarantines == 0) {
    return aSuspect.crash_count >= m_options.max_crashes;
  }
  // Runs that were sent before all instances knew of the quarantine.
  return aCrash.sent + kTimeError >= aSuspect.quarantined_until;
}

Duration
PoisonRequests::LengthOf(std::uint32_t aQuarantine) const
{
  Duration length = m_options.first_quarantine;
  for (; aQuarantine > 1 && length < m_options.max_quarantine; --aQuarantine) {
    length *= m_options.growth;
  }
  return std::min(length, m_options.max_quarantine);
}

bool
PoisonRequests::NeedsCompletion(RequestFingerprint aFingerprint,
                                Instant aNow) const
{
  const auto found = m_suspects.find(aFingerprint);
  return found != m_suspects.end() &&
         (found->second.crash_count > 0 || !found->second.completed ||
          aNow - *found->second.completed >= m_options.completion_interval);
}

std::uint32_t
PoisonRequests::CrashCount(RequestFingerprint aFingerprint) const
{
  const auto found = m_suspects.find(aFingerprint);
  return found == m_suspects.end() ? 0 : found->second.crash_count;
}

std::optional<Instant>
PoisonRequests::QuarantinedUntil(RequestFingerprint aFingerprint) const
{
  const auto found = m_suspects.find(aFingerprint);
  if (found == m_suspects.end() || found->second.quarantines == 0) {
    return std::nullopt;
  }
  return found->second.quarantined_until;
}

std::optional<Quarantine>
PoisonRequests::NextQuarantine(RequestFingerprint aFingerprint,
                               Instant aNow) const
{
  const auto until = QuarantinedUntil(aFingerprint);
  if (!until || *until > aNow) {
    return std::nullopt;
  }
  const std::uint32_t count = m_suspects.at(aFingerprint).quarantines + 1;
  return Quarantine{ aFingerprint, aNow + LengthOf(count), count };
}

bool
PoisonRequests::AllowsProbe(const Quarantine& aBegun) const
{
  return aBegun.count <= 1 + m_options.max_probes; // The first has no probe.
}

std::size_t
PoisonRequests::Quarantined() const
{
  return static_cast<std::size_t>(
    std::count_if(m_suspects.begin(), m_suspects.end(), [](const auto& aOne) {
      return aOne.second.quarantines > 0;
    }));
}

void
PoisonRequests::Tick(Instant aNow)
{
  std::erase_if(m_suspects,
                [&](const auto& aOne) { return aOne.second.expires <= aNow; });
}

void
PoisonRequests::MakeRoom(Instant aNow)
{
  if (m_suspects.size() < m_options.max_suspects) {
    return;
  }
  Tick(aNow);
  if (m_suspects.size() < m_options.max_suspects) {
    return;
  }
  m_suspects.erase(std::min_element(m_suspects.begin(),
                                    m_suspects.end(),
                                    [](const auto& aOne, const auto& aOther) {
                                      return aOne.second.expires <
                                             aOther.second.expires;
                                    }));
}

} // namespace jujubehead::core
