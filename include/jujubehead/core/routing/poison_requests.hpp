#ifndef JUJUBEHEAD_CORE_ROUTING_POISON_REQUESTS_HPP
#define JUJUBEHEAD_CORE_ROUTING_POISON_REQUESTS_HPP

#include <cstddef>       // for size_t
#include <cstdint>       // for uint32_t
#include <optional>      // for optional
#include <unordered_map> // for unordered_map
#include <unordered_set> // for unordered_set
#include <variant>       // for variant
#include <vector>        // for vector

#include "jujubehead/core/ids.hpp"                         // for DataCentreId
#include "jujubehead/core/routing/load_reports.hpp"        // for TargetKey
#include "jujubehead/core/routing/request_fingerprint.hpp" // for RequestFingerprint
#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief Identifies a data centre in reports between instances by a hash of
/// its name.
enum class DataCentreKey : std::uint32_t
{
};

DataCentreKey
KeyOf(const DataCentreId& aDataCentre);

/// @brief What a fingerprint identifies.
enum class SuspectKind : std::uint8_t
{
  kRequest, ///< A request by its whole content.
  kPart,    ///< A part of the prompts of a client account.
};

/// @brief A request was at a target whose process ended, or one of its prompt's
/// parts was.
struct CrashReport
{
  RequestFingerprint fingerprint{};
  TargetKey target{};
  DataCentreKey data_centre{}; ///< Of the target.
  Instant sent{};              ///< When the request was sent to the target.
  Instant crashed{};           ///< When the reply broke off.
  /// Position of a part in its prompt, from 1; 0: the whole request.
  std::uint32_t depth = 0;
};

/// @brief A suspect, or a request that holds it, was answered completely: it
/// does not crash targets.
struct CompletionReport
{
  RequestFingerprint fingerprint{};
  Instant completed{};
};

/// @brief What instances report to each other about suspects.
using PoisonReport = std::variant<CrashReport, CompletionReport>;

/// @brief A request that is not sent to targets, or all requests that hold a
/// part. After `until`, one instance sends one copy, a probe, once it has
/// recorded the next quarantine.
struct Quarantine
{
  RequestFingerprint fingerprint{};
  Instant until{};         ///< Instant{}: released, the request is no poison.
  std::uint32_t count = 1; ///< Of the request's quarantines.
  SuspectKind kind = SuspectKind::kRequest;

  [[nodiscard]] bool IsReleased() const { return until == Instant{}; }
};

/// @brief Limits of the detection of poison requests.
struct PoisonRequestsOptions
{
  /// Targets that a request crashes one after the other before it is
  /// quarantined. Two may crash by chance while a request is retried.
  std::uint32_t max_crashes = 3;
  /// Crashes from which on one of several parts is quarantined that explain the
  /// same number of crashes.
  std::uint32_t max_tied_crashes = 5;
  /// A crash counts for parts once the reports of all requests that were there
  /// have come, so that none is blamed for want of a report.
  Duration settle_time = std::chrono::milliseconds(800);
  /// From a part's first crash since it was last answered to its quarantine. A
  /// part in common use is answered, and that reported, within it.
  Duration min_evidence_time = std::chrono::milliseconds(2000);
  /// Each further quarantine is longer by `growth`. The first one is short, as
  /// many requests have the same content where calls have no body.
  Duration first_quarantine = std::chrono::minutes(1);
  Duration max_quarantine = std::chrono::hours(1);
  std::uint32_t growth = 5;
  /// Probes of a request by all instances together. After them it is refused
  /// for as long as it is sent, or until an operator removes its record.
  std::uint32_t max_probes = 2;
  /// A quarantine is forgotten when nobody has sent the request for this time
  /// after its end. With less, a request that is sent now and then would crash
  /// `max_crashes` targets again each time.
  Duration quarantine_retention = std::chrono::hours(24);
  /// A suspect is forgotten after this time without a crash.
  Duration suspect_ttl = std::chrono::minutes(10);
  /// Interval of the reports of complete answers of a request, by all instances
  /// together. Times in reports are exact to a second.
  Duration completion_interval = std::chrono::seconds(5);
  /// A crash makes suspects of the requests at one target, some dozens.
  std::size_t max_suspects = 4096;
};

