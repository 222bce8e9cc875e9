#include "jujubehead/core/remote_clock.hpp"

#include <algorithm> // for clamp
#include <chrono>    // for abs, duration_cast, floor, ceil

namespace jujubehead::core {
namespace {

using std::chrono::milliseconds;

/// Bounds that contradict each other by more than rounding come from a clock
/// that was replaced.
constexpr RemoteMs kRoundingMs = 2;
/// About 3,000 years; a value beyond it comes from a corrupt row.
constexpr RemoteMs kMaxMs = 100'000'000'000'000;
/// Two steady clocks are assumed to drift apart by at most 1 ms in this many:
/// 200 ppm, twice the specified tolerance of server crystals.
constexpr RemoteMs kMsPerMsOfDrift = 5000;

RemoteMs
Floor(Instant aWhen)
{
  return std::chrono::floor<milliseconds>(aWhen.time_since_epoch()).count();
}

RemoteMs
Ceil(Instant aWhen)
{
  return std::chrono::ceil<milliseconds>(aWhen.time_since_epoch()).count();
}

/// The result is rounded up. Also valid for instants before the bound was
/// known.
RemoteMs
DriftOver(Duration aTime)
{
  const RemoteMs ms =
    std::chrono::ceil<milliseconds>(std::chrono::abs(aTime)).count();
  return (ms + kMsPerMsOfDrift - 1) / kMsPerMsOfDrift;
}

Instant
InstantOf(RemoteMs aMs)
{
  const RemoteMs ms = std::clamp(aMs, -kMaxMs, kMaxMs);
  return Instant(std::chrono::duration_cast<Duration>(milliseconds(ms)));
}

} // namespace

void
RemoteClock::OnReading(RemoteMs aReading, Instant aSentAt, Instant aReceivedAt)
{
  OnBounds(aReading, aReading, aSentAt, aReceivedAt);
}

void
RemoteClock::OnBounds(RemoteMs aLower,
                      RemoteMs aUpper,
                      Instant aSentAt,
                      Instant aReceivedAt)
{
  const Bound lower{ aLower - Ceil(aReceivedAt), aReceivedAt };
  const Bound upper{ aUpper - Floor(aSentAt), aSentAt };
  if (!m_is_known || lower.offset > UpperOffset(aReceivedAt) + kRoundingMs ||
      upper.offset < LowerOffset(aReceivedAt) - kRoundingMs) {
    m_is_known = true;
    m_lower = lower;
    m_upper = upper;
    return;
  }
  if (lower.offset >= LowerOffset(aReceivedAt)) {
    m_lower = lower;
  }
  if (upper.offset <= UpperOffset(aReceivedAt)) {
    m_upper = upper;
  }
}

RemoteMs
RemoteClock::LowerOffset(Instant aWhen) const
{
  return m_lower.offset - DriftOver(aWhen - m_lower.since);
}

RemoteMs
RemoteClock::UpperOffset(Instant aWhen) const
{
  return m_upper.offset + DriftOver(aWhen - m_upper.since);
}

std::optional<RemoteMs>
RemoteClock::LowerBoundAt(Instant aWhen) const
{
  return m_is_known ? std::optional(LowerOffset(aWhen) + Floor(aWhen))
                    : std::nullopt;
}

std::optional<RemoteMs>
RemoteClock::UpperBoundAt(Instant aWhen) const
{
  return m_is_known ? std::optional(UpperOffset(aWhen) + Ceil(aWhen))
                    : std::nullopt;
}

std::optional<Instant>
RemoteClock::LatestTimeOf(RemoteMs aReading, Instant aNow) const
{
  return m_is_known ? std::optional(InstantOf(aReading - LowerOffset(aNow)))
                    : std::nullopt;
}

std::optional<Instant>
RemoteClock::EarliestTimeOf(RemoteMs aReading, Instant aNow) const
{
  return m_is_known ? std::optional(InstantOf(aReading - UpperOffset(aNow)))
                    : std::nullopt;
}

} // namespace jujubehead::core
