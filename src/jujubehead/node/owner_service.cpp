#include "jujubehead/node/owner_service.hpp"

#include <algorithm>     // for max
#include <unordered_map> // for unordered_map

#include <boost/asio/co_spawn.hpp> // for co_spawn
#include <boost/asio/detached.hpp> // for detached

#include "jujubehead/node/directory_service.hpp" // for DirectoryService
#include "jujubehead/node/member_book.hpp"       // for MemberBook
#include "jujubehead/node/peer_calls.hpp"        // for PeerCalls
#include "jujubehead/node/planned_stops.hpp"     // for IsStopping

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;
using core::RuntimeClock;

// Assumed until runs on the target have shown its rate.
constexpr double kAssumedPrefillRate = 5000;
// Weight of the newest run in the learnt rate.
constexpr double kRateGain = 0.2;
// Below this a run says little of the rate.
constexpr std::uint32_t kMinMeasuredTokens = 64;
constexpr core::Duration kHoldingsTimeout = std::chrono::seconds(1);
// Bounds the evicted-key bookkeeping of one target.
constexpr std::size_t kMaxTrackedKeys = 50'000;

core::AccountShare
ShareOf(const core::TableRow& aRow)
{
  return { aRow.account, aRow.weight, aRow.max_running, aRow.max_waiting };
}

} // namespace

struct OwnerService::OwnedTarget
{
  core::PermitScheduler book;
  TargetState state;
  double prefill_rate = kAssumedPrefillRate; // Tokens a second.
  // First key of the context that a cached key belongs to: finds its home.
  std::unordered_map<core::ContextKey, core::ContextKey> first_key;
};

OwnerService::OwnerService(PeerCalls& aPeers,
                           const MemberBook& aMembers,
                           const core::TableView& aTable,
                           DirectoryService& aDirectory)
  : m_peers(aPeers)
  , m_members(aMembers)
  , m_table(aTable)
  , m_directory(aDirectory)
{
}

OwnerService::~OwnerService() = default;

void
OwnerService::SetMayAdmit(std::function<bool(const core::TargetId&)> aMayAdmit)
{
  m_may_admit = std::move(aMayAdmit);
}

void
OwnerService::Own(const core::TargetId& aTarget,
                  const core::StartOwning& aStart)
{
  const std::uint32_t limit = LimitOf(aTarget);
  OwnedTarget owned{ core::PermitScheduler::ForEpoch(aStart.epoch, limit),
                     {},
                     kAssumedPrefillRate,
                     {} };
  const bool unknown = !aStart.is_first && !aStart.has_all_permits;
  if (unknown) {
    owned.book.ReserveUnknown(
      limit, aStart.previous_grants_end + core::PermitRules().start_window);
  }
  owned.book.Adopt(aStart.held, RuntimeClock::now());
  if (IsStopping(aTarget)) {
    owned.book.StopAdmitting();
  }
  m_owned.insert_or_assign(aTarget, std::move(owned));
  if (!unknown) {
    return;
  }
  for (const core::InstanceId& instance : m_members.LiveInstances()) {
    asio::co_spawn(
      m_peers.Context(), AskHoldings(aTarget, instance), asio::detached);
  }
}

core::GroupHandover
OwnerService::HandOver(const core::GroupRow& aRow) const
{
  const auto found = m_owned.find(core::TargetId(aRow.group.Text()));
  if (found == m_owned.end()) {
    return { aRow, {}, false };
  }
  const core::PermitScheduler& book = found->second.book;
  return { aRow, book.Held(), book.Reserved() == 0 };
}

void
OwnerService::Disown(const core::TargetId& aTarget)
{
  m_owned.erase(aTarget);
}

bool
OwnerService::Owns(const core::TargetId& aTarget) const
{
  return m_owned.contains(aTarget);
}

std::optional<std::uint64_t>
OwnerService::EpochOf(const core::TargetId& aTarget) const
{
  const auto found = m_owned.find(aTarget);
  if (found == m_owned.end()) {
    return std::nullopt;
  }
  return found->second.book.Epoch();
}

std::vector<core::TargetId>
OwnerService::Owned() const
{
  std::vector<core::TargetId> targets;
  for (const auto& [target, owned] : m_owned) {
    targets.push_back(target);
  }
  return targets;
}

wire::QuoteReply
OwnerService::Quote(const wire::QuoteRequest& aAsk) const
{
  wire::QuoteReply answer;
  for (const core::TargetId& target : aAsk.targets) {
    const auto found = m_owned.find(target);
    if (found == m_owned.end()) {
      continue;
    }
    const OwnedTarget& owned = found->second;
    const core::PermitQuote quote =
      owned.book.Quote(RuntimeClock::now(), aAsk.account);
    const bool admits =
      owned.book.Admits() && CanServe(owned.state, aAsk.version, aAsk.adapter);
    answer.quotes.push_back({ target,
                              quote.running,
                              quote.waiting,
                              quote.limit,
                              quote.expected_wait,
                              static_cast<std::uint32_t>(owned.prefill_rate),
                              admits });
  }
  return answer;
}

