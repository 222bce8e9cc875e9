#include "permit_ledger.hpp"

#include <algorithm> // for any_of
#include <utility>   // for move

namespace jujubehead::core {

std::uint32_t
PermitLedger::Reserved() const
{
  return m_unknown + static_cast<std::uint32_t>(m_strays.size());
}

std::uint32_t
PermitLedger::Taken() const
{
  return Reserved() + static_cast<std::uint32_t>(m_out.size());
}

void
PermitLedger::Add(LedgerEntry aEntry)
{
  const PermitId permit = aEntry.held.permit;
  m_by_request.insert_or_assign(aEntry.held.request, permit);
  m_heard.try_emplace(aEntry.held.holder,
                      Contact{ aEntry.held.process, aEntry.heard_at });
  m_out.emplace(permit, std::move(aEntry));
}

LedgerEntry*
PermitLedger::Find(const RequestId& aRequest)
{
  const auto found = m_by_request.find(aRequest);
  return found == m_by_request.end() ? nullptr : Find(found->second);
}

LedgerEntry*
PermitLedger::Find(const PermitId& aPermit)
{
  const auto found = m_out.find(aPermit);
  return found == m_out.end() ? nullptr : &found->second;
}

void
PermitLedger::AccountOne()
{
  if (m_unknown > 0) {
    --m_unknown;
  }
}

std::optional<LedgerEntry>
PermitLedger::Release(const PermitId& aPermit)
{
  const bool earlier = aPermit.epoch < m_epoch;
  const auto found = m_out.find(aPermit);
  if (found == m_out.end()) {
    if (earlier && m_ended_before.insert(aPermit).second) {
      AccountOne();
    }
    return std::nullopt;
  }
  LedgerEntry entry = std::move(found->second);
  m_out.erase(found);
  m_by_request.erase(entry.held.request);
  if (earlier) {
    m_ended_before.insert(aPermit);
  }
  return entry;
}

void
PermitLedger::Heard(const InstanceId& aHolder,
                    std::uint64_t aProcess,
                    Instant aNow)
{
  const auto found = m_heard.find(aHolder);
  if (found != m_heard.end()) {
    found->second = { aProcess, std::max(found->second.at, aNow) };
  }
}

void
PermitLedger::ReserveUnknown(std::uint32_t aCount, Instant aStartsEnd)
{
  m_unknown = aCount;
  m_starts_end = aStartsEnd;
}

bool
PermitLedger::Adopt(const HeldPermit& aHeld, Instant aNow)
{
  const bool known =
    m_out.contains(aHeld.permit) || m_ended_before.contains(aHeld.permit);
  if (known) {
    return false;
  }
  if (m_strays.erase(aHeld.request) == 0) {
    AccountOne();
  }
  LedgerEntry entry;
  entry.held = aHeld;
  entry.granted_at = aNow;
  entry.heard_at = aNow;
  entry.confirmed_at = aNow;
  entry.started = true;
  Add(std::move(entry));
  return true;
}

std::vector<LedgerEntry>
PermitLedger::Accept(const HoldingsAnswer& aAnswer, Instant aNow)
{
  Heard(aAnswer.holder, aAnswer.process, aNow);
  std::set<PermitId> listed;
  for (const HeldPermit& held : aAnswer.held) {
    listed.insert(held.permit);
  }
  std::vector<PermitId> gone;
  for (auto& [permit, entry] : m_out) {
    const bool of_it = entry.held.holder == aAnswer.holder &&
                       entry.held.process == aAnswer.process;
    if (!of_it || permit > aAnswer.up_to) {
      continue;
    }
    if (listed.contains(permit)) {
      entry.confirmed_at = aNow;
      entry.started = true;
    } else {
      gone.push_back(permit);
    }
  }
  std::vector<LedgerEntry> dropped;
  dropped.reserve(gone.size());
  for (const PermitId& permit : gone) {
    dropped.push_back(*Release(permit));
  }
  return dropped;
}

void
PermitLedger::SettleUnknown(const std::set<RequestId>& aRunning, Instant aAsOf)
{
  if (m_unknown == 0 || aAsOf < m_starts_end + m_rules.margin) {
    return;
  }
  m_unknown = 0;
  for (const RequestId& request : aRunning) {
    if (!m_by_request.contains(request)) {
      m_strays.insert(request);
    }
  }
}

std::vector<LedgerEntry>
PermitLedger::DropVanished(const std::set<RequestId>& aRunning, Instant aAsOf)
{
  std::vector<PermitId> gone;
  for (const auto& [permit, entry] : m_out) {
    const Instant starts_end = entry.heard_at + m_rules.start_window;
    if (IsSilent(entry.held, aAsOf) && aAsOf >= starts_end + m_rules.margin &&
        !aRunning.contains(entry.held.request)) {
      gone.push_back(permit);
    }
  }
  std::vector<LedgerEntry> dropped;
  dropped.reserve(gone.size());
  for (const PermitId& permit : gone) {
    dropped.push_back(*Release(permit));
  }
  return dropped;
}

std::vector<LedgerEntry>
PermitLedger::Observe(const TargetReport& aReport)
{
  const std::set<RequestId> running(aReport.running.begin(),
                                    aReport.running.end());
  std::erase_if(m_strays, [&running](const RequestId& aRequest) {
    return !running.contains(aRequest);
  });
  SettleUnknown(running, aReport.as_of);
  return DropVanished(running, aReport.as_of);
}

bool
PermitLedger::IsSilent(const HeldPermit& aHeld, Instant aNow) const
{
  const auto found = m_heard.find(aHeld.holder);
  return found == m_heard.end() || found->second.process != aHeld.process ||
         found->second.at + m_rules.silent_after <= aNow;
}

std::vector<InstanceId>
PermitLedger::HoldersToAsk(Instant aNow) const
{
  std::set<InstanceId> ask;
  for (const auto& [permit, entry] : m_out) {
    if (entry.confirmed_at + m_rules.ask_after <= aNow) {
      ask.insert(entry.held.holder);
    }
  }
  return { ask.begin(), ask.end() };
}

bool
PermitLedger::NeedsTargetReport(Instant aNow) const
{
  if (Reserved() > 0) {
    return true;
  }
  return std::any_of(m_out.begin(), m_out.end(), [&](const auto& aEntry) {
    return IsSilent(aEntry.second.held, aNow);
  });
}

std::vector<HeldPermit>
PermitLedger::Held() const
{
  std::vector<HeldPermit> held;
  held.reserve(m_out.size());
  for (const auto& [permit, entry] : m_out) {
    held.push_back(entry.held);
  }
  return held;
}

} // namespace jujubehead::core
