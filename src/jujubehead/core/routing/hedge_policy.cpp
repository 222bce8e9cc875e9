#include "jujubehead/core/routing/hedge_policy.hpp"

#include <algorithm> // for min, nth_element

namespace jujubehead::core {
namespace {

/// Responses of a route that count, and the least number that says something of
/// the slowest.
constexpr std::size_t kMaxSamples = 128;
constexpr std::size_t kMinSamples = 20;
constexpr std::size_t kPercent = 95;
/// Hedged requests that may be saved up for a moment with many slow responses.
constexpr double kMaxTokens = 3;
/// Time after a refusal in which room counts as scarce.
constexpr Duration kScarceTime = std::chrono::seconds(1);

} // namespace

void
RecentLatencies::Add(Duration aTook)
{
  if (m_times.size() < kMaxSamples) {
    m_times.push_back(aTook);
    return;
  }
  m_times[m_next] = aTook;
  m_next = (m_next + 1) % kMaxSamples;
}

std::optional<Duration>
RecentLatencies::Percentile95() const
{
  if (m_times.size() < kMinSamples) {
    return std::nullopt;
  }
  std::vector<Duration> times = m_times;
  const auto at =
    times.begin() + static_cast<std::ptrdiff_t>(times.size() * kPercent / 100);
  std::nth_element(times.begin(), at, times.end());
  return *at;
}

bool
MayHedge(const HedgeInput& aInput)
{
  const bool may_run_again =
    aInput.is_repeatable && aInput.may_have_run < aInput.max_targets;
  const bool is_untouched = !aInput.has_stream_begun &&
                            !aInput.resumes_stream && !aInput.is_suspect &&
                            !aInput.is_cold_send;
  return may_run_again && is_untouched && aInput.time_left > aInput.delay;
}

void
HedgePolicy::OnRequest()
{
  m_tokens = std::min(kMaxTokens, m_tokens + m_share);
}

void
HedgePolicy::OnFirstResponse(const std::string& aRoute, Duration aTook)
{
  m_latencies[aRoute].Add(aTook);
}

std::optional<Duration>
HedgePolicy::DelayOf(const std::string& aRoute) const
{
  const auto found = m_latencies.find(aRoute);
  if (m_share <= 0 || found == m_latencies.end()) {
    return std::nullopt;
  }
  return found->second.Percentile95();
}

bool
HedgePolicy::IsScarce(Instant aNow) const
{
  return m_refused_at && aNow - *m_refused_at < kScarceTime;
}

bool
HedgePolicy::TryToHedge()
{
  if (m_tokens < 1) {
    return false;
  }
  --m_tokens;
  return true;
}

} // namespace jujubehead::core
