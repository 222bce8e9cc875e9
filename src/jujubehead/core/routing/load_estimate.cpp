#include "jujubehead/core/routing/load_estimate.hpp"

#include <algorithm> // for max
#include <chrono>    // for duration
#include <cmath>     // for exp2

namespace jujubehead::core {
namespace {

/// What a target told halves in weight with this age: about the time that a
/// request lasts, after which others run there.
constexpr std::chrono::duration<double> kHalfLife{ 1.0 };

/// Weight of one report in what is usual: some twenty answers, which an
/// instance gets within a second.
constexpr double kReportWeight = 0.05;

} // namespace

void
UsualLoad::OnReport(double aOthers, double aWaiting)
{
  const double weight = m_is_told ? kReportWeight : 1;
  m_others += weight * (aOthers - m_others);
  m_waiting += weight * (aWaiting - m_waiting);
  m_is_told = true;
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
    m_usual->OnReport(m_others, m_waiting);
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
  return m_own + Faded(m_others, m_usual ? m_usual->Others() : 0, aNow);
}

double
LoadEstimate::Waiting(Instant aNow) const
{
  return Faded(m_waiting, m_usual ? m_usual->Waiting() : 0, aNow);
}

} // namespace jujubehead::core
