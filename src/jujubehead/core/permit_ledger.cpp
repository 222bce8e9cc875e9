#include "permit_ledger.hpp"

#include <algorithm> // for any_of
#include <utility>   // for move

namespace jujubehead::core {

std::uint32_t
PermitLedger::Reserved() const
{
  return m_unknown + static_cast<std::uint32_t>(m_unattributed.size());
}

std::uint32_t
PermitLedger::UsedSlots() const
{
  return Reserved() + static_cast<std::uint32_t>(m_outstanding.size());
}

void
PermitLedger::Add(LedgerEntry aEntry)
{
  const PermitId permit = aEntry.held.permit;
  m_by_request.insert_or_assign(aEntry.held.request, permit);
  m_contacts.try_emplace(
    aEntry.held.holder, Contact{ aEntry.held.process, aEntry.last_request_at });
  m_outstanding.emplace(permit, std::move(aEntry));
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
  const auto found = m_outstanding.find(aPermit);
  return found == m_outstanding.end() ? nullptr : &found->second;
}

void
PermitLedger::ReduceUnknown()
{
  if (m_unknown > 0) {
    --m_unknown;
  }
}

std::optional<LedgerEntry>
PermitLedger::Release(const PermitId& aPermit)
{
  const bool earlier = aPermit.epoch < m_epoch;
  const auto found = m_outstanding.find(aPermit);
  if (found == m_outstanding.end()) {
    if (earlier && m_released_earlier.insert(aPermit).second) {
      ReduceUnknown();
    }
    return std::nullopt;
  }
  LedgerEntry entry = std::move(found->second);
  m_outstanding.erase(found);
  m_by_request.erase(entry.held.request);
  if (earlier) {
    m_released_earlier.insert(aPermit);
  }
  return entry;
}

void
PermitLedger::RecordContact(const InstanceId& aHolder,
                            std::uint64_t aProcess,
                            Instant aNow)
{
  const auto found = m_contacts.find(aHolder);
  if (found != m_contacts.end()) {
    found->second = { aProcess, std::max(found->second.at, aNow) };
  }
}

void
PermitLedger::ReserveUnknown(std::uint32_t aCount, Instant aLastStart)
{
  m_unknown = aCount;
  m_last_start = aLastStart;
}

bool
PermitLedger::Adopt(const HeldPermit& aHeld, Instant aNow)
{
  const bool known = m_outstanding.contains(aHeld.permit) ||
                     m_released_earlier.contains(aHeld.permit);
  if (known) {
    return false;
  }
  if (m_unattributed.erase(aHeld.request) == 0) {
    ReduceUnknown();
  }
  LedgerEntry entry;
  entry.held = aHeld;
  entry.granted_at = aNow;
  entry.last_request_at = aNow;
  entry.confirmed_at = aNow;
  entry.started = true;
  Add(std::move(entry));
  return true;
}

std::vector<LedgerEntry>
PermitLedger::ApplyAnswer(const HoldingsReply& aAnswer, Instant aNow)
{
  RecordContact(aAnswer.holder, aAnswer.process, aNow);
  std::set<PermitId> listed;
  for (const HeldPermit& held : aAnswer.held) {
    listed.insert(held.permit);
  }
  std::vector<PermitId> missing;
  for (auto& [permit, entry] : m_outstanding) {
    const bool is_from_sender = entry.held.holder == aAnswer.holder &&
                                entry.held.process == aAnswer.process;
    if (!is_from_sender || permit > aAnswer.up_to) {
      continue;
    }
    if (listed.contains(permit)) {
      entry.confirmed_at = aNow;
      entry.started = true;
    } else {
      missing.push_back(permit);
    }
  }
  std::vector<LedgerEntry> removed;
  removed.reserve(missing.size());
  for (const PermitId& permit : missing) {
    removed.push_back(*Release(permit));
  }
  return removed;
}

void
PermitLedger::ResolveUnknown(const std::set<RequestId>& aRunning, Instant aAsOf)
{
  if (m_unknown == 0 || aAsOf < m_last_start + m_rules.margin) {
    return;
  }
  m_unknown = 0;
  for (const RequestId& request : aRunning) {
    if (!m_by_request.contains(request)) {
      m_unattributed.insert(request);
    }
  }
}

std::vector<LedgerEntry>
PermitLedger::RemoveNotRunning(const std::set<RequestId>& aRunning,
                               Instant aAsOf)
{
  std::vector<PermitId> missing;
  for (const auto& [permit, entry] : m_outstanding) {
    const Instant last_start = entry.last_request_at + m_rules.start_window;
    if (IsUnresponsive(entry.held, aAsOf) &&
        aAsOf >= last_start + m_rules.margin &&
        !aRunning.contains(entry.held.request)) {
      missing.push_back(permit);
    }
  }
  std::vector<LedgerEntry> removed;
  removed.reserve(missing.size());
  for (const PermitId& permit : missing) {
    removed.push_back(*Release(permit));
  }
  return removed;
}

std::vector<LedgerEntry>
PermitLedger::ApplyReport(const TargetReport& aReport)
{
  const std::set<RequestId> running(aReport.running.begin(),
                                    aReport.running.end());
  std::erase_if(m_unattributed, [&running](const RequestId& aRequest) {
    return !running.contains(aRequest);
  });
  ResolveUnknown(running, aReport.as_of);
  return RemoveNotRunning(running, aReport.as_of);
}

bool
PermitLedger::IsUnresponsive(const HeldPermit& aHeld, Instant aNow) const
{
  const auto found = m_contacts.find(aHeld.holder);
  return found == m_contacts.end() || found->second.process != aHeld.process ||
         found->second.at + m_rules.holder_timeout <= aNow;
}

std::vector<InstanceId>
PermitLedger::HoldersToQuery(Instant aNow) const
{
  std::set<InstanceId> ask;
  for (const auto& [permit, entry] : m_outstanding) {
    if (entry.confirmed_at + m_rules.query_after <= aNow) {
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
  return std::any_of(
    m_outstanding.begin(), m_outstanding.end(), [&](const auto& aEntry) {
      return IsUnresponsive(aEntry.second.held, aNow);
    });
}

std::vector<HeldPermit>
PermitLedger::Held() const
{
  std::vector<HeldPermit> held;
  held.reserve(m_outstanding.size());
  for (const auto& [permit, entry] : m_outstanding) {
    held.push_back(entry.held);
  }
  return held;
}

} // namespace jujubehead::core
