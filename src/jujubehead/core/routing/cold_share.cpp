#include "jujubehead/core/routing/cold_share.hpp"

#include <algorithm> // for max, min
#include <chrono>    // for duration

namespace jujubehead::core {
namespace {

/// Tokens that a bucket holds.
constexpr double kCapacity = 1;
/// Rounding of times to microseconds must not make a full token less than one.
constexpr double kWholeToken = 1 - 1e-6;

} // namespace

double
ColdShare::Tokens(double aPerSecond, Instant aNow) const
{
  if (aNow <= m_filled_at) {
    return m_tokens;
  }
  const std::chrono::duration<double> passed = aNow - m_filled_at;
  const double rate = aPerSecond / static_cast<double>(kHolders);
  return std::min(kCapacity, m_tokens + passed.count() * rate);
}

bool
ColdShare::MaySend(std::size_t aRank, double aPerSecond, Instant aNow) const
{
  return aRank < kHolders && aPerSecond > 0 &&
         Tokens(aPerSecond, aNow) >= kWholeToken;
}

bool
ColdShare::TryToSend(std::size_t aRank, double aPerSecond, Instant aNow)
{
  if (!MaySend(aRank, aPerSecond, aNow)) {
    return false;
  }
  m_tokens = std::max(0.0, Tokens(aPerSecond, aNow) - 1);
  m_filled_at = aNow;
  return true;
}

void
ColdShare::OnBegin(Instant aNow)
{
  m_tokens = 0;
  m_filled_at = aNow;
}

} // namespace jujubehead::core
