#include "jujubehead/core/routing/quarantine_records.hpp"

#include <algorithm> // for max, min
#include <charconv>  // for from_chars
#include <utility>   // for pair

namespace jujubehead::core {
namespace {

/// Prefixes of keys; then the fingerprint follows.
constexpr std::string_view kRequestPrefix = "quarantine/";
constexpr std::string_view kPartPrefix = "quarantined-part/";
constexpr int kHexBase = 16;
constexpr int kDecimalBase = 10;
/// Between the end, on the store's clock, and the count.
constexpr char kSeparator = ' ';
/// Delay per rank. A written row reaches the others within it.
constexpr Duration kRankDelay = std::chrono::milliseconds(500);
/// Instances that may write a row. More than these do not fail together unless
/// all do, and with all as writers an outage would end in a storm of writes.
constexpr std::size_t kMaxRanks = 8;
/// Ends of a quarantine that differ by less are the same: each instance
/// computes it from when it learned of the crash.
constexpr Duration kSameEnd = std::chrono::seconds(5);

std::string_view
PrefixOf(SuspectKind aKind)
{
  return aKind == SuspectKind::kPart ? kPartPrefix : kRequestPrefix;
}

std::string
KeyOf(RequestFingerprint aFingerprint, SuspectKind aKind)
{
  return std::string(PrefixOf(aKind)) + ToText(aFingerprint);
}

template<typename Number>
std::optional<Number>
ParseNumber(std::string_view aText, int aBase)
{
  Number number = 0;
  const char* const end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, number, aBase);
  const bool is_number = error == std::errc() && stop == end;
  return is_number ? std::optional(number) : std::nullopt;
}

} // namespace

bool
QuarantineRecords::IsKey(std::string_view aKey)
{
  return aKey.starts_with(kRequestPrefix) || aKey.starts_with(kPartPrefix);
}

void
QuarantineRecords::OnQuarantine(const Quarantine& aQuarantine, Instant aNow)
{
  Record& record = m_records[aQuarantine.fingerprint];
  record.kind = aQuarantine.kind;
  record.until = aQuarantine.until;
  record.count = aQuarantine.count;
  record.changed = aNow;
}

void
QuarantineRecords::BeginAll(Instant aNow)
{
  std::erase_if(m_records, [&](const auto& aEntry) {
    return aEntry.second.until.value_or(Instant{}) <= aNow;
  });
  for (auto& [fingerprint, record] : m_records) {
    record.recorded.reset();
    record.version = 0;
  }
}

std::optional<Quarantine>
QuarantineRecords::OnRow(std::string_view aKey,
                         const std::optional<std::string>& aValue,
                         std::uint64_t aVersion,
                         Instant aNow)
{
  const SuspectKind kind =
    aKey.starts_with(kPartPrefix) ? SuspectKind::kPart : SuspectKind::kRequest;
  aKey.remove_prefix(std::min(aKey.size(), PrefixOf(kind).size()));
  const auto number = ParseNumber<std::uint64_t>(aKey, kHexBase);
  if (!number) {
    return std::nullopt;
  }
  const auto fingerprint = static_cast<RequestFingerprint>(*number);
  if (!aValue) {
    m_records.erase(fingerprint);
    return Quarantine{ fingerprint, Instant{}, 0, kind };
  }
  Record& record = m_records[fingerprint];
  record.kind = kind;
  const std::string_view text = *aValue;
  const std::size_t end = std::min(text.find(kSeparator), text.size());
  const auto count = ParseNumber<std::uint32_t>(
    text.substr(std::min(end + 1, text.size())), kDecimalBase);
  record.recorded = ParseNumber<RemoteMs>(text.substr(0, end), kDecimalBase);
  record.version = aVersion;
  if (!record.recorded || !count) {
    record.recorded.reset();
    return std::nullopt;
  }
  record.recorded_count = *count;
  const auto until = m_store_clock.LatestTimeOf(*record.recorded, aNow);
  if (!until) {
    return std::nullopt;
  }
  return Quarantine{ fingerprint, *until, *count, kind };
}

std::optional<Instant>
QuarantineRecords::DueSince(const Record& aRecord, Instant aNow) const
{
  Instant recorded_end{}; // As if nothing were recorded.
  if (aRecord.recorded) {
    recorded_end = m_store_clock.LatestTimeOf(*aRecord.recorded, aNow)
                     .value_or(Instant::max() - m_retention);
  }
  if (aRecord.until && *aRecord.until > aNow) {
    const bool is_recorded = recorded_end >= *aRecord.until - kSameEnd;
    return is_recorded ? std::nullopt : std::optional(aRecord.changed);
  }
  if (!aRecord.recorded) { // There is no row, or none that is understood.
    return std::nullopt;
  }
  const bool was_released = aRecord.until && *aRecord.until == Instant{};
  return was_released ? aRecord.changed : recorded_end + m_retention;
}

std::optional<QuarantineRowWrite>
QuarantineRecords::NextWrite(
  const std::function<std::size_t(std::string_view)>& aRankOf,
  Instant aNow) const
{
  for (const auto& [fingerprint, record] : m_records) {
    const auto due = DueSince(record, aNow);
    if (!due) {
      continue;
    }
    std::string key = KeyOf(fingerprint, record.kind);
    const std::size_t rank = aRankOf(key);
    if (rank >= kMaxRanks || aNow < *due + kRankDelay * rank) {
      continue;
    }
    QuarantineRowWrite write;
    write.fingerprint = fingerprint;
    write.key = std::move(key);
    write.expected_version = record.version;
    if (record.until && *record.until > aNow) {
      write.value = ValueOf(*record.until, record.count);
      if (!write.value) {
        continue;
      }
    }
    return write;
  }
  return std::nullopt;
}

std::optional<QuarantineRowWrite>
QuarantineRecords::NextQuarantineWrite(const Quarantine& aNext,
                                       Instant aNow) const
{
  QuarantineRowWrite write;
  write.fingerprint = aNext.fingerprint;
  write.key = KeyOf(aNext.fingerprint, aNext.kind);
  std::uint32_t count = aNext.count;
  const auto found = m_records.find(aNext.fingerprint);
  if (found != m_records.end()) {
    const Record& record = found->second;
    write.expected_version = record.version;
    if (record.recorded) {
      const auto end = m_store_clock.LatestTimeOf(*record.recorded, aNow);
      if (!end || *end > aNow) {
        return std::nullopt;
      }
      count = std::max(count, record.recorded_count + 1);
    }
  }
  write.value = ValueOf(aNext.until, count);
  return write.value ? std::optional(write) : std::nullopt;
}

std::optional<std::string>
QuarantineRecords::ValueOf(Instant aUntil, std::uint32_t aCount) const
{
  const auto until = m_store_clock.UpperBoundAt(aUntil);
  if (!until) {
    return std::nullopt;
  }
  return std::to_string(*until) + kSeparator + std::to_string(aCount);
}

} // namespace jujubehead::core
