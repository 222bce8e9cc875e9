#include "jujubehead/core/routing/load_estimate.hpp"

#include <algorithm> // for max
#include <chrono>    // for duration
#include <cmath>     // for exp2

namespace jujubehead::core {
namespace {

/// What a target told halves in weight with this age: about the time that a
/// request lasts, after which others run there.
constexpr std::chrono::duration<double> kHalfLife{ 1.0 };

} // namespace

void
LoadEstimate::OnReport(const ReportedLoad& aLoad, Instant aNow)
{
  m_others =
    std::max(0.0, static_cast<double>(aLoad.running) + aLoad.waiting - m_own);
  m_waiting = aLoad.waiting;
  m_told = aNow;
}

double
LoadEstimate::Faded(double aTold, Instant aNow) const
{
  if (!m_told) {
    return 0;
  }
  const std::chrono::duration<double> age = aNow - *m_told;
  return aTold * std::exp2(-(age / kHalfLife));
}

double
LoadEstimate::Requests(Instant aNow) const
{
  return m_own + Faded(m_others, aNow);
}

double
LoadEstimate::Waiting(Instant aNow) const
{
  return Faded(m_waiting, aNow);
}

} // namespace jujubehead::core
