#include "jujubehead/node/entry_service.hpp"

#include <algorithm>  // for find, shuffle, min
#include <functional> // for hash

#include <boost/asio/co_spawn.hpp>       // for co_spawn
#include <boost/asio/detached.hpp>       // for detached
#include <boost/asio/redirect_error.hpp> // for redirect_error
#include <boost/asio/use_awaitable.hpp>  // for use_awaitable

#include "jujubehead/core/rendezvous.hpp"        // for RendezvousOwner
#include "jujubehead/core/sparse_depths.hpp"     // for SparseKeys
#include "jujubehead/net/timer.hpp"              // for Timer
#include "jujubehead/node/directory_service.hpp" // for DirectoryService, RawKey
#include "jujubehead/node/member_book.hpp"       // for MemberBook
#include "jujubehead/node/peer_calls.hpp"        // for PeerCalls
#include "jujubehead/node/planned_stops.hpp"     // for IsStopping

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;
using core::RuntimeClock;

constexpr core::Duration kQuoteTimeout = std::chrono::milliseconds(250);
// Between tries while no owner can be reached.
constexpr core::Duration kOwnerPause = std::chrono::milliseconds(200);
constexpr core::Duration kNoTargetRetry = std::chrono::seconds(1);
// An owner that died is not waited for by every request until its lease ends.
constexpr core::Duration kSilence = std::chrono::seconds(2);
constexpr std::size_t kHolderCandidates = 2;
constexpr std::size_t kRandomCandidates = 2;
// Fewer targets than this are all asked: that costs little.
constexpr std::size_t kAskAll = 4;
// Plans to try before a refusal.
constexpr std::size_t kMaxPlans = 3;
// Copies of a prefix to ask about: the longest come first.
constexpr std::size_t kMaxCopies = 2;

bool
Contains(const std::vector<core::TargetId>& aList, const core::TargetId& aOne)
{
  return std::find(aList.begin(), aList.end(), aOne) != aList.end();
}

core::StoredCopy
CopyOf(const wire::StoreHolder& aHolder, const wire::LinkQuote& aQuote)
{
  core::StoredCopy copy;
  copy.store = aHolder.store;
  copy.handle = aHolder.handle;
  copy.generation = aHolder.generation;
  copy.blocks = core::SparseDepthAt(aHolder.keys);
  copy.link_wait = aQuote.wait;
  copy.bytes_per_second = static_cast<double>(aQuote.bytes_per_second);
  copy.bytes_per_block = aQuote.bytes_per_block;
  return copy;
}

NotAdmitted
Refusal(const std::optional<wire::PermitReply>& aAnswer)
{
  if (!aAnswer || aAnswer->outcome == wire::PermitOutcome::kNotOwner) {
    return { NotAdmittedReason::kUnreachable, std::chrono::seconds(1) };
  }
  switch (static_cast<core::RefusalReason>(aAnswer->reason)) {
    case core::RefusalReason::kNoShare:
      return { NotAdmittedReason::kNoShare, aAnswer->retry_after };
    case core::RefusalReason::kStopping:
      return { NotAdmittedReason::kNoTarget, aAnswer->retry_after };
    case core::RefusalReason::kDeadline:
    case core::RefusalReason::kQueueFull:
    case core::RefusalReason::kHolderTimeout:
      break;
  }
  return { NotAdmittedReason::kOverload, aAnswer->retry_after };
}

bool
IsUnreachable(const Admission& aAdmission)
{
  const auto* refusal = std::get_if<NotAdmitted>(&aAdmission);
  return refusal != nullptr &&
         refusal->reason == NotAdmittedReason::kUnreachable;
}

std::uint64_t
MarkOf(core::Instant aInstant)
{
  return static_cast<std::uint64_t>(aInstant.time_since_epoch().count());
}

core::Instant
InstantOf(std::uint64_t aMark)
{
  return core::Instant(core::Duration(static_cast<std::int64_t>(aMark)));
}

} // namespace

struct EntryService::Waiter
{
  explicit Waiter(asio::io_context& aContext)
    : timer(aContext)
  {
  }

