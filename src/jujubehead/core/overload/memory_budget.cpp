#include "jujubehead/core/overload/memory_budget.hpp"

#include <algorithm> // for max, min, sort
#include <utility>   // for move

namespace jujubehead::core {
namespace {

/// @return three quarters of a number.
constexpr std::size_t
ThreeQuarters(std::size_t aBytes)
{
  return aBytes - aBytes / 4;
}

bool
IsRequest(MemoryBudget::Phase aPhase)
{
  return aPhase == MemoryBudget::Phase::kReceiving ||
         aPhase == MemoryBudget::Phase::kHandling;
}

} // namespace

MemoryBudget::Reservation::Reservation(std::shared_ptr<MemoryBudget> aBudget,
                                       Phase aPhase,
                                       std::function<void()> aOnRevoked)
  : m_budget(std::move(aBudget))
  , m_phase(aPhase)
  , m_on_revoked(std::move(aOnRevoked))
{
  m_budget->m_reservations.insert(this);
}

MemoryBudget::Reservation::~Reservation()
{
  m_budget->Replace(m_phase, m_bytes, m_phase, 0);
  m_budget->m_reservations.erase(this);
}

bool
MemoryBudget::Reservation::Resize(std::size_t aBytes, Instant aNow)
{
  if (m_is_revoked) {
    return false;
  }
  if (m_slow_at == Instant{}) {
    m_slow_at = aNow + kSlowAllowance;
  }
  if (aBytes > m_bytes && !m_budget->MakeRoom(*this, aBytes, aNow)) {
    return false;
  }
  m_budget->Replace(m_phase, m_bytes, m_phase, aBytes);
  m_bytes = aBytes;
  return true;
}

void
MemoryBudget::Reservation::OnProgress(std::size_t aBytes, Instant aNow)
{
  const Duration worth =
    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(aBytes) / static_cast<double>(kMinBytesPerSecond)));
  m_slow_at =
    std::min(aNow + kSlowAllowance, std::max(m_slow_at, aNow) + worth);
}

void
MemoryBudget::Reservation::SetPhase(Phase aPhase, Instant aNow)
{
  m_budget->Replace(m_phase, m_bytes, aPhase, m_bytes);
  m_phase = aPhase;
  m_slow_at = aNow + kSlowAllowance;
}

bool
MemoryBudget::Reservation::IsSlow(Instant aNow) const
{
  const bool is_transfer =
    m_phase == Phase::kReceiving || m_phase == Phase::kSendingReply;
  return is_transfer && m_bytes > 0 && m_slow_at <= aNow;
}

void
MemoryBudget::Reservation::Revoke()
{
  m_budget->Replace(m_phase, m_bytes, m_phase, 0);
  m_bytes = 0;
  m_is_revoked = true;
  ++m_budget->m_revocations;
  m_on_revoked();
}

void
MemoryBudget::Sums::Add(Phase aPhase, std::size_t aBytes)
{
  total += aBytes;
  if (IsRequest(aPhase)) {
    requests += aBytes;
    large += aBytes > kMaxSmallBytes ? aBytes : 0;
  } else {
    replies += aBytes;
  }
}

void
MemoryBudget::Sums::Subtract(Phase aPhase, std::size_t aBytes)
{
  total -= aBytes;
  if (IsRequest(aPhase)) {
    requests -= aBytes;
    large -= aBytes > kMaxSmallBytes ? aBytes : 0;
  } else {
    replies -= aBytes;
  }
}

MemoryBudget::MemoryBudget(std::size_t aMaxBytes)
{
  m_max.total = aMaxBytes;
  m_max.requests = ThreeQuarters(aMaxBytes);
  m_max.large = ThreeQuarters(m_max.requests);
  m_max.replies = ThreeQuarters(aMaxBytes);
}

void
MemoryBudget::Replace(Phase aOldPhase,
                      std::size_t aOldBytes,
                      Phase aPhase,
                      std::size_t aBytes)
{
  m_sums.Subtract(aOldPhase, aOldBytes);
  m_sums.Add(aPhase, aBytes);
  m_bytes = m_sums.total;
}

bool
MemoryBudget::Fits(const Sums& aSums) const
{
  return aSums.total <= m_max.total && aSums.requests <= m_max.requests &&
         aSums.large <= m_max.large && aSums.replies <= m_max.replies;
}

bool
MemoryBudget::Helps(const Reservation& aVictim, const Sums& aSums) const
{
  const bool is_request = IsRequest(aVictim.m_phase);
  const bool is_large = is_request && aVictim.m_bytes > kMaxSmallBytes;
  return aSums.total > m_max.total ||
         (is_request && aSums.requests > m_max.requests) ||
         (is_large && aSums.large > m_max.large) ||
         (!is_request && aSums.replies > m_max.replies);
}

bool
MemoryBudget::MakeRoom(const Reservation& aFor,
                       std::size_t aBytes,
                       Instant aNow)
{
  Sums sums = m_sums;
  sums.Subtract(aFor.m_phase, aFor.m_bytes);
  sums.Add(aFor.m_phase, aBytes);
  if (Fits(sums)) {
    return true;
  }
  const bool is_reply = aFor.m_phase == Phase::kReceivingReply;
  std::vector<Reservation*> candidates;
  std::vector<Reservation*> replies;
  for (Reservation* const one : m_reservations) {
    if (one != &aFor && one->IsSlow(aNow)) {
      candidates.push_back(one);
    } else if (is_reply && one->m_phase == Phase::kReceivingReply) {
      replies.push_back(one);
    }
  }
  const auto is_larger = [&](const Reservation* aOne, const Reservation* aTwo) {
    return (aOne == &aFor ? aBytes : aOne->m_bytes) >
           (aTwo == &aFor ? aBytes : aTwo->m_bytes);
  };
  std::sort(candidates.begin(), candidates.end(), is_larger);
  std::sort(replies.begin(), replies.end(), is_larger);
  candidates.insert(candidates.end(), replies.begin(), replies.end());

  std::vector<Reservation*> victims;
  for (Reservation* const one : candidates) {
    if (Fits(sums)) {
      break;
    }
    if (Helps(*one, sums)) {
      sums.Subtract(one->m_phase, one == &aFor ? aBytes : one->m_bytes);
      victims.push_back(one);
    }
  }
  if (!Fits(sums)) {
    return false;
  }
  for (Reservation* const victim : victims) {
    victim->Revoke();
  }
  return !aFor.m_is_revoked;
}

} // namespace jujubehead::core
