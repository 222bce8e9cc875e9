#include "poison_report_codec.hpp"

#include <chrono>  // for duration_cast
#include <cstdint> // for int64_t, uint32_t, uint64_t

#include <nlohmann/json.hpp> // for json

namespace jujubehead::node {
namespace {

using nlohmann::json;

/// Array indices of a report; a completion has no more than kEndAge.
enum ReportField : std::size_t
{
  kFingerprint,
  kEndAge, ///< Of the crash or the completion, in ms.
  kTarget,
  kSentAge, ///< In ms.
  kDataCentre,
  kDepth, ///< Of a part; missing for a whole request.
};

std::int64_t
AgeMs(core::Instant aWhen, core::Instant aNow)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aWhen)
    .count();
}

json
ToJson(const core::PoisonReport& aReport, core::Instant aNow)
{
  if (const auto* const crash = std::get_if<core::CrashReport>(&aReport)) {
    json report =
      json::array({ static_cast<std::uint64_t>(crash->fingerprint),
                    AgeMs(crash->crashed, aNow),
                    static_cast<std::uint32_t>(crash->target),
                    AgeMs(crash->sent, aNow),
                    static_cast<std::uint32_t>(crash->data_centre) });
    if (crash->depth > 0) {
      report.push_back(crash->depth);
    }
    return report;
  }
  const auto& completion = std::get<core::CompletionReport>(aReport);
  return json::array({ static_cast<std::uint64_t>(completion.fingerprint),
                       AgeMs(completion.completed, aNow) });
}

core::PoisonReport
FromJson(const json& aReport, core::Instant aEarliest, core::Instant aLatest)
{
  const auto age_at = [&](std::size_t aField) {
    return std::chrono::milliseconds(aReport.at(aField).get<std::int64_t>());
  };
  const auto fingerprint = static_cast<core::RequestFingerprint>(
    aReport.at(kFingerprint).get<std::uint64_t>());
  if (aReport.size() <= kTarget) {
    return core::CompletionReport{ fingerprint, aEarliest - age_at(kEndAge) };
  }
  core::CrashReport crash;
  crash.fingerprint = fingerprint;
  crash.target =
    static_cast<core::TargetKey>(aReport.at(kTarget).get<std::uint32_t>());
  crash.data_centre = static_cast<core::DataCentreKey>(
    aReport.at(kDataCentre).get<std::uint32_t>());
  crash.sent = aLatest - age_at(kSentAge);
  crash.crashed = aLatest - age_at(kEndAge);
  if (aReport.size() > kDepth) {
    crash.depth = aReport.at(kDepth).get<std::uint32_t>();
  }
  return crash;
}

} // namespace

std::string
PoisonReportsToBytes(const std::vector<core::PoisonReport>& aReports,
                     core::Instant aNow)
{
  json reports = json::array();
  for (const core::PoisonReport& report : aReports) {
    reports.push_back(ToJson(report, aNow));
  }
  std::string bytes;
  json::to_cbor(reports, bytes);
  return bytes;
}

std::vector<core::PoisonReport>
PoisonReportsFromBytes(std::string_view aBytes,
                       core::Instant aEarliest,
                       core::Instant aLatest)
{
  std::vector<core::PoisonReport> reports;
  for (const json& report : json::from_cbor(aBytes.begin(), aBytes.end())) {
    reports.push_back(FromJson(report, aEarliest, aLatest));
  }
  return reports;
}

} // namespace jujubehead::node
