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
  m_told = aNow;
}

double
LoadEstimate::Requests(Instant aNow) const
{
  if (!m_told) {
    return m_own;
  }
  const std::chrono::duration<double> age = aNow - *m_told;
  return m_own + m_others * std::exp2(-(age / kHalfLife));
}

} // namespace jujubehead::core
