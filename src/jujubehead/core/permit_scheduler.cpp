#include "jujubehead/core/permit_scheduler.hpp"

#include <algorithm> // for max, min
#include <utility>   // for move

#include "fair_queue.hpp"    // for FairQueue
#include "permit_ledger.hpp" // for PermitLedger

namespace jujubehead::core {

namespace {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(30);

PermitRefused
Refusal(const PermitRequest& aRequest, RefusalReason aReason, Duration aWait)
{
  return { aRequest.request,
           aRequest.holder,
           aReason,
           std::clamp(aWait, kMinRetryAfter, kMaxRetryAfter),
           aRequest.mark };
}

} // namespace

class PermitScheduler::Impl
{
public:
  Impl(std::uint64_t aEpoch, std::uint32_t aLimit, PermitRules aRules)
    : m_epoch(aEpoch)
    , m_limit(aLimit)
    , m_rules(aRules)
    , m_ledger(aEpoch, aRules)
  {
  }

  void SetShares(std::span<const AccountShare> aShares)
  {
    for (const WaitingRequest& waiting : m_queue.SetShares(aShares)) {
      Refuse(waiting.request, RefusalReason::kNoShare);
    }
  }

  void Request(const PermitRequest& aRequest, Instant aNow)
  {
    m_ledger.RecordContact(aRequest.holder, aRequest.process, aNow);
    if (LedgerEntry* entry = m_ledger.Find(aRequest.request)) {
      entry->mark = aRequest.mark;
      entry->last_request_at = aNow;
      m_decided.emplace_back(Grant(*entry));
    } else if (WaitingRequest* waiting = m_queue.Find(aRequest.request)) {
      waiting->request.mark = aRequest.mark;
      waiting->last_request_at = aNow;
    } else {
      Enqueue(aRequest, aNow);
    }
  }

  void Withdraw(const RequestId& aRequest, Instant aNow)
  {
    m_queue.Remove(aRequest);
    if (const LedgerEntry* entry = m_ledger.Find(aRequest)) {
      Release(entry->held.permit, aNow);
    }
  }

  void Started(const PermitId& aPermit, Instant aNow)
  {
    if (LedgerEntry* entry = m_ledger.Find(aPermit)) {
      entry->started = true;
      m_ledger.RecordContact(entry->held.holder, entry->held.process, aNow);
    }
  }

  void Release(const PermitId& aPermit, Instant aNow)
  {
    if (const auto entry = m_ledger.Release(aPermit)) {
      m_ledger.RecordContact(entry->held.holder, entry->held.process, aNow);
      SettleRun(*entry, aNow);
    }
  }

  std::vector<PermitDecision> Decide(Instant aNow)
  {
    RefuseExpired(aNow);
    while (m_admits && m_ledger.UsedSlots() < m_limit) {
      auto chosen = m_queue.Pop(aNow - m_rules.request_ttl);
      if (!chosen) {
        break;
      }
      GrantChosen(*chosen, aNow);
    }
    return std::exchange(m_decided, {});
  }

  [[nodiscard]] PermitQuote Quote(const AccountId& aAccount) const
  {
    const std::uint32_t taken = m_ledger.UsedSlots();
    const auto ahead = m_queue.SizeOf(aAccount);
    return { taken,
             m_queue.Size(),
             m_limit,
             m_queue.ExpectedWait(
               aAccount, ahead, UsableSlots(), FreeSlots()) };
  }

  void Adopt(std::span<const HeldPermit> aPermits, Instant aNow)
  {
    for (const HeldPermit& held : aPermits) {
      if (held.permit.epoch < m_epoch && m_ledger.Adopt(held, aNow)) {
        m_queue.CountRunning(held.account);
      }
    }
  }

  void ApplyHoldings(const HoldingsReply& aAnswer, Instant aNow)
  {
    Adopt(aAnswer.held, aNow);
    for (const LedgerEntry& entry : m_ledger.ApplyAnswer(aAnswer, aNow)) {
      ReturnSlot(entry);
    }
  }

  void ApplyTargetReport(const TargetReport& aReport)
  {
    for (const LedgerEntry& entry : m_ledger.ApplyReport(aReport)) {
      ReturnSlot(entry);
    }
  }

