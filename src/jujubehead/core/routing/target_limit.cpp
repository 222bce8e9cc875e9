#include "jujubehead/core/routing/target_limit.hpp"

#include <algorithm> // for clamp, max, min
#include <bit>       // for bit_width
#include <chrono>    // for duration, duration_cast
#include <cmath>     // for floor
#include <cstdint>   // for uint64_t

namespace jujubehead::core {
namespace {

using Seconds = std::chrono::duration<double>;

/// Most instances that share a limit. A larger limit gives each a larger share.
constexpr std::size_t kMaxHolders = 16;
/// A target that names less is asked this often: only its replies show that the
/// limit is over.
constexpr double kMinPerSecond = 0.1;
/// Replies that confirm a limit come about as often as it allows requests, and
/// reach all instances within a second.
constexpr double kConfirmationRequests = 4;
constexpr Duration kMinConfirmationTime = std::chrono::seconds(5);
/// The end of a limit is reported for this long, as a report may be lost.
constexpr Duration kEndReportTime = std::chrono::seconds(3);
/// Share of the tokens that requests leave to more urgent ones, per step of
/// urgency, and at most.
constexpr double kReservedPerStep = 0.1;
constexpr double kMaxReserved = 0.5;

/// Rounding of times to microseconds must not make a full token less than one.
constexpr double kWholeToken = 1 - 1e-6;

/// @return the limit in whole units, rounded down.
double
Normalized(double aPerSecond)
{
  constexpr double kRounding = 1e-6;
  const double units =
    std::floor(aPerSecond * TargetLimit::kUnitsPerRequest + kRounding);
  return std::clamp(units / TargetLimit::kUnitsPerRequest,
                    kMinPerSecond,
                    TargetLimit::kMaxPerSecond);
}

} // namespace

void
TargetLimit::Set(std::optional<double> aPerSecond, Instant aNow)
{
  if (aPerSecond) {
    aPerSecond = Normalized(*aPerSecond);
  }
  if (!m_per_second) {
    m_tokens = 0;
    m_filled_at = aNow;
  } else if (aPerSecond != m_per_second) {
    m_tokens = Tokens(0, aNow);
    m_filled_at = std::max(m_filled_at, aNow);
  }
  m_per_second = aPerSecond;
  m_tokens = std::min(m_tokens, Capacity());
}

bool
TargetLimit::OnReply(std::optional<double> aPerSecond,
                     Instant aSent,
                     Instant aNow)
{
  const bool was_sent_before = aSent <= m_confirmed_at;
  const bool is_new = aPerSecond.has_value() != m_per_second.has_value();
  if ((is_new && was_sent_before) || (!aPerSecond && !m_per_second)) {
    return false;
  }
  const std::optional<double> before = m_per_second;
  Set(aPerSecond, aNow);
  m_confirmed_at = std::max(m_confirmed_at, aNow);
  return m_per_second != before;
}

void
TargetLimit::OnReport(std::optional<double> aPerSecond, Instant aReceivedAt)
{
  if (aReceivedAt <= m_confirmed_at) {
    return;
  }
  Set(aPerSecond, aReceivedAt);
  m_confirmed_at = aReceivedAt;
}

bool
TargetLimit::IsWorthReporting(Instant aNow) const
{
  const bool was_limited = m_confirmed_at != Instant{};
  return m_per_second ||
         (was_limited && aNow - m_confirmed_at < kEndReportTime);
}

std::size_t
TargetLimit::Holders() const
{
  return std::clamp<std::size_t>(
    static_cast<std::size_t>(m_per_second.value_or(0) + 1), 1, kMaxHolders);
}

double
TargetLimit::Capacity() const
{
  return (m_per_second.value_or(0) + 1) / static_cast<double>(Holders());
}

double
TargetLimit::TokensPerSecond() const
{
  return m_per_second.value_or(0) / static_cast<double>(Holders());
}

Duration
TargetLimit::ConfirmationTime() const
{
  const Seconds requests(kConfirmationRequests /
                         m_per_second.value_or(kMinPerSecond));
  return kMinConfirmationTime + std::chrono::duration_cast<Duration>(requests);
}

bool
TargetLimit::IsHeld(std::size_t aRank, Instant aNow) const
{
  const Duration unconfirmed = std::max(aNow - m_confirmed_at, Duration(0));
  const auto times =
    static_cast<std::uint64_t>(1 + unconfirmed / ConfirmationTime());
  const auto sets = static_cast<std::size_t>(std::bit_width(times));
  return aRank / Holders() < sets;
}

double
TargetLimit::Tokens(std::size_t aRank, Instant aNow) const
{
  if (!m_per_second || !IsHeld(aRank, aNow)) {
    return 0;
  }
  const Seconds passed = std::max(aNow - m_filled_at, Duration(0));
  return std::min(Capacity(), m_tokens + TokensPerSecond() * passed.count());
}

bool
TargetLimit::MaySend(std::size_t aRank, Instant aNow) const
{
  return !m_per_second || Tokens(aRank, aNow) >= kWholeToken;
}

bool
TargetLimit::TryToSend(std::size_t aRank, Instant aNow)
{
  if (!MaySend(aRank, aNow)) {
    return false;
  }
  m_tokens = Tokens(aRank, aNow) - 1;
  m_filled_at = std::max(m_filled_at, aNow);
  return true;
}

std::optional<Duration>
TimeUntilAdmitted(const ServiceLimit& aLimit, std::uint32_t aUrgency)
{
  const double reserved = std::min(kMaxReserved, kReservedPerStep * aUrgency);
  const double needed =
    kWholeToken + reserved * std::max(aLimit.capacity - 1, 0.0);
  if (aLimit.tokens >= needed) {
    return Duration(0);
  }
  if (aLimit.tokens_per_second <= 0) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
    Seconds((needed - aLimit.tokens) / aLimit.tokens_per_second));
}

} // namespace jujubehead::core