/// @brief Detects poison requests: requests that crash each target that runs
/// them and that callers send again, under new ids and to other instances.
///
/// A crashed target had other requests, too. Every request that was there is a
/// suspect until it is answered completely once. Its `crash_count` is the
/// number of targets that crashed while they had it, one after the other: each
/// run began after the previous target had crashed, or was in another data
/// centre. Targets of one data centre that crash together, with copies of one
/// request at several of them, count once, so that the loss of a rack
/// quarantines nothing. Retries have to go to another data centre for that.
///
/// Where no two requests are alike, a part of their prompts may crash the
/// targets. A part is at many targets at a time, so its runs count only if each
/// began after the previous target had crashed, in any data centre. Crashes
/// that a suspect in quarantine explains do not count for the parts that were
/// there as well. Of several parts that were at a crashed target the one with
/// the most crashes is quarantined, or the last one in the prompt if it has
/// nearly as many; there is no verdict while two are equal.
///
/// The reports of all instances may arrive in any order, and repeatedly.
class PoisonRequests
{
public:
  explicit PoisonRequests(PoisonRequestsOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// What a report changed.
  struct Outcome
  {
    bool is_new = false;
    std::optional<Quarantine> quarantine; ///< That began, or is over.
  };

  /// @brief Quarantines parts whose evidence is complete.
  /// @return the quarantines that began.
  std::vector<Quarantine> Decide(Instant aNow);
  /// @brief Applies a report of this or of another instance.
  Outcome OnReport(const PoisonReport& aReport, Instant aNow);
  /// @brief A quarantine was read from its record or, if it is released, its
  /// record was removed.
  void OnRecorded(const Quarantine& aQuarantine, Instant aNow);

  /// @return whether there is no suspect, so that no request needs its
  /// fingerprint.
  [[nodiscard]] bool IsEmpty() const { return m_suspects.empty(); }
  /// @return whether a complete answer to a request is worth a report: it is a
  /// suspect, or was one, and the last report may have been taken for older
  /// than the crash.
  [[nodiscard]] bool NeedsCompletion(RequestFingerprint aFingerprint,
                                     Instant aNow) const;
  /// @return the targets that a request crashed one after the other since it
  /// was last answered.
  [[nodiscard]] std::uint32_t CrashCount(RequestFingerprint aFingerprint) const;
  /// @return the targets that a part crashed one after the other since it was
  /// last answered and that no suspect in quarantine explains.
  [[nodiscard]] std::uint32_t UnexplainedCrashes(
    RequestFingerprint aPart) const;
  /// @return until when no probe of the request is sent, which may be in the
  /// past; nothing when it is not in quarantine.
  [[nodiscard]] std::optional<Instant> QuarantinedUntil(
    RequestFingerprint aFingerprint) const;
  /// @return the quarantine to record before a probe is sent; nothing before
  /// the end of the current one.
  [[nodiscard]] std::optional<Quarantine> NextQuarantine(
    RequestFingerprint aFingerprint,
    Instant aNow) const;
  /// @return whether a probe may be sent at the begin of a quarantine.
  [[nodiscard]] bool AllowsProbe(const Quarantine& aBegun) const;
  /// @return the number of requests in quarantine.
  [[nodiscard]] std::size_t Quarantined() const;
  [[nodiscard]] std::size_t Suspects() const { return m_suspects.size(); }
  /// @brief Forgets suspects whose time is over.
  void Tick(Instant aNow);

private:
  struct Suspect
  {
    std::vector<CrashReport> crashes; ///< Of different targets.
    std::optional<Instant> completed;
    Instant quarantined_until{};
    std::uint32_t quarantines = 0;
    Instant expires{};
    std::uint32_t crash_count = 0;
    std::uint32_t depth = 0; ///< As in CrashReport.

    [[nodiscard]] SuspectKind Kind() const
    {
      return depth > 0 ? SuspectKind::kPart : SuspectKind::kRequest;
    }
  };
  using TargetKeys = std::unordered_set<TargetKey>;

  /// A part that may have crashed targets that nothing explains yet.
  struct Candidate
  {
    RequestFingerprint fingerprint{};
    std::uint32_t depth = 0;
    bool is_ripe = false; ///< Crashed enough, one after the other.
    TargetKeys targets;
  };

  Outcome OnCrash(const CrashReport& aReport, Instant aNow);
  Outcome OnCompletion(const CompletionReport& aReport, Instant aNow);
  [[nodiscard]] static bool HasCompletedSince(const Suspect& aSuspect,
                                              Instant aTime);
  static void Count(Suspect& aSuspect);
  /// @return the crashed targets of all parts in quarantine.
  [[nodiscard]] TargetKeys Explained() const;
  /// @return whether a request in quarantine explains crashes as well as a part
  /// of it.
  [[nodiscard]] bool IsExplainedByRequest(const TargetKeys& aTargets) const;
  /// @return the parts with enough crashes that have settled and are not
  /// explained, also those that are not ripe: one of them may explain the
  /// crashes of others better.
  [[nodiscard]] std::vector<Candidate> Candidates(const TargetKeys& aExplained,
                                                  Instant aNow) const;
  /// @return whether one of several candidates is the best explanation of its
  /// crashes.
  [[nodiscard]] bool IsBest(const Candidate& aCandidate,
                            const std::vector<Candidate>& aAll) const;
  /// @return whether a later part of prompts explains most of the crashes of an
  /// earlier one.
  [[nodiscard]] static bool ExplainsMost(const Candidate& aLater,
                                         const Candidate& aEarlier);
  Quarantine Begin(RequestFingerprint aFingerprint, Instant aFrom);
  /// @return whether a crash begins a quarantine.
  [[nodiscard]] bool BeginsQuarantine(const Suspect& aSuspect,
                                      const CrashReport& aCrash) const;
  [[nodiscard]] Duration LengthOf(std::uint32_t aQuarantine) const;
  void MakeRoom(Instant aNow);

  PoisonRequestsOptions m_options;
  std::unordered_map<RequestFingerprint, Suspect> m_suspects;
  Instant m_decide_at = Instant::max(); ///< When the next crash has settled.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_POISON_REQUESTS_HPP