  void StopAdmitting()
  {
    m_admits = false;
    for (const WaitingRequest& waiting : m_queue.Clear()) {
      Refuse(waiting.request, RefusalReason::kStopping);
    }
  }

  [[nodiscard]] HoldingsQuery Query() const
  {
    return { PermitId{ m_epoch, m_last_number } };
  }

  std::uint64_t m_epoch;
  std::uint32_t m_limit;
  PermitRules m_rules;
  FairQueue m_queue;
  PermitLedger m_ledger;
  bool m_admits = true;

private:
  /// The limit less the reserved slots.
  [[nodiscard]] std::uint32_t UsableSlots() const
  {
    return m_limit - std::min(m_ledger.Reserved(), m_limit);
  }

  [[nodiscard]] std::uint32_t FreeSlots() const
  {
    return m_limit - std::min(m_ledger.UsedSlots(), m_limit);
  }

  [[nodiscard]] Duration ExpectedWait(const PermitRequest& aRequest) const
  {
    return m_queue.ExpectedWait(aRequest.account,
                                m_queue.CountAhead(aRequest),
                                UsableSlots(),
                                FreeSlots());
  }

  void Refuse(const PermitRequest& aRequest, RefusalReason aReason)
  {
    m_decided.emplace_back(Refusal(aRequest, aReason, ExpectedWait(aRequest)));
  }

  void Enqueue(const PermitRequest& aRequest, Instant aNow)
  {
    const AccountShare* share = m_queue.Share(aRequest.account);
    if (!m_admits) {
      Refuse(aRequest, RefusalReason::kStopping);
    } else if (share == nullptr) {
      Refuse(aRequest, RefusalReason::kNoShare);
    } else if (m_queue.SizeOf(aRequest.account) >= share->max_waiting) {
      Refuse(aRequest, RefusalReason::kQueueFull);
    } else if (aNow + ExpectedWait(aRequest) > aRequest.deadline) {
      Refuse(aRequest, RefusalReason::kDeadline);
    } else {
      m_queue.Push({ aRequest, aNow });
    }
  }

  void RefuseExpired(Instant aNow)
  {
    for (const WaitingRequest& waiting :
         m_queue.TakeExpired(aNow, aNow - m_rules.request_timeout)) {
      const bool silent = waiting.request.deadline >= aNow;
      Refuse(waiting.request,
             silent ? RefusalReason::kHolderTimeout : RefusalReason::kDeadline);
    }
  }

  [[nodiscard]] PermitGranted Grant(const LedgerEntry& aEntry) const
  {
    return { aEntry.held.request,
             aEntry.held.holder,
             aEntry.held.permit,
             aEntry.last_request_at + m_rules.start_window,
             aEntry.mark };
  }

  void GrantChosen(const ChosenRequest& aChosen, Instant aNow)
  {
    const PermitRequest& request = aChosen.waiting.request;
    LedgerEntry entry;
    entry.held = { PermitId{ m_epoch, ++m_last_number },
                   request.request,
                   request.holder,
                   request.account,
                   request.process };
    entry.granted_at = aNow;
    entry.last_request_at = aChosen.waiting.last_request_at;
    entry.confirmed_at = aNow;
    entry.cost_tokens = request.cost_tokens;
    entry.charged = aChosen.charged;
    entry.mark = request.mark;
    m_decided.emplace_back(Grant(entry));
    m_ledger.Add(std::move(entry));
  }

  /// Settles a run whose duration is known.
  void SettleRun(const LedgerEntry& aEntry, Instant aNow)
  {
    if (aEntry.held.permit.epoch != m_epoch) {
      m_queue.CountEnded(aEntry.held.account);
      return;
    }
    const Duration used = aNow - aEntry.granted_at;
    m_queue.Settle(aEntry.held.account, aEntry.charged, used);
    if (aEntry.started) {
      m_queue.AddSample(aEntry.held.account, aEntry.cost_tokens, used);
    }
  }

  /// Frees a slot whose run ended at an unknown time.
  void ReturnSlot(const LedgerEntry& aEntry)
  {
    m_queue.CountEnded(aEntry.held.account);
  }

