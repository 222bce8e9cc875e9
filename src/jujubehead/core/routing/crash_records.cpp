#include "jujubehead/core/routing/crash_records.hpp"

#include <algorithm> // for any_of, min
#include <charconv>  // for from_chars
#include <sstream>   // for istringstream

namespace jujubehead::core {
namespace {

constexpr char kSeparator = ' ';
constexpr char kEnd = '\n';

/// Parses decimal numbers up to the end of a line.
class LineParser
{
public:
  explicit LineParser(std::string_view aLine)
    : m_rest(aLine)
  {
  }

  template<typename Number>
  Number Next()
  {
    Number number = 0;
    const char* const end = m_rest.data() + m_rest.size();
    const auto [stop, error] = std::from_chars(m_rest.data(), end, number);
    m_is_valid &= error == std::errc();
    m_rest.remove_prefix(static_cast<std::size_t>(stop - m_rest.data()));
    if (m_rest.starts_with(kSeparator)) {
      m_rest.remove_prefix(1);
    }
    return number;
  }
  /// @return whether all numbers were there, and nothing else.
  [[nodiscard]] bool IsComplete() const { return m_is_valid && m_rest.empty(); }

private:
  std::string_view m_rest;
  bool m_is_valid = true;
};

/// A crash with its times on the store's clock.
struct RecordedCrash
{
  CrashReport crash;
  RemoteMs sent = 0;
  RemoteMs crashed = 0;
};

std::optional<RecordedCrash>
ParseLine(std::string_view aLine)
{
  LineParser line(aLine);
  RecordedCrash recorded;
  recorded.crash.fingerprint = RequestFingerprint{ line.Next<std::uint64_t>() };
  recorded.crash.target = TargetKey{ line.Next<std::uint32_t>() };
  recorded.crash.data_centre = DataCentreKey{ line.Next<std::uint32_t>() };
  recorded.sent = line.Next<RemoteMs>();
  recorded.crashed = line.Next<RemoteMs>();
  return line.IsComplete() ? std::optional(recorded) : std::nullopt;
}

} // namespace

void
CrashRecords::OnCrash(const CrashReport& aReport)
{
  if (aReport.depth > 0) {
    return; // Parts of prompts are answered all the time.
  }
  m_crashes.push_back(aReport);
  if (m_crashes.size() > kMaxCrashes) {
    m_crashes.erase(m_crashes.begin());
  }
  m_is_changed = true;
}

void
CrashRecords::OnCompletion(const CompletionReport& aReport, Instant aNow)
{
  const auto answered =
    std::erase_if(m_crashes, [&](const CrashReport& aCrash) {
      return aCrash.fingerprint == aReport.fingerprint &&
             aCrash.crashed <= aReport.completed;
    });
  if (answered > 0) {
    m_answered_at = std::min(m_answered_at, aNow);
  }
}

void
CrashRecords::OnOwnRow(std::uint64_t aVersion,
                       std::vector<CrashReport> aCrashes)
{
  m_version = aVersion;
  std::erase_if(aCrashes, [&](const CrashReport& aCrash) {
    return std::any_of(
      m_crashes.begin(), m_crashes.end(), [&](const CrashReport& aKnown) {
        return aKnown.fingerprint == aCrash.fingerprint &&
               aKnown.target == aCrash.target;
      });
  });
  m_crashes.insert(m_crashes.begin(), aCrashes.begin(), aCrashes.end());
}

void
CrashRecords::OnWriteFailed()
{
  m_version.reset();
  m_is_changed = true;
}

Instant
CrashRecords::NextWriteAt() const
{
  if (m_is_changed) {
    return Instant{};
  }
  return m_answered_at == Instant::max() ? Instant::max()
                                         : m_answered_at + kCleanUpDelay;
}

std::optional<CrashRowWrite>
CrashRecords::TakeWrite(Instant aNow)
{
  const auto expired = std::erase_if(m_crashes, [&](const CrashReport& aCrash) {
    return aNow - aCrash.crashed > m_ttl;
  });
  if (expired > 0) {
    m_answered_at = std::min(m_answered_at, aNow);
  }
  if (!m_version || aNow < NextWriteAt()) {
    return std::nullopt;
  }
  CrashRowWrite write;
  write.expected_version = *m_version;
  if (!m_crashes.empty()) {
    write.value = RowText();
    if (!write.value) {
      return std::nullopt; // The store's clock is not known yet.
    }
  }
  m_is_changed = false;
  m_answered_at = Instant::max();
  const bool has_effect = write.value || write.expected_version != 0;
  return has_effect ? std::optional(write) : std::nullopt;
}

std::optional<std::string>
CrashRecords::RowText() const
{
  std::string text;
  for (const CrashReport& crash : m_crashes) {
    const auto sent = m_store_clock.UpperBoundAt(crash.sent);
    const auto crashed = m_store_clock.UpperBoundAt(crash.crashed);
    if (!sent || !crashed) {
      return std::nullopt;
    }
    text += std::to_string(static_cast<std::uint64_t>(crash.fingerprint));
    text += kSeparator;
    text += std::to_string(static_cast<std::uint32_t>(crash.target));
    text += kSeparator;
    text += std::to_string(static_cast<std::uint32_t>(crash.data_centre));
    text += kSeparator;
    text += std::to_string(*sent);
    text += kSeparator;
    text += std::to_string(*crashed);
    text += kEnd;
  }
  return text;
}

std::vector<CrashReport>
CrashRecords::Parse(std::string_view aRow, Instant aNow) const
{
  std::vector<CrashReport> crashes;
  std::istringstream lines{ std::string(aRow) };
  for (std::string line; std::getline(lines, line, kEnd);) {
    auto recorded = ParseLine(line);
    if (!recorded) {
      continue;
    }
    const auto sent = m_store_clock.LatestTimeOf(recorded->sent, aNow);
    const auto crashed = m_store_clock.LatestTimeOf(recorded->crashed, aNow);
    if (!sent || !crashed || aNow - *crashed > m_ttl) {
      continue;
    }
    recorded->crash.sent = *sent;
    recorded->crash.crashed = *crashed;
    crashes.push_back(recorded->crash);
  }
  return crashes;
}

} // namespace jujubehead::core
