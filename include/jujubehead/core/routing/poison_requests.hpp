#ifndef JUJUBEHEAD_CORE_ROUTING_POISON_REQUESTS_HPP
#define JUJUBEHEAD_CORE_ROUTING_POISON_REQUESTS_HPP

#include <cstddef>       // for size_t
#include <cstdint>       // for uint32_t
#include <optional>      // for optional
#include <unordered_map> // for unordered_map
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

/// @brief A request was at a target whose process ended.
struct CrashReport
{
  RequestFingerprint fingerprint{};
  TargetKey target{};
  DataCentreKey data_centre{}; ///< Of the target.
  Instant sent{};              ///< When the request was sent to the target.
  Instant crashed{};           ///< When the reply broke off.
};

/// @brief A suspect was answered completely: it does not crash targets.
struct CompletionReport
{
  RequestFingerprint fingerprint{};
  Instant completed{};
};

/// @brief What instances report to each other about suspects.
using PoisonReport = std::variant<CrashReport, CompletionReport>;

/// @brief A request that is not sent to targets. After `until`, one instance
/// sends one copy, a probe, once it has recorded the next quarantine.
struct Quarantine
{
  RequestFingerprint fingerprint{};
  Instant until{};         ///< Instant{}: released, the request is no poison.
  std::uint32_t count = 1; ///< Of the request's quarantines.

  [[nodiscard]] bool IsReleased() const { return until == Instant{}; }
};

/// @brief Limits of the detection of poison requests.
struct PoisonRequestsOptions
{
  /// Targets that a request crashes one after the other before it is
  /// quarantined. Two may crash by chance while a request is retried.
  std::uint32_t max_crashes = 3;
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
  };

  Outcome OnCrash(const CrashReport& aReport, Instant aNow);
  Outcome OnCompletion(const CompletionReport& aReport, Instant aNow);
  [[nodiscard]] static bool HasCompletedSince(const Suspect& aSuspect,
                                              Instant aTime);
  static void Count(Suspect& aSuspect);
  /// @return whether a crash begins a quarantine.
  [[nodiscard]] bool BeginsQuarantine(const Suspect& aSuspect,
                                      const CrashReport& aCrash) const;
  [[nodiscard]] Duration LengthOf(std::uint32_t aQuarantine) const;
  void MakeRoom(Instant aNow);

  PoisonRequestsOptions m_options;
  std::unordered_map<RequestFingerprint, Suspect> m_suspects;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_POISON_REQUESTS_HPP
