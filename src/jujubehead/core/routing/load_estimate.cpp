#include "jujubehead/core/routing/load_estimate.hpp"

#include <algorithm> // for clamp, max
#include <chrono>    // for duration
#include <cmath>     // for exp2

namespace jujubehead::core {
namespace {

using Seconds = std::chrono::duration<double>;

/// Half-life of a report before it is known how long requests last.
constexpr Duration kFirstHalfLife = std::chrono::seconds(1);
constexpr Duration kShortestHalfLife = std::chrono::milliseconds(100);
constexpr Duration kLongestHalfLife = std::chrono::seconds(10);
/// Weight of one request in how long they last.
constexpr double kLastedWeight = 0.02;
/// A queue lasts so many times as long as the requests in it.
constexpr double kQueueTimes = 2;

/// Without any answer of a service for so long, what was usual there fades, and
/// halves in this time. Even the slowest instance gets several answers a
/// second; from 20 waiting it takes 3.2 s until a request is begun again, which
/// shows how it is: a quarter of the time in which service has to be back.
constexpr Duration kSilence = std::chrono::seconds(1);
constexpr std::chrono::duration<double> kUsualHalfLife{ 0.5 };

/// Weight of one report in what is usual: some twenty answers, which an
/// instance gets within a second.
constexpr double kReportWeight = 0.05;

} // namespace

void
UsualLoad::OnReport(double aOthers, double aWaiting, Instant aNow)
{
  // What has faded leaves its place to the new word.
  const double weight = m_told ? 1 - (1 - kReportWeight) * Weight(aNow) : 1;
  m_others += weight * (aOthers - m_others);
  m_waiting += weight * (aWaiting - m_waiting);
  m_told = aNow;
}

void
UsualLoad::OnEnded(Duration aLasted)
{
  const double seconds = Seconds(aLasted).count();
  m_lasted += kLastedWeight * (seconds - m_lasted);
  m_lasted_squared += kLastedWeight * (seconds * seconds - m_lasted_squared);
}

Duration
UsualLoad::HalfLife() const
{
  if (m_lasted <= 0) {
    return kFirstHalfLife;
  }
  // How long a request lasts that is found running, in the mean. The queue that
  // it is part of outlives it.
  const double found = m_lasted_squared / m_lasted;
  const auto half =
    std::chrono::duration_cast<Duration>(Seconds(kQueueTimes * found));
  return std::clamp(half, kShortestHalfLife, kLongestHalfLife);
}

double
UsualLoad::Weight(Instant aNow) const
{
  if (!m_told || aNow - *m_told <= kSilence) {
    return 1;
  }
  const std::chrono::duration<double> over = aNow - *m_told - kSilence;
  return std::exp2(-(over / kUsualHalfLife));
}

void
LoadEstimate::OnEnd(Duration aLasted)
{
  --m_own;
  if (m_usual) {
    m_usual->OnEnded(aLasted);
  }
}

void
LoadEstimate::Take(const ReportedLoad& aLoad, Instant aHeard)
{
  m_others =
    std::max(0.0, static_cast<double>(aLoad.running) + aLoad.waiting - m_own);
  m_waiting = aLoad.waiting;
  m_told = aHeard;
}

void
LoadEstimate::OnTold(const ReportedLoad& aLoad, Instant aHeard)
{
  if (!m_told || aHeard > *m_told) {
    Take(aLoad, aHeard);
  }
}

void
LoadEstimate::OnReport(const ReportedLoad& aLoad, Instant aNow)
{
  Take(aLoad, aNow);
  if (m_usual) {
    m_usual->OnReport(m_others, m_waiting, aNow);
  }
}

double
LoadEstimate::Faded(double aTold, double aUsual, Instant aNow) const
{
  if (!m_told) {
    return aUsual;
  }
  const Seconds age = aNow - *m_told;
  const Seconds half = m_usual ? m_usual->HalfLife() : kFirstHalfLife;
  return aUsual + (aTold - aUsual) * std::exp2(-(age / half));
}

double
LoadEstimate::Requests(Instant aNow) const
{
  return m_own + Faded(m_others, m_usual ? m_usual->Others(aNow) : 0, aNow);
}

double
LoadEstimate::Waiting(Instant aNow) const
{
  return Faded(m_waiting, m_usual ? m_usual->Waiting(aNow) : 0, aNow);
}

} // namespace jujubehead::core
