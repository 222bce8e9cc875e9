#include "jujubehead/core/membership/poison_report_log.hpp"

namespace jujubehead::core {
namespace {

Instant
EndOf(const PoisonReport& aReport)
{
  const auto* const crash = std::get_if<CrashReport>(&aReport);
  return crash != nullptr ? crash->crashed
                          : std::get<CompletionReport>(aReport).completed;
}

} // namespace

PoisonReportLog::Key
PoisonReportLog::CompletionKey(const PoisonReport& aReport)
{
  const auto fingerprint =
    std::visit([](const auto& aOne) { return aOne.fingerprint; }, aReport);
  return { fingerprint, std::nullopt };
}

bool
PoisonReportLog::Put(const PoisonReport& aReport,
                     ReportOrigin aOrigin,
                     Instant aNow)
{
  DropOld(aNow);
  const auto* const crash = std::get_if<CrashReport>(&aReport);
  const Key key = crash != nullptr ? Key{ crash->fingerprint, crash->target }
                                   : CompletionKey(aReport);
  const auto completion = m_positions.find(CompletionKey(aReport));
  if (completion != m_positions.end()) {
    const auto& last =
      std::get<CompletionReport>(m_entries.at(completion->second).report);
    // What comes back from another instance has the same time or, as transit
    // counts towards its age, an earlier one.
    if (EndOf(aReport) <= last.completed) {
      return false;
    }
  }
  if (crash != nullptr && m_positions.contains(key)) {
    return false;
  }
  if (crash == nullptr) {
    DropCrashes(std::get<CompletionReport>(aReport));
  }
  m_positions[key] = ++m_last;
  m_entries.emplace(m_last, Entry{ aReport, key, aOrigin, aNow });
  return true;
}

void
PoisonReportLog::DropCrashes(const CompletionReport& aCompletion)
{
  auto at = m_positions.lower_bound(CompletionKey(aCompletion));
  while (at != m_positions.end() &&
         at->first.first == aCompletion.fingerprint) {
    const auto entry = m_entries.find(at->second);
    if (EndOf(entry->second.report) <= aCompletion.completed) {
      m_entries.erase(entry);
      at = m_positions.erase(at);
    } else {
      ++at;
    }
  }
}

PoisonReportLog::Page
PoisonReportLog::After(std::uint64_t aAfter, bool aOnlyBelow) const
{
  Page page;
  page.next = aAfter;
  for (auto at = m_entries.upper_bound(aAfter); at != m_entries.end(); ++at) {
    if (page.reports.size() >= m_options.max_in_message) {
      page.has_more = true;
      return page;
    }
    page.next = at->first;
    if (!aOnlyBelow || at->second.origin == ReportOrigin::kBelow) {
      page.reports.push_back(at->second.report);
    }
  }
  return page;
}

void
PoisonReportLog::DropOld(Instant aNow)
{
  while (!m_entries.empty()) {
    const auto first = m_entries.begin();
    if (aNow - first->second.put_at <= m_options.retention &&
        m_entries.size() < m_options.max_reports) {
      return;
    }
    m_positions.erase(first->second.key);
    m_entries.erase(first);
  }
}

} // namespace jujubehead::core
