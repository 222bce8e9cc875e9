#include "bench/agreement/sim_node.hpp"

#include <string>  // for string, to_string
#include <utility> // for move

namespace jujubehead::bench {

namespace {

using namespace std::chrono_literals;
using core::GroupId;
using core::InstanceId;
using core::Instant;
using core::PermitId;
using core::TargetId;

const core::AccountId kAccount("account");
constexpr core::Duration kAskEvery = 500ms;
constexpr core::Duration kPatience = 8s;
constexpr core::Duration kSlowTick = 1s;
constexpr core::Duration kHop = 1ms;

core::PermitRules
HolderRules(const WorldOptions& aOptions)
{
  core::PermitRules rules = aOptions.permits;
  if (aOptions.breaks.start_late) {
    rules.start_window = 1h;
  }
  return rules;
}

GroupId
GroupOf(const TargetId& aTarget)
{
  return GroupId(aTarget.Text());
}

TargetId
TargetOf(const GroupId& aGroup)
{
  return TargetId(aGroup.Text());
}

} // namespace

SimNode::SimNode(World& aWorld,
                 std::uint32_t aIndex,
                 InstanceId aId,
                 core::DataCentreId aDataCentre,
                 std::uint64_t aProcess)
  : m_world(aWorld)
  , m_index(aIndex)
  , m_id(std::move(aId))
  , m_dc(std::move(aDataCentre))
  , m_own(core::Ownership::Create(
      { m_id, m_dc, aProcess, aWorld.Options().ownership },
      aWorld.Now()))
  , m_process(aProcess)
{
  const core::Duration first =
    m_world.Rand().Between(0us, m_world.Options().tick);
  m_world.Queue().After(first, [this] { Tick(); });
  if (m_world.Options().offer_every > 0us) {
    m_world.Queue().After(3s + first, [this] { Offer(); });
  }
}

void
SimNode::Do(const Step& aStep)
{
  if (!m_alive) {
    return;
  }
  if (m_paused) {
    m_inbox.push_back(aStep);
    return;
  }
  m_holding = m_stop_after_step;
  aStep();
  CarryOut();
  m_holding = false;
  if (m_stop_after_step) {
    m_stop_after_step = false;
    m_paused = true;
    m_world.Queue().After(m_pause_time, [this] { Resume(); });
  }
}

void
SimNode::Out(Step aEffect)
{
  if (m_holding) {
    m_outbox.push_back(std::move(aEffect));
  } else {
    aEffect();
  }
}

void
SimNode::Pause(core::Duration aTime, bool aMidStep)
{
  if (m_paused || m_stop_after_step || !m_alive) {
    return;
  }
  m_pause_time = aTime;
  if (aMidStep) {
    m_stop_after_step = true;
    return;
  }
  m_paused = true;
  m_world.Queue().After(aTime, [this] { Resume(); });
}

void
SimNode::Resume()
{
  if (!m_alive) {
    return;
  }
  m_paused = false;
  std::deque<Step> out = std::exchange(m_outbox, {});
  for (const Step& effect : out) {
    effect();
  }
  std::deque<Step> in = std::exchange(m_inbox, {});
  for (const Step& step : in) {
    Do(step);
  }
}

void
SimNode::Leave()
{
  m_leaving = true;
  Do([this] { m_own.Leave(m_world.Now()); });
}

void
SimNode::Post(const InstanceId& aTo, wire::Envelope aEnvelope)
{
  Out([this, aTo, envelope = std::move(aEnvelope)] {
    m_world.Deliver(m_id, aTo, envelope);
  });
}

void
SimNode::Tick()
{
  if (!m_alive) {
    return;
  }
  m_world.Queue().After(m_world.Options().tick, [this] { Tick(); });
  if (m_paused) {
    return;
  }
  Do([this] {
    const Instant now = m_world.Now();
    if (now >= m_slow_tick_at) {
      m_slow_tick_at = now + kSlowTick;
      m_own.SetMembers(m_world.Members(), now);
      m_own.SetGroups(m_world.Groups(), now);
      LookAfterBooks();
    }
    m_own.Tick(now);
    CarryOut();
    for (const auto& [group, book] : m_books) {
      Decide(group);
    }
    for (auto it = m_pending.begin(); it != m_pending.end();) {
      auto& [request, pending] = *it;
      if (now >= pending.deadline) {
        Holder(pending.group).RemoveRequest(request);
        it = m_pending.erase(it);
        continue;
      }
      if (now >= pending.ask_at) {
        Ask(request, pending);
      }
      ++it;
    }
  });
}

void
SimNode::Offer()
{
  if (!m_alive) {
    return;
  }
  const core::Duration every = m_world.Options().offer_every;
  m_world.Queue().After(m_world.Rand().Between(every / 2, every * 3 / 2),
                        [this] { Offer(); });
  if (m_paused || m_leaving) {
    return;
  }
  Do([this] {
    const auto& groups = m_world.Groups();
    const core::RequestId request(m_id.Text() + "/" +
                                  std::to_string(m_process >> 16U) + "/" +
                                  std::to_string(m_offered++));
    const Instant now = m_world.Now();
    Pending pending{ groups[m_world.Rand().Below(groups.size())],
                     now + kPatience,
                     now };
    const auto at = m_pending.emplace(request, pending).first;
    Ask(request, at->second);
  });
}

void
SimNode::Ask(const core::RequestId& aRequest, Pending& aPending)
{
  const Instant now = m_world.Now();
  aPending.ask_at = now + kAskEvery;
  const auto owner = m_own.OwnerOf(aPending.group);
  if (!owner) {
    return;
  }
  Holder(aPending.group).RegisterRequest(aRequest, kAccount);
  wire::PermitAcquire ask;
  ask.target = TargetOf(aPending.group);
  ask.request = aRequest;
  ask.account = kAccount;
  ask.deadline = aPending.deadline - now;
  ask.cost_tokens = 1;
  ask.mark = static_cast<std::uint64_t>(now.time_since_epoch().count());
  ask.process = m_process;
  Post(*owner, ask);
}

core::PermitHolder&
SimNode::Holder(const GroupId& aGroup)
{
  const auto found = m_holders.find(aGroup);
  if (found != m_holders.end()) {
    return found->second;
  }
  return m_holders
    .emplace(
      aGroup,
      core::PermitHolder::For(m_id, HolderRules(m_world.Options()), m_process))
    .first->second;
}

void
SimNode::OnAsk(const InstanceId& aFrom, const wire::PermitAcquire& aAsk)
{
  const GroupId group = GroupOf(aAsk.target);
  const Instant now = m_world.Now();
  const auto book = m_books.find(group);
  const bool admits =
    m_own.MayAdmit(group, now) || m_world.Options().breaks.ignore_lease;
  if (book == m_books.end() || !admits) {
    wire::PermitReply answer;
    answer.target = aAsk.target;
    answer.request = aAsk.request;
    answer.mark = aAsk.mark;
    Post(aFrom, answer);
    return;
  }
  book->second.Request({ aAsk.request,
                         aFrom,
                         aAsk.account,
                         aAsk.priority,
                         now + aAsk.deadline,
                         aAsk.cost_tokens,
                         aAsk.mark,
                         aAsk.process },
                       now);
  Decide(group);
}

void
SimNode::Decide(const GroupId& aGroup)
{
  const Instant now = m_world.Now();
  const auto book = m_books.find(aGroup);
  const bool admits =
    m_own.MayAdmit(aGroup, now) || m_world.Options().breaks.ignore_lease;
  if (book == m_books.end() || !admits) {
    return;
  }
  for (const core::PermitDecision& decision : book->second.Decide(now)) {
    wire::PermitReply answer;
    answer.target = TargetOf(aGroup);
    if (const auto* grant = std::get_if<core::PermitGranted>(&decision)) {
      if (grant->permit.epoch == book->second.Epoch()) {
        m_world.NoteGrant(aGroup, grant->permit.epoch);
      }
      m_grants[aGroup].try_emplace(grant->permit, Grant{ now });
      answer.outcome = wire::PermitOutcome::kGranted;
      answer.epoch = grant->permit.epoch;
      answer.number = grant->permit.number;
      answer.request = grant->request;
      answer.mark = grant->mark;
      Post(grant->holder, answer);
    } else {
      const auto& refused = std::get<core::PermitRefused>(decision);
      answer.outcome = wire::PermitOutcome::kRefused;
      answer.reason = static_cast<std::uint8_t>(refused.reason);
      answer.retry_after = refused.retry_after;
      answer.request = refused.request;
      answer.mark = refused.mark;
      Post(refused.holder, answer);
    }
  }
}

void
SimNode::OnAnswer(const wire::PermitReply& aAnswer)
{
  const Run run{ aAnswer.request, GroupOf(aAnswer.target) };
  const Instant sent_at(
    core::Duration(static_cast<core::Duration::rep>(aAnswer.mark)));
  if (aAnswer.outcome == wire::PermitOutcome::kRefused) {
    Holder(run.group).RemoveRequest(run.request);
    m_pending.erase(run.request);
    ++m_world.Mutable().refused;
    return;
  }
  if (aAnswer.outcome != wire::PermitOutcome::kGranted) {
    return;
  }
  core::PermitGranted grant;
  grant.request = run.request;
  grant.holder = m_id;
  grant.permit = { aAnswer.epoch, aAnswer.number };
  const auto outcome =
    Holder(run.group).OnGranted(grant, sent_at, m_world.Now());
  if (std::holds_alternative<core::StartRun>(outcome)) {
    m_pending.erase(run.request);
    Begin(run, grant.permit);
  } else if (std::holds_alternative<core::ReleasePermit>(outcome)) {
    SendRelease(run.group, grant.permit);
  }
}

void
SimNode::Begin(const Run& aRun, const PermitId& aPermit)
{
  FakeEngine& engine = m_world.Engine(aRun.group);
  ++m_world.Mutable().granted;
  if (!engine.Begin(aRun.request, aPermit)) {
    OnRunEnded(aRun, aPermit);
    return;
  }
  if (const auto owner = m_own.OwnerOf(aRun.group)) {
    Post(*owner,
         wire::PermitStarted{
           TargetOf(aRun.group), aPermit.epoch, aPermit.number });
  }
  const auto& options = m_world.Options();
  const core::Duration time =
    m_world.Rand().Between(options.run_least, options.run_most);
  // The run goes on at the target also when this instance is dead.
  m_world.Queue().After(time, [this, &engine, aRun, aPermit] {
    engine.End(aRun.request);
    ++m_world.Mutable().completed;
    Do([this, aRun, aPermit] { OnRunEnded(aRun, aPermit); });
  });
}

void
SimNode::OnRunEnded(const Run& aRun, const PermitId& aPermit)
{
  Holder(aRun.group).OnRunEnded(aPermit);
  SendRelease(aRun.group, aPermit);
}

void
SimNode::SendRelease(const GroupId& aGroup, const PermitId& aPermit)
{
  if (const auto owner = m_own.OwnerOf(aGroup)) {
    wire::PermitRelease release;
    release.target = TargetOf(aGroup);
    release.epoch = aPermit.epoch;
    release.number = aPermit.number;
    Post(*owner, release);
  }
}

void
SimNode::OnRelease(const wire::PermitRelease& aRelease)
{
  const GroupId group = GroupOf(aRelease.target);
  const auto book = m_books.find(group);
  if (book != m_books.end()) {
    book->second.Release({ aRelease.epoch, aRelease.number }, m_world.Now());
    Decide(group);
    return;
  }
  const auto owner = m_own.OwnerOf(group);
  if (owner && *owner != m_id) {
    Post(*owner, aRelease);
  }
}

template<typename Message>
void
SimNode::On(const InstanceId& aFrom,
            std::uint64_t aCall,
            const Message& aMessage)
{
  const Instant now = m_world.Now();
  using core::GroupHandover;
  if constexpr (std::is_constructible_v<core::OwnershipMessage, Message>) {
    m_own.OnMessage(aFrom, aMessage, now);
  } else if constexpr (std::is_same_v<Message, GroupHandover>) {
    m_own.OnHandover(aMessage, now);
  } else if constexpr (std::is_same_v<Message, wire::PermitAcquire>) {
    OnAsk(aFrom, aMessage);
  } else if constexpr (std::is_same_v<Message, wire::PermitReply>) {
    OnAnswer(aMessage);
  } else if constexpr (std::is_same_v<Message, wire::PermitRelease>) {
    OnRelease(aMessage);
  } else if constexpr (std::is_same_v<Message, wire::PermitStarted>) {
    const auto book = m_books.find(GroupOf(aMessage.target));
    const PermitId permit{ aMessage.epoch, aMessage.number };
    if (book != m_books.end()) {
      book->second.Started(permit, now);
      m_grants[book->first][permit].started = true;
    }
  } else if constexpr (std::is_same_v<Message, wire::HoldingsRequest>) {
    auto& holder = Holder(GroupOf(aMessage.target));
    wire::HoldingsReply answer{
      aMessage.target, aMessage.up_to, {}, m_process
    };
    answer.held = m_world.Options().breaks.ignore_answers
                    ? holder.Held()
                    : holder.AnswerQuery({ aMessage.up_to }).held;
    Post(aFrom, wire::Envelope{ aCall, true, answer });
  } else if constexpr (std::is_same_v<Message, wire::HoldingsReply>) {
    const auto book = m_books.find(GroupOf(aMessage.target));
    if (book != m_books.end()) {
      book->second.ApplyHoldings(
        { aFrom, aMessage.up_to, aMessage.held, aMessage.process }, now);
      Decide(book->first);
    }
  }
}

void
SimNode::Receive(const InstanceId& aFrom, const wire::Envelope& aEnvelope)
{
  Do([this, aFrom, aEnvelope] {
    std::visit(
      [&](const auto& aMessage) { On(aFrom, aEnvelope.call, aMessage); },
      aEnvelope.message);
  });
}

void
SimNode::Written(std::uint64_t aToken, core::WriteOutcome aOutcome)
{
  Do([this, aToken, aOutcome] {
    m_own.OnWritten(aToken, aOutcome, m_world.Now());
  });
}

void
SimNode::Read(const core::RowsRead& aRows)
{
  Do([this, aRows] { m_own.OnRead(aRows, m_world.Now()); });
}

void
SimNode::CarryOut()
{
  for (const core::OwnershipAction& action : m_own.TakeActions()) {
    std::visit([this](const auto& aAction) { Act(aAction); }, action);
  }
}

void
SimNode::Act(const core::SendMessage& aAction)
{
  std::visit([&](const auto& aMessage) { Post(aAction.to, aMessage); },
             aAction.message);
}

void
SimNode::Act(const core::WriteRows& aAction)
{
  Out([this, aAction] { m_world.ServiceWrite(m_index, aAction); });
}

void
SimNode::Act(const core::ReadRows& aAction)
{
  Out([this, aAction] { m_world.ServiceRead(m_index, aAction); });
}

void
SimNode::Act(const core::StartOwning& aAction)
{
  const auto& options = m_world.Options();
  auto book = core::PermitScheduler::ForEpoch(
    aAction.epoch, options.limit, options.permits);
  book.SetShare({ kAccount, 1, options.limit, 1000 });
  const bool complete = aAction.is_first || aAction.has_all_permits;
  if (!complete && !options.breaks.forget_unknown) {
    book.ReserveUnknown(options.limit,
                        aAction.previous_grants_end +
                          options.permits.start_window);
  }
  book.Adopt(aAction.held, m_world.Now());
  m_books.insert_or_assign(aAction.group, std::move(book));
  m_grants.erase(aAction.group);
  Out([this, aAction] {
    m_world.Queue().After(kHop, [this, aAction] {
      m_world.Engine(aAction.group).Fence(aAction.epoch);
    });
  });
  AskHolders(aAction.group, m_books.at(aAction.group));
  AskTarget(aAction.group);
}

void
SimNode::Act(const core::StopOwning& aAction)
{
  m_books.erase(aAction.group);
}

void
SimNode::Act(const core::HandOverGroup& aAction)
{
  const auto book = m_books.find(aAction.row.group);
  if (book == m_books.end()) {
    return;
  }
  Post(aAction.row.owner.instance,
       core::GroupHandover{
         aAction.row, book->second.Held(), book->second.Reserved() == 0 });
  m_books.erase(book);
}

void
SimNode::AskHolders(const GroupId& aGroup, core::PermitScheduler& aBook)
{
  const wire::HoldingsRequest ask{ TargetOf(aGroup), aBook.Query().up_to };
  if (aBook.Reserved() > 0) {
    for (const core::InstanceMember& member : m_world.Members()) {
      Post(member.id, ask);
    }
    return;
  }
  for (const InstanceId& holder : aBook.HoldersToQuery(m_world.Now())) {
    Post(holder, ask);
  }
}

void
SimNode::AskTarget(const GroupId& aGroup)
{
  const Instant asked = m_world.Now();
  Out([this, aGroup, asked] {
    m_world.Queue().After(kHop, [this, aGroup, asked] {
      core::TargetReport report{ asked, m_world.Engine(aGroup).Requests() };
      m_world.Queue().After(m_world.Options().report_lag,
                            [this, aGroup, report] {
                              Do([this, aGroup, report] {
                                const auto book = m_books.find(aGroup);
                                if (book != m_books.end()) {
                                  book->second.ApplyTargetReport(report);
                                  Decide(aGroup);
                                }
                              });
                            });
    });
  });
}

void
SimNode::LookAfterBooks()
{
  for (auto& [group, book] : m_books) {
    AskHolders(group, book);
    if (book.NeedsTargetReport(m_world.Now())) {
      AskTarget(group);
    }
  }
  if (m_world.Options().breaks.void_by_time) {
    VoidByTime();
  }
}

void
SimNode::VoidByTime()
{
  const auto& rules = m_world.Options().permits;
  const Instant now = m_world.Now();
  for (auto& [group, book] : m_books) {
    for (const auto& [permit, grant] : m_grants[group]) {
      const Instant end = grant.at + rules.start_window + rules.margin;
      if (!grant.started && now >= end) {
        book.Release(permit, now);
      }
    }
  }
}

std::uint32_t
SimNode::OpenPlaces(const GroupId& aGroup) const
{
  const auto book = m_books.find(aGroup);
  if (book == m_books.end()) {
    return 0;
  }
  return book->second.Limit() -
         std::min(book->second.Limit(), book->second.Reserved());
}

std::string
SimNode::Describe() const
{
  std::string text = m_id.Text();
  text += !m_alive ? " dead" : m_paused ? " paused" : "";
  text += m_own.IsReady() ? "" : " not-ready";
  text += m_own.LeaseExpiresAt() > m_world.Now() ? " valid" : " lapsed";
  text += " " + std::to_string(m_process >> core::Incarnation::kLeaseBits);
  if (const auto lease = m_own.Lease()) {
    text += " rev " + std::to_string(lease->rev) + " witnesses";
    for (const core::Incarnation& witness : lease->witnesses) {
      text += " " + witness.instance.Text() + "/" +
              std::to_string(witness.number >> core::Incarnation::kLeaseBits);
    }
    text += ";";
  }
  for (const GroupId& group : m_own.Owned()) {
    text += " " + group.Text() + "@" + std::to_string(*m_own.EpochOf(group));
    text += m_own.MayAdmit(group, m_world.Now()) ? "" : "(held back)";
    const auto book = m_books.find(group);
    if (book != m_books.end()) {
      text += "[" + std::to_string(book->second.Held().size()) + "+" +
              std::to_string(book->second.Reserved()) + "]";
    }
  }
  return text;
}

} // namespace jujubehead::bench