void
OwnerService::OnAsk(const core::InstanceId& aFrom,
                    const wire::PermitAcquire& aAsk)
{
  const auto found = m_owned.find(aAsk.target);
  if (found == m_owned.end()) {
    m_peers.Tell(aFrom,
                 wire::PermitReply{ aAsk.target,
                                    aAsk.request,
                                    wire::PermitOutcome::kNotOwner,
                                    0,
                                    0,
                                    0,
                                    {},
                                    aAsk.mark });
    return;
  }
  OwnedTarget& owned = found->second;
  const net::Member* member = m_members.Find(aAsk.target.View());
  const core::TableRow* row =
    member == nullptr
      ? nullptr
      : m_table.Current()->table.Find(aAsk.account, member->model);
  if (row != nullptr) {
    owned.book.SetShare(ShareOf(*row));
  }
  const auto now = RuntimeClock::now();
  owned.book.Request({ aAsk.request,
                       aFrom,
                       aAsk.account,
                       aAsk.priority,
                       now + aAsk.deadline,
                       aAsk.cost_tokens,
                       aAsk.mark,
                       aAsk.process },
                     now);
  Decide(aAsk.target, owned);
}

void
OwnerService::OnWithdraw(const wire::PermitWithdraw& aWithdraw)
{
  const auto found = m_owned.find(aWithdraw.target);
  if (found == m_owned.end()) {
    return;
  }
  found->second.book.Withdraw(aWithdraw.request, RuntimeClock::now());
  Decide(aWithdraw.target, found->second);
}

void
OwnerService::OnStarted(const wire::PermitStarted& aStarted)
{
  const auto found = m_owned.find(aStarted.target);
  if (found != m_owned.end()) {
    found->second.book.Started({ aStarted.epoch, aStarted.number },
                               RuntimeClock::now());
  }
}

void
OwnerService::OnRelease(const wire::PermitRelease& aRelease)
{
  const auto found = m_owned.find(aRelease.target);
  if (found == m_owned.end()) {
    return;
  }
  OwnedTarget& owned = found->second;
  owned.book.Release({ aRelease.epoch, aRelease.number }, RuntimeClock::now());
  Decide(aRelease.target, owned);
  LearnRate(owned, aRelease);
  LearnCached(owned, aRelease);
}

void
OwnerService::LearnRate(OwnedTarget& aOwned,
                        const wire::PermitRelease& aRelease)
{
  const double seconds =
    std::chrono::duration<double>(aRelease.first_token).count();
  if (aRelease.recomputed_tokens < kMinMeasuredTokens || seconds <= 0) {
    return;
  }
  const double rate = aRelease.recomputed_tokens / seconds;
  aOwned.prefill_rate += kRateGain * (rate - aOwned.prefill_rate);
}

void
OwnerService::LearnCached(OwnedTarget& aOwned,
                          const wire::PermitRelease& aRelease)
{
  if (aRelease.cached_keys.empty()) {
    return;
  }
  if (aOwned.first_key.size() > kMaxTrackedKeys) {
    aOwned.first_key.clear();
  }
  const core::ContextKey first = KeyOfRaw(aRelease.cached_keys.front());
  for (const std::string& raw : aRelease.cached_keys) {
    aOwned.first_key.insert_or_assign(KeyOfRaw(raw), first);
  }
  m_directory.Tell(
    wire::TargetHint{ aRelease.target, true, aRelease.cached_keys });
}

void
OwnerService::OnState(const core::TargetId& aTarget, TargetState aState)
{
  const auto found = m_owned.find(aTarget);
  if (found != m_owned.end()) {
    found->second.state = std::move(aState);
  }
}

void
OwnerService::OnReport(const core::TargetId& aTarget,
                       const core::TargetReport& aReport)
{
  const auto found = m_owned.find(aTarget);
  if (found == m_owned.end()) {
    return;
  }
  found->second.book.ApplyTargetReport(aReport);
  Decide(aTarget, found->second);
}

void
OwnerService::OnEvicted(const core::TargetId& aTarget,
                        std::span<const core::ContextKey> aKeys)
{
  const auto found = m_owned.find(aTarget);
  if (found == m_owned.end()) {
    return;
  }
  // The home is found by a context's first key, so hints go one a context.
  std::unordered_map<core::ContextKey, wire::TargetHint> hints;
  for (const core::ContextKey& key : aKeys) {
    const auto first = found->second.first_key.find(key);
    if (first == found->second.first_key.end()) {
      continue;
    }
    wire::TargetHint& hint = hints[first->second];
    if (hint.keys.empty()) {
      hint = { aTarget, false, { RawKey(first->second) } };
    }
    hint.keys.push_back(RawKey(key));
    found->second.first_key.erase(first);
  }
  for (auto& [first, hint] : hints) {
    m_directory.Tell(std::move(hint));
  }
}

