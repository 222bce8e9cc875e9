#include "jujubehead/core/routing/load_estimate.hpp"

#include <algorithm> // for max
#include <chrono>    // for duration
#include <cmath>     // for exp2

namespace jujubehead::core {
namespace {

/// What a target told halves in weight with this age: about the time that a
/// request lasts, after which others run there.
constexpr std::chrono::duration<double> kHalfLife{ 1.0 };

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
  const std::chrono::duration<double> age = aNow - *m_told;
  return aUsual + (aTold - aUsual) * std::exp2(-(age / kHalfLife));
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
