#include "jujubehead/core/claims.hpp"

#include <algorithm> // for max
#include <set>       // for set
#include <utility>   // for move

namespace jujubehead::core {

bool
IsClaimExpired(const ClaimRow& aRow, std::int64_t aToday)
{
  return aRow.day + kClaimDays < aToday;
}

Claims
Claims::Create(ClaimRules aRules)
{
  return Claims(aRules);
}

std::size_t
Claims::Pending() const
{
  std::size_t pending = m_waiting.size() + m_reading.size();
  for (const auto& [transaction, attempts] : m_writing) {
    pending += attempts.size();
  }
  return pending;
}

void
Claims::Claim(ClaimRow aRow, Instant aNow)
{
  Attempt attempt{ std::move(aRow), aNow };
  if (m_waiting.size() >= m_rules.max_waiting) {
    Fail(attempt);
    return;
  }
  if (!m_batch_open) {
    m_batch_open = true;
    m_next_write_at = std::max(m_next_write_at, aNow + m_rules.batch_delay);
  }
  m_waiting.push_back(std::move(attempt));
}

void
Claims::Fail(const Attempt& aAttempt)
{
  m_actions.emplace_back(ClaimFailed{ aAttempt.row.token, aAttempt.uncertain });
}

std::vector<Claims::Attempt>
Claims::NextBatch()
{
  // Each key once: a transaction cannot insert the same row twice.
  std::set<ClaimKey> keys;
  std::vector<Attempt> batch;
  std::deque<Attempt> remaining;
  while (!m_waiting.empty()) {
    Attempt attempt = std::move(m_waiting.front());
    m_waiting.pop_front();
    const bool fits = batch.size() < m_rules.max_batch_rows &&
                      keys.insert(attempt.row.key).second;
    if (fits) {
      batch.push_back(std::move(attempt));
    } else {
      remaining.push_back(std::move(attempt));
    }
  }
  m_waiting = std::move(remaining);
  return batch;
}

void
Claims::StartWrites(Instant aNow)
{
  while (!m_waiting.empty() && aNow >= m_next_write_at &&
         m_writing.size() < m_rules.max_transactions) {
    std::vector<Attempt> batch = NextBatch();
    WriteClaims write{ ++m_last_transaction, {} };
    for (const Attempt& attempt : batch) {
      write.rows.push_back(attempt.row);
    }
    m_writing.emplace(write.transaction, std::move(batch));
    m_actions.emplace_back(std::move(write));
  }
  m_batch_open = !m_waiting.empty();
}

void
Claims::Expire(Instant aNow)
{
  // Scans all: claims that were queued again break the order of arrival.
  std::erase_if(m_waiting, [&](const Attempt& aAttempt) {
    const bool expired = aNow >= aAttempt.since + m_rules.settle_timeout;
    if (expired) {
      Fail(aAttempt);
    }
    return expired;
  });
}

void
Claims::Tick(Instant aNow)
{
  Expire(aNow);
  StartWrites(aNow);
}

std::vector<ClaimAction>
Claims::TakeActions()
{
  return std::exchange(m_actions, {});
}

void
Claims::ReadOne(Attempt aAttempt)
{
  ReadClaim read{ ++m_last_transaction, aAttempt.row.key };
  m_reading.emplace(read.transaction, std::move(aAttempt));
  m_actions.emplace_back(std::move(read));
}

void
Claims::OnWritten(std::uint64_t aTransaction,
                  const ClaimsOutcome& aOutcome,
                  Instant aNow)
{
  auto found = m_writing.extract(aTransaction);
  if (found.empty()) {
    return;
  }
  std::vector<Attempt>& attempts = found.mapped();
  if (std::holds_alternative<ClaimsCommitted>(aOutcome)) {
    for (const Attempt& attempt : attempts) {
      m_actions.emplace_back(ClaimWon{ attempt.row.token });
    }
  } else if (const auto* conflict = std::get_if<ClaimsConflict>(&aOutcome)) {
    const std::set<std::size_t> taken(conflict->indices.begin(),
                                      conflict->indices.end());
    for (std::size_t i = 0; i < attempts.size(); ++i) {
      if (taken.contains(i)) {
        ReadOne(std::move(attempts[i]));
      } else {
        m_waiting.push_back(std::move(attempts[i]));
      }
    }
  } else if (std::holds_alternative<ClaimsUnknown>(aOutcome)) {
    for (Attempt& attempt : attempts) {
      attempt.uncertain = true;
      ReadOne(std::move(attempt));
    }
  } else {
    m_next_write_at = aNow + m_rules.retry_delay;
    for (Attempt& attempt : attempts) {
      m_waiting.push_back(std::move(attempt));
    }
  }
  Tick(aNow);
}

void
Claims::Settle(const Attempt& aAttempt, const ClaimRead& aRead, Instant aNow)
{
  if (aRead.found) {
    if (aRead.token == aAttempt.row.token) {
      m_actions.emplace_back(ClaimWon{ aAttempt.row.token });
    } else {
      m_actions.emplace_back(ClaimTaken{ aAttempt.row.token });
    }
    return;
  }
  if (aNow >= aAttempt.since + m_rules.settle_timeout) {
    Fail(aAttempt);
    return;
  }
  // The row is missing or still in flight. Writing the same row again is safe:
  // if the first write lands late, the token found is the attempt's own.
  m_waiting.push_back(aAttempt);
  if (aRead.failed) {
    m_next_write_at = aNow + m_rules.retry_delay;
  }
}

void
Claims::OnRead(std::uint64_t aTransaction, const ClaimRead& aRead, Instant aNow)
{
  const auto found = m_reading.extract(aTransaction);
  if (!found.empty()) {
    Settle(found.mapped(), aRead, aNow);
  }
  Tick(aNow);
}

} // namespace jujubehead::core