void
OwnerService::OnCleared(const core::TargetId& aTarget)
{
  const auto found = m_owned.find(aTarget);
  if (found == m_owned.end()) {
    return;
  }
  std::vector<core::ContextKey> keys;
  for (const auto& [key, first] : found->second.first_key) {
    keys.push_back(key);
  }
  OnEvicted(aTarget, keys);
}

void
OwnerService::ApplyTable()
{
  for (auto& [target, owned] : m_owned) {
    owned.book.SetLimit(LimitOf(target));
    if (IsStopping(target)) {
      owned.book.StopAdmitting();
    } else {
      owned.book.ResumeAdmitting();
    }
    Decide(target, owned);
  }
}

void
OwnerService::Tick()
{
  const auto now = RuntimeClock::now();
  for (auto& [target, owned] : m_owned) {
    Decide(target, owned);
    for (const core::InstanceId& holder : owned.book.HoldersToQuery(now)) {
      asio::co_spawn(
        m_peers.Context(), AskHoldings(target, holder), asio::detached);
    }
  }
}

std::vector<OwnedTargetStatus>
OwnerService::Status() const
{
  std::vector<OwnedTargetStatus> all;
  for (const auto& [target, owned] : m_owned) {
    const net::Member* member = m_members.Find(target.View());
    OwnedTargetStatus status;
    status.id = target.Text();
    status.model = member == nullptr ? "" : member->model.Text();
    status.data_centre = member == nullptr ? "" : member->data_centre.Text();
    status.epoch = owned.book.Epoch();
    status.running = owned.book.Held().size();
    status.waiting = owned.book.Waiting();
    status.reserved = owned.book.Reserved();
    status.limit = owned.book.Limit();
    status.stopping = !owned.book.Admits();
    all.push_back(std::move(status));
  }
  return all;
}

std::uint32_t
OwnerService::LimitOf(const core::TargetId& aTarget) const
{
  const net::Member* member = m_members.Find(aTarget.View());
  if (member == nullptr) {
    return 0;
  }
  const core::TableRow* row =
    m_table.Current()->table.ModelDefaults(member->model);
  return row == nullptr ? 0 : row->max_running;
}

bool
OwnerService::IsStopping(const core::TargetId& aTarget) const
{
  const net::Member* member = m_members.Find(aTarget.View());
  return member == nullptr || node::IsStopping(m_table, *member);
}

void
OwnerService::Decide(const core::TargetId& aTarget, OwnedTarget& aOwned)
{
  if (!m_may_admit || !m_may_admit(aTarget)) {
    return; // The lease may have lapsed; what waits is answered by the next.
  }
  for (const core::PermitDecision& decision :
       aOwned.book.Decide(RuntimeClock::now())) {
    SendDecision(aTarget, decision);
  }
}

void
OwnerService::SendDecision(const core::TargetId& aTarget,
                           const core::PermitDecision& aDecision)
{
  struct ToAnswer
  {
    const core::TargetId& target;

    wire::PermitReply operator()(const core::PermitGranted& aGranted) const
    {
      return { target,
               aGranted.request,
               wire::PermitOutcome::kGranted,
               aGranted.permit.epoch,
               aGranted.permit.number,
               0,
               {},
               aGranted.mark };
    }
    wire::PermitReply operator()(const core::PermitRefused& aRefused) const
    {
      return { target,
               aRefused.request,
               wire::PermitOutcome::kRefused,
               0,
               0,
               static_cast<std::uint8_t>(aRefused.reason),
               aRefused.retry_after,
               aRefused.mark };
    }
  };
  const auto& holder = std::visit(
    [](const auto& aOne) -> const core::InstanceId& { return aOne.holder; },
    aDecision);
  m_peers.Tell(holder, std::visit(ToAnswer{ aTarget }, aDecision));
}

asio::awaitable<void>
OwnerService::AskHoldings(core::TargetId aTarget, core::InstanceId aHolder)
{
  const auto owned = m_owned.find(aTarget);
  if (owned == m_owned.end()) {
    co_return;
  }
  const core::PermitId up_to = owned->second.book.Query().up_to;
  wire::Message ask = wire::HoldingsRequest{ aTarget, up_to };
  const auto answer =
    co_await m_peers.Ask(aHolder, std::move(ask), kHoldingsTimeout);
  const auto still_owned = m_owned.find(aTarget);
  if (!answer || still_owned == m_owned.end()) {
    co_return;
  }
  const auto* holdings = std::get_if<wire::HoldingsReply>(&*answer);
  if (holdings == nullptr) {
    co_return;
  }
  const core::HoldingsReply told{
    aHolder, holdings->up_to, holdings->held, holdings->process
  };
  still_owned->second.book.ApplyHoldings(told, RuntimeClock::now());
  Decide(aTarget, still_owned->second);
}

} // namespace jujubehead::node