  std::uint64_t m_last_number = 0;
  std::vector<PermitDecision> m_decided;
};

PermitScheduler::PermitScheduler(std::unique_ptr<Impl> aImpl)
  : m_impl(std::move(aImpl))
{
}

PermitScheduler::PermitScheduler(PermitScheduler&&) noexcept = default;
PermitScheduler&
PermitScheduler::operator=(PermitScheduler&&) noexcept = default;
PermitScheduler::~PermitScheduler() = default;

PermitScheduler
PermitScheduler::ForEpoch(std::uint64_t aEpoch,
                          std::uint32_t aLimit,
                          PermitRules aRules)
{
  return PermitScheduler(std::make_unique<Impl>(aEpoch, aLimit, aRules));
}

void
PermitScheduler::SetLimit(std::uint32_t aLimit)
{
  m_impl->m_limit = aLimit;
}

void
PermitScheduler::SetShare(AccountShare aShare)
{
  m_impl->m_queue.SetShare(std::move(aShare));
}

void
PermitScheduler::SetShares(std::span<const AccountShare> aShares)
{
  m_impl->SetShares(aShares);
}

bool
PermitScheduler::HasShare(const AccountId& aAccount) const
{
  return m_impl->m_queue.Share(aAccount) != nullptr;
}

void
PermitScheduler::Request(const PermitRequest& aRequest, Instant aNow)
{
  m_impl->Request(aRequest, aNow);
}

void
PermitScheduler::Withdraw(const RequestId& aRequest, Instant aNow)
{
  m_impl->Withdraw(aRequest, aNow);
}

void
PermitScheduler::Started(const PermitId& aPermit, Instant aNow)
{
  m_impl->Started(aPermit, aNow);
}

void
PermitScheduler::Release(const PermitId& aPermit, Instant aNow)
{
  m_impl->Release(aPermit, aNow);
}

std::vector<PermitDecision>
PermitScheduler::Decide(Instant aNow)
{
  return m_impl->Decide(aNow);
}

PermitQuote
PermitScheduler::Quote(Instant /*aNow*/, const AccountId& aAccount) const
{
  return m_impl->Quote(aAccount);
}

void
PermitScheduler::ReserveUnknown(std::uint32_t aCount, Instant aLastStart)
{
  m_impl->m_ledger.ReserveUnknown(aCount, aLastStart);
}

void
PermitScheduler::Adopt(std::span<const HeldPermit> aPermits, Instant aNow)
{
  m_impl->Adopt(aPermits, aNow);
}

HoldingsQuery
PermitScheduler::Query() const
{
  return m_impl->Query();
}

std::vector<InstanceId>
PermitScheduler::HoldersToQuery(Instant aNow) const
{
  return m_impl->m_ledger.HoldersToQuery(aNow);
}

void
PermitScheduler::ApplyHoldings(const HoldingsReply& aAnswer, Instant aNow)
{
  m_impl->ApplyHoldings(aAnswer, aNow);
}

void
PermitScheduler::ApplyTargetReport(const TargetReport& aReport)
{
  m_impl->ApplyTargetReport(aReport);
}

bool
PermitScheduler::NeedsTargetReport(Instant aNow) const
{
  return m_impl->m_ledger.NeedsTargetReport(aNow);
}

void
PermitScheduler::StopAdmitting()
{
  m_impl->StopAdmitting();
}

void
PermitScheduler::ResumeAdmitting()
{
  m_impl->m_admits = true;
}

bool
PermitScheduler::Admits() const
{
  return m_impl->m_admits;
}

std::uint64_t
PermitScheduler::Epoch() const
{
  return m_impl->m_epoch;
}

std::uint32_t
PermitScheduler::Limit() const
{
  return m_impl->m_limit;
}

std::vector<HeldPermit>
PermitScheduler::Held() const
{
  return m_impl->m_ledger.Held();
}

std::uint32_t
PermitScheduler::Reserved() const
{
  return m_impl->m_ledger.Reserved();
}

std::uint32_t
PermitScheduler::Waiting() const
{
  return m_impl->m_queue.Size();
}

} // namespace jujubehead::core
