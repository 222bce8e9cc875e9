#include "jujubehead/core/routing/poison_requests.hpp"

#include <algorithm> // for any_of, count_if, find_if, max, min, sort
#include <span>      // for span
#include <utility>   // for move, pair

#include "jujubehead/core/routing/placement.hpp" // for PlacementHash

namespace jujubehead::core {
namespace {

/// Crashes kept of a suspect; the newest count.
constexpr std::size_t kMaxCrashes = 16;
/// Error of times that another instance reported.
constexpr Duration kTimeError = std::chrono::seconds(1);

/// Share of the crashes of an earlier part in the prompt from which on a later
/// part is the better explanation: all requests that hold it hold the earlier
/// one, too.
constexpr double kMostCrashes = 0.8;
/// Pause between two decisions while a part has enough crashes and no verdict.
constexpr Duration kDecisionInterval = std::chrono::milliseconds(100);
/// Crashes of a part beyond those of each request in quarantine. With fewer,
/// the request may be the cause, and its parts were there as well.
constexpr std::size_t kMinBeyond = 2;

/// Counts runs of which each began after the target of the one before had
/// crashed, beginning with the one that ended first.
/// @param aCrashes in the order of their ends.
std::uint32_t
CountRuns(std::span<const CrashReport> aCrashes, SuspectKind aKind)
{
  std::uint32_t count = 0;
  const CrashReport* last = nullptr;
  for (const CrashReport& crash : aCrashes) {
    const bool is_elsewhere = aKind == SuspectKind::kRequest &&
                              last != nullptr &&
                              crash.data_centre != last->data_centre;
    if (last == nullptr || crash.sent >= last->crashed || is_elsewhere) {
      ++count;
      last = &crash;
    }
  }
  return count;
}

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
  suspect.depth = std::max(suspect.depth, aReport.depth);
  if (aReport.depth > 0) {
    m_decide_at =
      std::min(m_decide_at, aReport.crashed + m_options.settle_time);
  }
  suspect.crashes.push_back(aReport);
  Count(suspect);
  suspect.expires =
    std::max(suspect.expires, aReport.crashed + m_options.suspect_ttl);
  Outcome outcome{ true, std::nullopt };
  if (BeginsQuarantine(suspect, aReport)) {
    outcome.quarantine = Begin(aReport.fingerprint, aReport.crashed);
  }
  return outcome;
}

Quarantine
PoisonRequests::Begin(RequestFingerprint aFingerprint, Instant aFrom)
{
  Suspect& suspect = m_suspects.at(aFingerprint);
  const Instant until = aFrom + LengthOf(++suspect.quarantines);
  suspect.quarantined_until = until;
  suspect.expires = until + m_options.quarantine_retention;
  return { aFingerprint, until, suspect.quarantines, suspect.Kind() };
}

std::vector<Quarantine>
PoisonRequests::Decide(Instant aNow)
{
  std::vector<Quarantine> begun;
  if (aNow < m_decide_at) {
    return begun;
  }
  const Instant settled = aNow - m_options.settle_time;
  for (bool has_verdict = true; has_verdict;) {
    const std::vector<Candidate> all = Candidates(Explained(), aNow);
    const auto best =
      std::find_if(all.begin(), all.end(), [&](const auto& aOne) {
        return aOne.is_ripe && IsBest(aOne, all);
      });
    has_verdict = best != all.end();
    if (has_verdict) {
      begun.push_back(Begin(best->fingerprint, aNow));
    }
  }
  m_decide_at = Instant::max();
  for (const auto& [fingerprint, suspect] : m_suspects) {
    if (suspect.depth == 0 || suspect.quarantines > 0) {
      continue;
    }
    if (suspect.crash_count >= m_options.max_crashes) {
      m_decide_at = std::min(m_decide_at, aNow + kDecisionInterval);
    }
    for (const CrashReport& crash : suspect.crashes) {
      if (crash.crashed > settled) {
        m_decide_at =
          std::min(m_decide_at, crash.crashed + m_options.settle_time);
      }
    }
  }
  return begun;
}

PoisonRequests::TargetKeys
PoisonRequests::Explained() const
{
  TargetKeys targets;
  for (const auto& [fingerprint, suspect] : m_suspects) {
    if (suspect.quarantines == 0 || suspect.depth == 0) {
      continue;
    }
    for (const CrashReport& crash : suspect.crashes) {
      targets.insert(crash.target);
    }
  }
  return targets;
}

bool
PoisonRequests::IsExplainedByRequest(const TargetKeys& aTargets) const
{
  return std::any_of(
    m_suspects.begin(), m_suspects.end(), [&](const auto& aEntry) {
      const Suspect& suspect = aEntry.second;
      if (suspect.quarantines == 0 || suspect.depth > 0) {
        return false;
      }
      const auto shared = std::count_if(
        suspect.crashes.begin(),
        suspect.crashes.end(),
        [&](const auto& aCrash) { return aTargets.contains(aCrash.target); });
      return aTargets.size() < static_cast<std::size_t>(shared) + kMinBeyond;
    });
}

std::vector<PoisonRequests::Candidate>
PoisonRequests::Candidates(const TargetKeys& aExplained, Instant aNow) const
{
  const Instant settled = aNow - m_options.settle_time;
  std::vector<Candidate> candidates;
  for (const auto& [fingerprint, suspect] : m_suspects) {
    if (suspect.depth == 0 || suspect.quarantines > 0 ||
        suspect.crashes.size() < m_options.max_crashes) {
      continue;
    }
    Candidate candidate{ fingerprint, suspect.depth, false, {} };
    std::vector<CrashReport> crashes;
    for (const CrashReport& crash : suspect.crashes) {
      if (crash.crashed <= settled && !aExplained.contains(crash.target)) {
        crashes.push_back(crash);
        candidate.targets.insert(crash.target);
      }
    }
    if (crashes.size() < m_options.max_crashes ||
        IsExplainedByRequest(candidate.targets)) {
      continue;
    }
    const bool had_time =
      suspect.crashes.front().crashed + m_options.min_evidence_time <= aNow;
    candidate.is_ripe = had_time && CountRuns(crashes, SuspectKind::kPart) >=
                                      m_options.max_crashes;
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

bool
PoisonRequests::IsBest(const Candidate& aCandidate,
                       const std::vector<Candidate>& aAll) const
{
  return std::all_of(aAll.begin(), aAll.end(), [&](const Candidate& aOther) {
    const bool shares_crashes = std::any_of(
      aOther.targets.begin(), aOther.targets.end(), [&](TargetKey aTarget) {
        return aCandidate.targets.contains(aTarget);
      });
    if (aOther.fingerprint == aCandidate.fingerprint || !shares_crashes) {
      return true;
    }
    if (aOther.depth != aCandidate.depth) {
      const bool is_later = aCandidate.depth > aOther.depth;
      const Candidate& later = is_later ? aCandidate : aOther;
      const Candidate& earlier = is_later ? aOther : aCandidate;
      return is_later == ExplainsMost(later, earlier);
    }
    if (aOther.targets.size() != aCandidate.targets.size()) {
      return aOther.targets.size() < aCandidate.targets.size();
    }
    return aCandidate.targets.size() >= m_options.max_tied_crashes &&
           aCandidate.fingerprint > aOther.fingerprint;
  });
}

bool
PoisonRequests::ExplainsMost(const Candidate& aLater, const Candidate& aEarlier)
{
  return static_cast<double>(aLater.targets.size()) >=
         kMostCrashes * static_cast<double>(aEarlier.targets.size());
}

std::uint32_t
PoisonRequests::UnexplainedCrashes(RequestFingerprint aPart) const
{
  const auto found = m_suspects.find(aPart);
  if (found == m_suspects.end() || found->second.crashes.empty()) {
    return 0;
  }
  const TargetKeys explained = Explained();
  std::vector<CrashReport> crashes = found->second.crashes;
  std::erase_if(crashes, [&](const CrashReport& aCrash) {
    return explained.contains(aCrash.target);
  });
  return CountRuns(crashes, SuspectKind::kPart);
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
  const bool had_crashes = !suspect.crashes.empty();
  std::erase_if(suspect.crashes, [&](const CrashReport& aCrash) {
    return aCrash.crashed <= aReport.completed;
  });
  Count(suspect);
  Outcome outcome{ true, std::nullopt };
  if (suspect.quarantines == 0) {
    return outcome;
  }
  const Instant begun =
    suspect.quarantined_until - LengthOf(suspect.quarantines);
  const bool is_refuted = had_crashes && suspect.crashes.empty();
  if (is_refuted || aReport.completed + kTimeError >= begun) {
    outcome.quarantine =
      Quarantine{ aReport.fingerprint, Instant{}, 1, suspect.Kind() };
    suspect.expires = aNow + m_options.suspect_ttl;
    suspect.quarantined_until = {};
    suspect.quarantines = 0;
  }
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
  if (aQuarantine.kind == SuspectKind::kPart) {
    suspect.depth = std::max(suspect.depth, 1U);
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
  aSuspect.crash_count = CountRuns(aSuspect.crashes, aSuspect.Kind());
}

bool
PoisonRequests::BeginsQuarantine(const Suspect& aSuspect,
                                 const CrashReport& aCrash) const
{
  if (aSuspect.quarantines == 0) {
    return aSuspect.Kind() == SuspectKind::kRequest &&
           aSuspect.crash_count >= m_options.max_crashes;
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
  if (found == m_suspects.end()) {
    return false;
  }
  const Suspect& suspect = found->second;
  if (suspect.crash_count > 0 || suspect.quarantines > 0 ||
      !suspect.completed) {
    return true;
  }
  // Parts are answered all the time: an instance that still counts crashes
  // reports its own answers.
  return suspect.depth == 0 &&
         aNow - *suspect.completed >= m_options.completion_interval;
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
  const Suspect& suspect = m_suspects.at(aFingerprint);
  const std::uint32_t count = suspect.quarantines + 1;
  return Quarantine{
    aFingerprint, aNow + LengthOf(count), count, suspect.Kind()
  };
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