  net::Timer timer;
  core::TargetId target;
  std::optional<wire::PermitReply> answer;
  bool abandoned = false;
};

struct EntryService::Candidates
{
  std::vector<core::TargetId> targets;
  std::map<core::TargetId, std::uint32_t> cached_blocks;
};

EntryService::EntryService(PeerCalls& aPeers,
                           const MemberBook& aMembers,
                           const core::TableView& aTable,
                           const OwnerMap& aOwners,
                           DirectoryService& aDirectory)
  : m_peers(aPeers)
  , m_members(aMembers)
  , m_table(aTable)
  , m_owners(aOwners)
  , m_directory(aDirectory)
  , m_random(std::random_device{}())
  , m_process(m_random())
{
}

EntryService::~EntryService() = default;

asio::awaitable<Admission>
EntryService::Admit(AdmissionAsk aAsk)
{
  ++m_counters.asked;
  const auto until = RuntimeClock::now() + aAsk.deadline;
  const auto waiter = std::make_shared<Waiter>(m_peers.Context());
  m_waiting.emplace(aAsk.attempt, waiter);
  Admission admission = co_await TryToAdmit(aAsk, until);
  // Owners that cannot be reached are being replaced: the request can wait.
  while (IsUnreachable(admission) && !waiter->abandoned &&
         RuntimeClock::now() + kOwnerPause < until) {
    co_await net::Sleep(kOwnerPause);
    admission = co_await TryToAdmit(aAsk, until);
  }
  m_waiting.erase(aAsk.attempt);
  ++(std::holds_alternative<Admitted>(admission) ? m_counters.admitted
                                                 : m_counters.refused);
  co_return admission;
}

asio::awaitable<Admission>
EntryService::TryToAdmit(const AdmissionAsk& aAsk, core::Instant aUntil)
{
  const auto waiter = m_waiting.at(aAsk.attempt);
  const wire::HoldersReply holders =
    co_await m_directory.FindHolders(core::SparseKeys(aAsk.chain));
  const Candidates candidates = ChooseCandidates(aAsk, holders);
  if (candidates.targets.empty()) {
    co_return NotAdmitted{ NotAdmittedReason::kNoTarget, kNoTargetRetry };
  }
  const auto quotes = co_await Quotes(aAsk, candidates.targets);
  if (quotes.empty()) {
    co_return NotAdmitted{ NotAdmittedReason::kUnreachable, kNoTargetRetry };
  }
  const auto copies = co_await Copies(aAsk.account, holders.stores);
  const auto plans = Plans(aAsk, candidates, quotes, copies);

  NotAdmitted refusal{ NotAdmittedReason::kNoTarget, kNoTargetRetry };
  for (std::size_t i = 0; i < plans.size() && i < kMaxPlans; ++i) {
    const auto answer = co_await AskPermit(aAsk, plans[i].target, aUntil);
    if (answer && answer->outcome == wire::PermitOutcome::kGranted) {
      co_return MakeAdmitted(aAsk, plans[i], *answer);
    }
    refusal = Refusal(answer);
    if (waiter->abandoned || RuntimeClock::now() >= aUntil) {
      break;
    }
  }
  co_return refusal;
}

std::vector<core::RoutePlan>
EntryService::Plans(const AdmissionAsk& aAsk,
                    const Candidates& aCandidates,
                    std::span<const wire::TargetQuote> aQuotes,
                    std::span<const core::StoredCopy> aCopies) const
{
  std::vector<core::TargetView> views;
  for (const wire::TargetQuote& quote : aQuotes) {
    const auto cached = aCandidates.cached_blocks.find(quote.target);
    const net::Member* member = m_members.Find(quote.target.View());
    core::TargetView view;
    view.target = quote.target;
    view.data_centre =
      member == nullptr ? core::DataCentreId() : member->data_centre;
    view.expected_wait = quote.expected_wait;
    view.prefill_tokens_per_second =
      static_cast<double>(quote.prefill_tokens_per_second);
    view.cached_blocks =
      cached == aCandidates.cached_blocks.end() ? 0 : cached->second;
    view.admits = quote.admits;
    view.running = quote.running;
    view.limit = quote.limit;
    views.push_back(std::move(view));
  }
  core::RouteQuery query;
  query.blocks = static_cast<std::uint32_t>(aAsk.chain.size());
  query.tokens_per_block = aAsk.tokens_per_block;
  query.tail_tokens = aAsk.tail_tokens;
  query.recompute_price = aAsk.recompute_price;
  return core::RankRoutes(query, views, aCopies);
}

