#include "jujubehead/core/routing/load_estimate.hpp"

#include <algorithm> // for clamp, max
#include <chrono>    // for duration
#include <cmath>     // for exp2

namespace jujubehead::core {
namespace {

using Seconds = std::chrono::duration<double>;

/// Half-life of a report before the duration of requests is known.
constexpr Duration kInitialHalfLife = std::chrono::seconds(1);
constexpr Duration kMinHalfLife = std::chrono::milliseconds(100);
constexpr Duration kMaxHalfLife = std::chrono::seconds(10);
/// Weight of one request in the moving average of durations.
constexpr double kDurationWeight = 0.02;
/// A queue lasts this many times as long as the requests in it.
constexpr double kQueueMultiple = 2;

/// Time without any report of a service after which its average decays, and the
/// half-life of that decay. Even the slowest instance gets several responses a
/// second. From 20 waiting requests it takes 3.2 s until a request is admitted
/// again, whose response reports the present load: a quarter of the time in
/// which service has to recover.
constexpr Duration kDecayDelay = std::chrono::seconds(1);
constexpr std::chrono::duration<double> kAverageHalfLife{ 0.5 };

/// Weight of one report in the average, which so covers about twenty responses;
/// an instance gets as many within a second.
constexpr double kReportWeight = 0.05;

} // namespace

void
ServiceLoadAverage::OnReport(double aOthers, double aWaiting, Instant aNow)
{
  // The more the average has decayed, the more the new report weighs.
  const double weight =
    m_reported_at ? 1 - (1 - kReportWeight) * Weight(aNow) : 1;
  m_others += weight * (aOthers - m_others);
  m_waiting += weight * (aWaiting - m_waiting);
  m_reported_at = aNow;
}

void
ServiceLoadAverage::OnEnded(Duration aLasted)
{
  const double seconds = Seconds(aLasted).count();
  m_lasted += kDurationWeight * (seconds - m_lasted);
  m_lasted_squared += kDurationWeight * (seconds * seconds - m_lasted_squared);
}

Duration
ServiceLoadAverage::HalfLife() const
{
  if (m_lasted <= 0) {
    return kInitialHalfLife;
  }
  // The mean duration of a request that is found running at a random time
  // (length-biased). The queue that it is part of outlives it.
  const double mean = m_lasted_squared / m_lasted;
  const auto half =
    std::chrono::duration_cast<Duration>(Seconds(kQueueMultiple * mean));
  return std::clamp(half, kMinHalfLife, kMaxHalfLife);
}

Duration
ServiceLoadAverage::MeanDuration() const
{
  return std::chrono::duration_cast<Duration>(Seconds(m_lasted));
}

double
ServiceLoadAverage::Weight(Instant aNow) const
{
  if (!m_reported_at || aNow - *m_reported_at <= kDecayDelay) {
    return 1;
  }
  const std::chrono::duration<double> over =
    aNow - *m_reported_at - kDecayDelay;
  return std::exp2(-(over / kAverageHalfLife));
}

void
LoadEstimate::OnEnd(Duration aLasted)
{
  --m_own;
  if (m_average) {
    m_average->OnEnded(aLasted);
  }
}

void
LoadEstimate::Record(const ReportedLoad& aLoad, Instant aReceivedAt)
{
  m_others =
    std::max(0.0, static_cast<double>(aLoad.running) + aLoad.waiting - m_own);
  m_waiting = aLoad.waiting;
  m_reported_at = aReceivedAt;
}

void
LoadEstimate::OnRelayedReport(const ReportedLoad& aLoad, Instant aReceivedAt)
{
  if (!m_reported_at || aReceivedAt > *m_reported_at) {
    Record(aLoad, aReceivedAt);
  }
}

void
LoadEstimate::OnReport(const ReportedLoad& aLoad, Instant aNow)
{
  Record(aLoad, aNow);
  if (m_average) {
    m_average->OnReport(m_others, m_waiting, aNow);
  }
}

double
LoadEstimate::Decayed(double aReported, double aAverage, Instant aNow) const
{
  if (!m_reported_at) {
    return aAverage;
  }
  const Seconds age = aNow - *m_reported_at;
  const Seconds half = m_average ? m_average->HalfLife() : kInitialHalfLife;
  return aAverage + (aReported - aAverage) * std::exp2(-(age / half));
}

Duration
LoadEstimate::MeanDuration() const
{
  return m_average ? m_average->MeanDuration() : Duration(0);
}

double
LoadEstimate::Requests(Instant aNow) const
{
  return m_own +
         Decayed(m_others, m_average ? m_average->Others(aNow) : 0, aNow);
}

double
LoadEstimate::Waiting(Instant aNow) const
{
  return Decayed(m_waiting, m_average ? m_average->Waiting(aNow) : 0, aNow);
}

} // namespace jujubehead::core
