#include "jujubehead/core/context/store_link.hpp"

#include <algorithm> // for clamp, max
#include <chrono>    // for duration, duration_cast

namespace jujubehead::core {
namespace {

using Seconds = std::chrono::duration<double>;

/// Weight of one look: some fifty requests, a few seconds of an instance.
constexpr double kLookWeight = 0.02;
/// An instance without traffic still sends a request now and then.
constexpr double kLeastShare = 0.001;
/// A transfer between data centres takes this many times as long.
constexpr double kFarTimes = 2;
/// How many times the objective the own count may reach before a part is read
/// anew. The true wait is a part of it.
constexpr double kReadTimes = 2;

Duration
ToDuration(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(Seconds(aSeconds));
}

} // namespace

void
TrafficShare::OnLook(double aOwn, double aAll)
{
  m_own += kLookWeight * (aOwn - m_own);
  m_all += kLookWeight * (aAll - m_all);
}

double
TrafficShare::Value() const
{
  return std::clamp(m_own / std::max(m_all, kLeastShare), kLeastShare, 1.0);
}

Duration
LinkTime(const TransferSize& aSize, const LinkRate& aRate)
{
  if (aRate.bytes_per_second <= 0) {
    return {};
  }
  const double bytes =
    static_cast<double>(aSize.tokens) * static_cast<double>(aSize.token_bytes);
  const double times = aSize.is_far ? kFarTimes : 1;
  return ToDuration(times * bytes / aRate.bytes_per_second);
}

double
StoreLink::Left(double aShare, Instant aNow) const
{
  const double passed = std::max(0.0, Seconds(aNow - m_at).count());
  return std::max(0.0, m_seconds - aShare * passed);
}

void
StoreLink::Add(Duration aLinkTime, double aShare, Instant aNow)
{
  m_seconds = Left(aShare, aNow) + Seconds(aLinkTime).count();
  m_at = aNow;
}

Duration
StoreLink::Wait(double aShare, Instant aNow) const
{
  return ToDuration(Left(aShare, aNow) / aShare);
}

bool
IsWorthReading(const TransferOffer& aOffer)
{
  const auto took =
    static_cast<double>((aOffer.wait + aOffer.transfer).count());
  return took <= kReadTimes * static_cast<double>(aOffer.objective.count());
}

bool
IsWorthKeeping(const TransferOffer& aOffer)
{
  return aOffer.wait <= aOffer.objective;
}

} // namespace jujubehead::core
