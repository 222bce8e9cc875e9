#include "jujubehead/core/routing/concurrency_share.hpp"

#include <algorithm> // for clamp, min

#include "jujubehead/core/membership/holder_ring.hpp" // for HolderRing

namespace jujubehead::core {
namespace {

/// Most instances that share a target's memory: a long prompt takes up to a
/// third of it.
constexpr std::size_t kMaxMemoryHolders = 3;
/// A target that has rejected a request counts its rejections over a second.
constexpr Duration kRejectionPause = std::chrono::seconds(1);
/// Share of the places that requests leave to more urgent ones, per step of
/// urgency, and at most.
constexpr double kReservedPerStep = 0.1;
constexpr double kMaxReserved = 0.5;

} // namespace

std::size_t
ConcurrencyShare::Holders(const TargetCapacity& aCapacity,
                          std::size_t aInstances)
{
  const std::size_t most =
    aCapacity.tokens > 0 ? kMaxMemoryHolders : HolderRing::kMaxRank;
  return std::clamp<std::size_t>(
    std::min<std::size_t>(aInstances, aCapacity.slots), 1, most);
}

std::uint32_t
ConcurrencyShare::Slots(const TargetCapacity& aCapacity,
                        const HolderRank& aRank)
{
  const std::size_t holders = Holders(aCapacity, aRank.instances);
  if (aRank.rank >= holders) {
    return 0;
  }
  const std::size_t left = aCapacity.slots % holders;
  return static_cast<std::uint32_t>(aCapacity.slots / holders +
                                    (aRank.rank < left ? 1 : 0));
}

void
ConcurrencyShare::OnBegin(std::uint64_t aTokens)
{
  ++m_requests;
  m_tokens += aTokens;
}

void
ConcurrencyShare::OnEnd(std::uint64_t aTokens)
{
  --m_requests;
  m_tokens -= aTokens;
}

void
ConcurrencyShare::OnAbandoned(std::uint64_t aTokens,
                              Instant aUntil,
                              Instant aNow)
{
  OnEnd(aTokens);
  std::erase_if(m_abandoned,
                [&](const Abandoned& aOne) { return aOne.until <= aNow; });
  m_abandoned.push_back({ aTokens, aUntil });
}

void
ConcurrencyShare::OnRejected(Instant aNow)
{
  m_paused_until = aNow + kRejectionPause;
}

std::uint32_t
ConcurrencyShare::InFlight(Instant aNow) const
{
  std::uint32_t count = m_requests;
  for (const Abandoned& one : m_abandoned) {
    count += one.until > aNow ? 1 : 0;
  }
  return count;
}

std::uint32_t
ConcurrencyShare::Free(const TargetCapacity& aCapacity,
                       const HolderRank& aRank,
                       Instant aNow) const
{
  const std::uint32_t slots = Slots(aCapacity, aRank);
  const std::uint32_t used = InFlight(aNow);
  return aNow < m_paused_until || used >= slots ? 0 : slots - used;
}

bool
ConcurrencyShare::MaySend(const TargetCapacity& aCapacity,
                          const HolderRank& aRank,
                          std::uint64_t aTokens,
                          Instant aNow) const
{
  if (Free(aCapacity, aRank, aNow) == 0) {
    return false;
  }
  if (aCapacity.tokens == 0) {
    return true;
  }
  // A prompt beyond the whole memory is rejected whenever it comes.
  if (aRank.rank == 0 && InFlight(aNow) == 0) {
    return aTokens <= aCapacity.tokens;
  }
  std::uint64_t tokens = m_tokens + aTokens;
  for (const Abandoned& one : m_abandoned) {
    tokens += one.until > aNow ? one.tokens : 0;
  }
  return tokens <= aCapacity.tokens / Holders(aCapacity, aRank.instances);
}

bool
BrittleSignal::OnReply(std::optional<std::uint32_t> aRejections,
                       Instant aSent,
                       Instant aNow)
{
  const bool is_change = aRejections.has_value() != m_rejections.has_value();
  if (is_change && aSent <= m_changed_at) {
    return false;
  }
  m_is_known = true;
  m_rejections = aRejections;
  m_changed_at = is_change ? aNow : m_changed_at;
  return is_change;
}

SharingMode
BrittleSignal::ModeAt(Instant aNow) const
{
  if (!m_is_known) {
    return SharingMode::kCautious;
  }
  if (!m_rejections) {
    return SharingMode::kUnlimited;
  }
  return aNow < m_shares_from ? SharingMode::kNone : SharingMode::kShare;
}

bool
IsAdmitted(const ServiceConcurrency& aService, std::uint32_t aUrgency)
{
  if (aService.free == 0) {
    return false;
  }
  const double reserved = std::min(kMaxReserved, kReservedPerStep * aUrgency);
  return aService.free >
         static_cast<std::uint32_t>(reserved * (aService.slots - 1));
}

} // namespace jujubehead::core
