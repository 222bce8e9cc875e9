#include "jujubehead/core/context/store_link.hpp"

#include <algorithm> // for clamp, max
#include <chrono>    // for duration, duration_cast

namespace jujubehead::core {
namespace {

using Seconds = std::chrono::duration<double>;

/// Weight of one sample: averages over some fifty requests, a few seconds of an
/// instance's traffic.
constexpr double kSampleWeight = 0.02;
/// Not 0, because an almost idle instance still sends some requests.
constexpr double kMinShare = 0.001;
/// A transfer between data centres takes this many times as long.
constexpr double kCrossDataCentreFactor = 2;
/// How many times the objective the estimated time of a read may reach before
/// the part is prefilled again. The actual wait is shorter than the estimate.
constexpr double kMaxReadFactor = 2;

Duration
ToDuration(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(Seconds(aSeconds));
}

} // namespace

void
TrafficShare::AddSample(double aOwn, double aAll)
{
  m_own += kSampleWeight * (aOwn - m_own);
  m_all += kSampleWeight * (aAll - m_all);
}

double
TrafficShare::Value() const
{
  return std::clamp(m_own / std::max(m_all, kMinShare), kMinShare, 1.0);
}

Duration
LinkTime(const TransferSize& aSize, const LinkRate& aRate)
{
  if (aRate.bytes_per_second <= 0) {
    return {};
  }
  const double bytes =
    static_cast<double>(aSize.tokens) * static_cast<double>(aSize.token_bytes);
  const double factor = aSize.is_far ? kCrossDataCentreFactor : 1;
  return ToDuration(factor * bytes / aRate.bytes_per_second);
}

double
StoreLink::RemainingSeconds(double aShare, Instant aNow) const
{
  const double elapsed = std::max(0.0, Seconds(aNow - m_updated_at).count());
  return std::max(0.0, m_backlog_seconds - aShare * elapsed);
}

void
StoreLink::Add(Duration aLinkTime, double aShare, Instant aNow)
{
  m_backlog_seconds =
    RemainingSeconds(aShare, aNow) + Seconds(aLinkTime).count();
  m_updated_at = aNow;
}

Duration
StoreLink::Wait(double aShare, Instant aNow) const
{
  return ToDuration(RemainingSeconds(aShare, aNow) / aShare);
}

bool
ShouldRead(const TransferEstimate& aOffer)
{
  const auto total =
    static_cast<double>((aOffer.wait + aOffer.transfer).count());
  return total <=
         kMaxReadFactor * static_cast<double>(aOffer.objective.count());
}

bool
ShouldWrite(const TransferEstimate& aOffer)
{
  return aOffer.wait <= aOffer.objective;
}

} // namespace jujubehead::core
