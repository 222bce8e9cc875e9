#include "fair_queue.hpp"

#include <algorithm> // for clamp, max, min
#include <utility>   // for move

namespace jujubehead::core {

namespace {

constexpr Duration kInitialEstimate = std::chrono::seconds(1);

} // namespace

void
FairQueue::SetShare(AccountShare aShare)
{
  AccountShare& share = m_accounts[aShare.account].share;
  share = std::move(aShare);
}

std::vector<WaitingRequest>
FairQueue::SetShares(std::span<const AccountShare> aShares)
{
  for (auto& [id, account] : m_accounts) {
    account.share = AccountShare{ id, 0, 0, 0 };
  }
  for (const AccountShare& share : aShares) {
    SetShare(share);
  }
  std::vector<WaitingRequest> removed;
  for (auto it = m_accounts.begin(); it != m_accounts.end();) {
    Account& account = it->second;
    if (account.share.weight != 0) {
      ++it;
      continue;
    }
    while (!account.waiting.empty()) {
      removed.push_back(account.waiting.begin()->second);
      Erase(account, account.waiting.begin());
    }
    it = account.running == 0 ? m_accounts.erase(it) : std::next(it);
  }
  return removed;
}

const AccountShare*
FairQueue::Share(const AccountId& aAccount) const
{
  const auto found = m_accounts.find(aAccount);
  if (found == m_accounts.end() || found->second.share.weight == 0) {
    return nullptr;
  }
  return &found->second.share;
}

WaitingRequest*
FairQueue::Find(const RequestId& aRequest)
{
  const auto found = m_positions.find(aRequest);
  if (found == m_positions.end()) {
    return nullptr;
  }
  const Position& at = found->second;
  return &m_accounts.at(at.account).waiting.at(at.order);
}

void
FairQueue::Push(WaitingRequest aWaiting)
{
  const PermitRequest& request = aWaiting.request;
  Account& account = m_accounts.at(request.account);
  if (!IsBusy(account)) {
    account.finish = std::max(account.finish, m_virtual_time);
  }
  const Order order{ request.priority, request.deadline, m_arrivals++ };
  m_positions.emplace(request.request, Position{ request.account, order });
  account.waiting.emplace(order, std::move(aWaiting));
  ++m_size;
}

void
FairQueue::Erase(Account& aAccount,
                 std::map<Order, WaitingRequest>::iterator aAt)
{
  m_positions.erase(aAt->second.request.request);
  aAccount.waiting.erase(aAt);
  --m_size;
}

bool
FairQueue::Remove(const RequestId& aRequest)
{
  const auto found = m_positions.find(aRequest);
  if (found == m_positions.end()) {
    return false;
  }
  Account& account = m_accounts.at(found->second.account);
  Erase(account, account.waiting.find(found->second.order));
  return true;
}

std::vector<WaitingRequest>
FairQueue::Clear()
{
  std::vector<WaitingRequest> removed;
  for (auto& [id, account] : m_accounts) {
    for (auto& [order, waiting] : account.waiting) {
      removed.push_back(std::move(waiting));
    }
    account.waiting.clear();
  }
  m_positions.clear();
  m_size = 0;
  return removed;
}

bool
FairQueue::IsBusy(const Account& aAccount)
{
  return !aAccount.waiting.empty() || aAccount.running != 0;
}

FairQueue::Account*
FairQueue::SelectAccount(Instant aActiveSince)
{
  Account* best = nullptr;
  for (auto& [id, account] : m_accounts) {
    if (account.waiting.empty()) {
      continue;
    }
    if (account.running >= account.share.max_running) {
      // At its own limit: it must not accumulate credit in the meantime.
      account.finish = std::max(account.finish, m_virtual_time);
      continue;
    }
    const bool has_active_holder =
      std::any_of(account.waiting.begin(),
                  account.waiting.end(),
                  [aActiveSince](const auto& aEntry) {
                    return aEntry.second.last_request_at >= aActiveSince;
                  });
    if (has_active_holder &&
        (best == nullptr || account.finish < best->finish)) {
      best = &account;
    }
  }
  return best;
}

std::optional<ChosenRequest>
FairQueue::Pop(Instant aActiveSince)
{
  Account* account = SelectAccount(aActiveSince);
  if (account == nullptr) {
    return std::nullopt;
  }
  const auto at =
    std::find_if(account->waiting.begin(),
                 account->waiting.end(),
                 [aActiveSince](const auto& aEntry) {
                   return aEntry.second.last_request_at >= aActiveSince;
                 });
  ChosenRequest chosen{ at->second, {} };
  chosen.charged = Estimate(*account, chosen.waiting.request.cost_tokens);
  Erase(*account, at);
  m_virtual_time = std::max(m_virtual_time, account->finish);
  account->finish +=
    ServiceEstimate::Seconds(chosen.charged) / account->share.weight;
  ++account->running;
  return chosen;
}

std::vector<WaitingRequest>
FairQueue::TakeExpired(Instant aNow, Instant aInactiveBefore)
{
  std::vector<WaitingRequest> taken;
  for (auto& [id, account] : m_accounts) {
    for (auto it = account.waiting.begin(); it != account.waiting.end();) {
      const auto at = it++;
      const WaitingRequest& waiting = at->second;
      if (waiting.request.deadline < aNow ||
          waiting.last_request_at < aInactiveBefore) {
        taken.push_back(waiting);
        Erase(account, at);
      }
    }
  }
  return taken;
}

void
FairQueue::Settle(const AccountId& aAccount, Duration aCharged, Duration aUsed)
{
  const auto found = m_accounts.find(aAccount);
  if (found == m_accounts.end()) {
    return;
  }
  const std::uint32_t weight = std::max(found->second.share.weight, 1U);
  found->second.finish += ServiceEstimate::Seconds(aUsed - aCharged) / weight;
  CountEnded(aAccount);
}

void
FairQueue::CountRunning(const AccountId& aAccount)
{
  Account& account = m_accounts[aAccount];
  if (account.share.account.IsEmpty()) {
    account.share = AccountShare{ aAccount, 0, 0, 0 };
  }
  ++account.running;
}

void
FairQueue::CountEnded(const AccountId& aAccount)
{
  const auto found = m_accounts.find(aAccount);
  if (found != m_accounts.end() && found->second.running > 0) {
    --found->second.running;
  }
}

void
FairQueue::AddSample(const AccountId& aAccount,
                     std::uint32_t aTokens,
                     Duration aUsed)
{
  m_service.AddSample(aTokens, aUsed);
  const auto found = m_accounts.find(aAccount);
  if (found != m_accounts.end()) {
    found->second.service.AddSample(aTokens, aUsed);
  }
}

Duration
FairQueue::Estimate(const Account& aAccount, std::uint32_t aTokens) const
{
  if (aAccount.service.IsKnown()) {
    return aAccount.service.For(aTokens);
  }
  return m_service.IsKnown() ? m_service.For(aTokens) : kInitialEstimate;
}

std::uint32_t
FairQueue::SizeOf(const AccountId& aAccount) const
{
  const auto found = m_accounts.find(aAccount);
  return found == m_accounts.end()
           ? 0
           : static_cast<std::uint32_t>(found->second.waiting.size());
}

double
FairQueue::BusyWeight(const Account& aIncluded) const
{
  double weight = 0;
  for (const auto& [id, account] : m_accounts) {
    if (IsBusy(account) || &account == &aIncluded) {
      weight += account.share.weight;
    }
  }
  return std::max(weight, 1.0);
}

Duration
FairQueue::ExpectedWait(const AccountId& aAccount,
                        std::uint32_t aAhead,
                        std::uint32_t aSlots,
                        std::uint32_t aFreeSlots) const
{
  const auto found = m_accounts.find(aAccount);
  if (found == m_accounts.end()) {
    return {};
  }
  const Account& account = found->second;
  const bool below_limit = account.running + aAhead < account.share.max_running;
  if (below_limit && aAhead + m_size < aFreeSlots) {
    return {};
  }
  const double share =
    aSlots * static_cast<double>(account.share.weight) / BusyWeight(account);
  const double limit = std::max<double>(account.share.max_running, 1);
  const double slots = std::clamp(share, 0.1, limit);
  const Duration service = account.service.IsKnown() ? account.service.Mean()
                           : m_service.IsKnown()     ? m_service.Mean()
                                                     : Duration{};
  const double seconds =
    ServiceEstimate::Seconds(service) * (aAhead + 1) / slots;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(seconds));
}

std::uint32_t
FairQueue::CountAhead(const PermitRequest& aRequest) const
{
  const auto found = m_accounts.find(aRequest.account);
  if (found == m_accounts.end()) {
    return 0;
  }
  const auto& waiting = found->second.waiting;
  const Order order{ aRequest.priority, aRequest.deadline, m_arrivals };
  return static_cast<std::uint32_t>(
    std::distance(waiting.begin(), waiting.lower_bound(order)));
}

} // namespace jujubehead::core