EntryService::Candidates
EntryService::ChooseCandidates(const AdmissionAsk& aAsk,
                               const wire::HoldersReply& aHolders)
{
  std::vector<core::TargetId> usable;
  for (const net::Member* member : m_members.TargetsOf(aAsk.model)) {
    core::TargetId target(member->id);
    if (!IsStopping(m_table, *member) && !Contains(aAsk.avoid, target)) {
      usable.push_back(std::move(target));
    }
  }
  Candidates candidates;
  for (const wire::TargetHolder& holder : aHolders.targets) {
    candidates.cached_blocks[holder.target] = core::SparseDepthAt(holder.keys);
    if (candidates.targets.size() < kHolderCandidates &&
        Contains(usable, holder.target)) {
      candidates.targets.push_back(holder.target);
    }
  }
  std::shuffle(usable.begin(), usable.end(), m_random);
  const std::size_t wanted = usable.size() <= kAskAll
                               ? usable.size()
                               : candidates.targets.size() + kRandomCandidates;
  for (const core::TargetId& target : usable) {
    if (candidates.targets.size() >= wanted) {
      break;
    }
    if (!Contains(candidates.targets, target)) {
      candidates.targets.push_back(target);
    }
  }
  return candidates;
}

asio::awaitable<std::vector<wire::TargetQuote>>
EntryService::Quotes(const AdmissionAsk& aAsk,
                     std::vector<core::TargetId> aTargets)
{
  std::map<core::InstanceId, wire::QuoteRequest> asks;
  for (core::TargetId& target : aTargets) {
    const auto owner = m_owners.OwnerOf(target);
    if (!owner || IsSilent(*owner)) {
      continue;
    }
    wire::QuoteRequest& ask = asks[*owner];
    ask.account = aAsk.account;
    ask.version = aAsk.version;
    ask.adapter = aAsk.adapter;
    ask.targets.push_back(std::move(target));
  }
  // All owners are asked at once; the answers are gathered as they come.
  struct Gathering
  {
    explicit Gathering(asio::io_context& aContext)
      : done(aContext)
    {
    }
    net::Timer done;
    std::size_t open = 0;
    std::vector<wire::TargetQuote> quotes;
  };
  const auto gathering = std::make_shared<Gathering>(m_peers.Context());
  gathering->open = asks.size();
  gathering->done.expires_after(2 * kQuoteTimeout);
  for (auto& [owner, ask] : asks) {
    asio::co_spawn(
      m_peers.Context(),
      [this, gathering, to = owner, message = std::move(ask)]() mutable
      -> asio::awaitable<void> {
        const auto answer =
          co_await m_peers.Ask(to, std::move(message), kQuoteTimeout);
        if (!answer) {
          m_silent_until[to] = RuntimeClock::now() + kSilence;
        } else if (const auto* got = std::get_if<wire::QuoteReply>(&*answer)) {
          gathering->quotes.insert(
            gathering->quotes.end(), got->quotes.begin(), got->quotes.end());
        }
        if (--gathering->open == 0) {
          gathering->done.cancel();
        }
      },
      asio::detached);
  }
  if (gathering->open > 0) {
    boost::system::error_code ignored;
    co_await gathering->done.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return std::move(gathering->quotes);
}

asio::awaitable<std::vector<core::StoredCopy>>
EntryService::Copies(core::AccountId aAccount,
                     std::vector<wire::StoreHolder> aHolders)
{
  std::vector<core::StoredCopy> copies;
  for (const wire::StoreHolder& holder : aHolders) {
    const auto owner = m_owners.OwnerOf(holder.store);
    const bool known = m_members.Find(holder.store.View()) != nullptr;
    if (!owner || !known || copies.size() >= kMaxCopies) {
      continue;
    }
    wire::Message ask = wire::LinkQuoteRequest{ holder.store, aAccount };
    const auto answer =
      co_await m_peers.Ask(*owner, std::move(ask), kQuoteTimeout);
    const auto* quote =
      answer ? std::get_if<wire::LinkQuote>(&*answer) : nullptr;
    if (quote != nullptr && quote->bytes_per_second > 0) {
      copies.push_back(CopyOf(holder, *quote));
    }
  }
  co_return copies;
}

asio::awaitable<std::optional<wire::PermitReply>>
EntryService::AskPermit(const AdmissionAsk& aAsk,
                        core::TargetId aTarget,
                        core::Instant aUntil)
{
  const core::PermitRules rules;
  const auto waiter = m_waiting.at(aAsk.attempt);
  waiter->target = aTarget;
  waiter->answer.reset();
  // The owner refuses at the deadline; its word may take one repeat to come.
  const auto give_up = aUntil + rules.request_ttl;
  while (!waiter->abandoned && !waiter->answer &&
         RuntimeClock::now() < give_up) {
    SendAsk(aAsk, aTarget, aUntil);
    waiter->timer.expires_after(rules.request_ttl / 2);
    boost::system::error_code ignored;
    co_await waiter->timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (!waiter->answer) {
    HolderOf(aTarget).RemoveRequest(aAsk.attempt);
    TellOwner(aTarget, wire::PermitWithdraw{ aTarget, aAsk.attempt });
  }
  co_return waiter->answer;
}

void
EntryService::SendAsk(const AdmissionAsk& aAsk,
                      const core::TargetId& aTarget,
                      core::Instant aUntil)
{
  const auto now = RuntimeClock::now();
  HolderOf(aTarget).RegisterRequest(aAsk.attempt, aAsk.account);
  TellOwner(aTarget,
            wire::PermitAcquire{ aTarget,
                                 aAsk.attempt,
                                 aAsk.account,
                                 aAsk.priority,
                                 std::max(aUntil - now, core::Duration::zero()),
                                 aAsk.cost_tokens,
                                 MarkOf(now),
                                 m_process });
}

void
EntryService::OfferToKeep(wire::ExportOffer aOffer)
{
  std::vector<core::InstanceId> stores;
  for (const net::Member* store : m_members.Stores()) {
    if (!IsStopping(m_table, *store)) {
      stores.emplace_back(store->id);
    }
  }
  // The same store for the same context, so that its owner sees the gaps
  // between its uses.
  const auto home =
    core::RendezvousOwner(KeyOfRaw(aOffer.keys.front()), stores);
  if (!home) {
    return;
  }
  aOffer.store = core::StoreId(home->Text());
  if (const auto owner = m_owners.OwnerOf(aOffer.store)) {
    m_peers.Tell(*owner, std::move(aOffer));
  }
}

void
EntryService::ReportMissing(const core::StoredCopy& aCopy)
{
  if (const auto owner = m_owners.OwnerOf(aCopy.store)) {
    m_peers.Tell(
      *owner, wire::CopyMissing{ aCopy.store, aCopy.handle, aCopy.generation });
  }
}

void
EntryService::OnAnswer(const wire::PermitReply& aAnswer)
{
  const auto found = m_waiting.find(aAnswer.request);
  Waiter* waiter = found == m_waiting.end() ? nullptr : found->second.get();
  const bool waits = waiter != nullptr && waiter->target == aAnswer.target;
  if (aAnswer.outcome == wire::PermitOutcome::kGranted) {
    const core::PermitGranted grant{ aAnswer.request,
                                     m_peers.Self(),
                                     { aAnswer.epoch, aAnswer.number },
                                     {},
                                     aAnswer.mark };
    const auto outcome =
      HolderOf(aAnswer.target)
        .OnGranted(grant, InstantOf(aAnswer.mark), RuntimeClock::now());
    if (std::holds_alternative<core::ReleasePermit>(outcome)) {
      ++m_counters.permits_too_late;
      wire::PermitRelease release;
      release.target = aAnswer.target;
      release.epoch = aAnswer.epoch;
      release.number = aAnswer.number;
      TellOwner(aAnswer.target, std::move(release));
    }
    if (!std::holds_alternative<core::StartRun>(outcome)) {
      return;
    }
    if (!waits) {
      wire::PermitRelease unused;
      unused.target = aAnswer.target;
      unused.epoch = aAnswer.epoch;
      unused.number = aAnswer.number;
      Release(std::move(unused));
      return;
    }
  } else if (waits) {
    HolderOf(aAnswer.target).RemoveRequest(aAnswer.request);
  }
  if (aAnswer.outcome == wire::PermitOutcome::kNotOwner) {
    ++m_counters.not_owner;
  }
  if (waits) {
    waiter->answer = aAnswer;
    waiter->timer.cancel();
  }
}

wire::HoldingsReply
EntryService::Holdings(const wire::HoldingsRequest& aAsk)
{
  core::HoldingsReply told = HolderOf(aAsk.target).AnswerQuery({ aAsk.up_to });
  return { aAsk.target, told.up_to, std::move(told.held), m_process };
}

std::vector<RunsStatus>
EntryService::Runs() const
{
  std::vector<RunsStatus> runs;
  for (const auto& [target, holder] : m_holders) {
    const std::size_t count = holder.Held().size();
    if (count > 0) {
      const net::Member* member = m_members.Find(target.View());
      runs.push_back({ target.Text(),
                       count,
                       member == nullptr ? "" : member->data_centre.Text() });
    }
  }
  return runs;
}

void
EntryService::Abandon(const core::RequestId& aAttempt)
{
  const auto found = m_waiting.find(aAttempt);
  if (found == m_waiting.end()) {
    return;
  }
  found->second->abandoned = true;
  found->second->timer.cancel();
}

void
EntryService::Started(const core::TargetId& aTarget,
                      const core::PermitId& aPermit)
{
  TellOwner(aTarget,
            wire::PermitStarted{ aTarget, aPermit.epoch, aPermit.number });
}

void
EntryService::Release(wire::PermitRelease aRelease)
{
  HolderOf(aRelease.target).OnRunEnded({ aRelease.epoch, aRelease.number });
  const core::TargetId target = aRelease.target;
  TellOwner(target, std::move(aRelease));
}

Admitted
EntryService::MakeAdmitted(const AdmissionAsk& aAsk,
                           const core::RoutePlan& aPlan,
                           const wire::PermitReply& aAnswer) const
{
  const core::PermitRules rules;
  Admitted admitted;
  admitted.target = aPlan.target;
  admitted.permit = { aAnswer.epoch, aAnswer.number };
  admitted.start_by = InstantOf(aAnswer.mark) + rules.start_window;
  admitted.plan = aPlan;
  if (const auto* target = m_members.Find(aPlan.target.View())) {
    admitted.authority = target->address;
  }
  if (aPlan.import) {
    if (const auto* store = m_members.Find(aPlan.import->store.View())) {
      admitted.import_authority = store->address;
    }
  }
  for (const core::ContextKey& key : core::SparseKeys(aAsk.chain)) {
    admitted.sparse_keys.push_back(RawKey(key));
  }
  return admitted;
}

bool
EntryService::IsSilent(const core::InstanceId& aOwner) const
{
  const auto found = m_silent_until.find(aOwner);
  return found != m_silent_until.end() && RuntimeClock::now() < found->second;
}

core::PermitHolder&
EntryService::HolderOf(const core::TargetId& aTarget)
{
  const auto found = m_holders.find(aTarget);
  if (found != m_holders.end()) {
    return found->second;
  }
  return m_holders
    .emplace(aTarget, core::PermitHolder::For(m_peers.Self(), {}, m_process))
    .first->second;
}

void
EntryService::TellOwner(const core::TargetId& aTarget, wire::Message aMessage)
{
  if (const auto owner = m_owners.OwnerOf(aTarget)) {
    m_peers.Tell(*owner, std::move(aMessage));
  }
}

} // namespace jujubehead::node
