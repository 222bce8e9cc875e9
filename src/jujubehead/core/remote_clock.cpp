#include "jujubehead/core/remote_clock.hpp"

#include <algorithm> // for clamp
#include <chrono>    // for abs, duration_cast, floor, ceil

namespace jujubehead::core {
namespace {

using std::chrono::milliseconds;

/// Bounds that contradict each other by more than rounding are of a clock that
/// was replaced.
constexpr RemoteMs kRounding = 2;
/// 3,000 years; what is beyond comes of a row that is garbage.
constexpr RemoteMs kMostMs = 100'000'000'000'000;
/// Two steady clocks drift apart by no more than 1 ms in so many: 200 in a
/// million, twice what the crystals of servers are sold with.
constexpr RemoteMs kMsOfDrift = 5000;

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

/// Rounded up, and for moments before the bound was known too.
RemoteMs
DriftOver(Duration aTime)
{
  const RemoteMs ms =
    std::chrono::ceil<milliseconds>(std::chrono::abs(aTime)).count();
  return (ms + kMsOfDrift - 1) / kMsOfDrift;
}

Instant
InstantOf(RemoteMs aMs)
{
  const RemoteMs ms = std::clamp(aMs, -kMostMs, kMostMs);
  return Instant(std::chrono::duration_cast<Duration>(milliseconds(ms)));
}

} // namespace

void
RemoteClock::OnReading(RemoteMs aReading, Instant aAsked, Instant aHeard)
{
  OnBounds(aReading, aReading, aAsked, aHeard);
}

void
RemoteClock::OnBounds(RemoteMs aLeast,
                      RemoteMs aMost,
                      Instant aAsked,
                      Instant aHeard)
{
  const Bound least{ aLeast - Ceil(aHeard), aHeard };
  const Bound most{ aMost - Floor(aAsked), aAsked };
  if (!m_is_known || least.offset > MostOffset(aHeard) + kRounding ||
      most.offset < LeastOffset(aHeard) - kRounding) {
    m_is_known = true;
    m_least = least;
    m_most = most;
    return;
  }
  if (least.offset >= LeastOffset(aHeard)) {
    m_least = least;
  }
  if (most.offset <= MostOffset(aHeard)) {
    m_most = most;
  }
}

RemoteMs
RemoteClock::LeastOffset(Instant aWhen) const
{
  return m_least.offset - DriftOver(aWhen - m_least.since);
}

RemoteMs
RemoteClock::MostOffset(Instant aWhen) const
{
  return m_most.offset + DriftOver(aWhen - m_most.since);
}

std::optional<RemoteMs>
RemoteClock::LeastAt(Instant aWhen) const
{
  return m_is_known ? std::optional(LeastOffset(aWhen) + Floor(aWhen))
                    : std::nullopt;
}

std::optional<RemoteMs>
RemoteClock::MostAt(Instant aWhen) const
{
  return m_is_known ? std::optional(MostOffset(aWhen) + Ceil(aWhen))
                    : std::nullopt;
}

std::optional<Instant>
RemoteClock::LatestOf(RemoteMs aReading, Instant aNow) const
{
  return m_is_known ? std::optional(InstantOf(aReading - LeastOffset(aNow)))
                    : std::nullopt;
}

std::optional<Instant>
RemoteClock::EarliestOf(RemoteMs aReading, Instant aNow) const
{
  return m_is_known ? std::optional(InstantOf(aReading - MostOffset(aNow)))
                    : std::nullopt;
}

} // namespace jujubehead::core
