#include "jujubehead/core/remote_clock.hpp"

#include <algorithm> // for max, min
#include <chrono>    // for duration_cast, floor, ceil

namespace jujubehead::core {
namespace {

using std::chrono::milliseconds;

/// Bounds that contradict each other by more than rounding are of a clock that
/// was replaced.
constexpr RemoteMs kRounding = 2;

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

Instant
InstantOf(RemoteMs aMs)
{
  return Instant(std::chrono::duration_cast<Duration>(milliseconds(aMs)));
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
  const RemoteMs least = aLeast - Ceil(aHeard);
  const RemoteMs most = aMost - Floor(aAsked);
  if (!m_least || least > *m_most + kRounding || most < *m_least - kRounding) {
    m_least = least;
    m_most = most;
    return;
  }
  m_least = std::max(*m_least, least);
  m_most = std::min(*m_most, most);
}

std::optional<RemoteMs>
RemoteClock::LeastAt(Instant aWhen) const
{
  return m_least ? std::optional(*m_least + Floor(aWhen)) : std::nullopt;
}

std::optional<RemoteMs>
RemoteClock::MostAt(Instant aWhen) const
{
  return m_most ? std::optional(*m_most + Ceil(aWhen)) : std::nullopt;
}

std::optional<Instant>
RemoteClock::LatestOf(RemoteMs aReading) const
{
  return m_least ? std::optional(InstantOf(aReading - *m_least)) : std::nullopt;
}

std::optional<Instant>
RemoteClock::EarliestOf(RemoteMs aReading) const
{
  return m_most ? std::optional(InstantOf(aReading - *m_most)) : std::nullopt;
}

} // namespace jujubehead::core
