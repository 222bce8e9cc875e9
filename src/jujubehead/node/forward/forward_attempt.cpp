#include "forward_run.hpp"

#include <algorithm> // for max, min
#include <utility>   // for move

#include "jujubehead/core/routing/patience.hpp" // for StreamPatience

#include "part_places.hpp"    // for PlaceParts
#include "target_message.hpp" // for TargetMessage

// One attempt of a request at one target: the call, its reply and its
// time-outs. Routing, retries and the final response are in forward_run.cpp.

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;
using core::AttemptEnd;
using core::Duration;

constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kTooMany = 429;
constexpr unsigned kServerError = 500;
constexpr unsigned kUnavailable = 503;

/// Longest idle time of a connection reused for requests that must not run
/// twice: the target's own idle time-out is seconds away by then.
constexpr Duration kFreshRest = std::chrono::milliseconds(500);
constexpr Duration kAnyRest = std::chrono::seconds(60);
/// A non-streaming call without a reply after this multiple of its objective
/// counts as hung: replies usually take a tenth of the objective.
constexpr double kCallPatience = 2.5;
/// Share of failed replies above which a failure is blamed on the target and
/// retried elsewhere. Below it the request itself is the likely cause, and
/// would fail again: services usually fail one request in seven.
constexpr double kSuspectShare = 0.3;

bool
PromisesNotRun(unsigned aStatus)
{
  return aStatus == kRequestTimeout || aStatus == kMisdirected ||
         aStatus == kTooMany || aStatus == kUnavailable;
}

bool
IsEventStream(const net::MessageHead& aHead)
{
  const auto type = aHead.headers.Find("Content-Type");
  return type && type->starts_with("text/event-stream");
}

bool
IsSuccess(unsigned aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

} // namespace

TargetCall
ForwardRun::CallFor(const FleetTarget& aTarget)
{
  TargetCall call;
  call.target = aTarget.target.id;
  if (m_account != nullptr) {
    call.account = m_account->id;
  }
  call.time_left = TimeLeft();
  call.resume_after =
    m_cutter.LastId().empty() ? m_facts.resume_after : m_cutter.LastId();
  if (!m_facts.prompt) {
    return call;
  }
  call.urgency = Urgency();
  const core::Prompt& prompt = *m_facts.prompt;
  call.weight_version = aTarget.VersionOf(prompt.model);
  // Without a known weight version, a unique scope prevents sharing.
  call.time_left = std::min(call.time_left, TimeOnWeights(call));
  if (!call.weight_version) {
    call.cache_scope = "alone/" + m_facts.request_id;
    return call;
  }
  const core::CacheScope scope = ScopeOn(*call.weight_version);
  call.cache_scope = core::ToText(scope);
  m_placed =
    PlaceParts(m_state, prompt, scope, aTarget, m_route->objective, call);
  m_state.metrics.Add(Counter::kImportedTokens, m_placed.transferred);
  m_state.metrics.Add(Counter::kRecomputedTokens, m_placed.anew);
  m_state.metrics.Add(Counter::kPassedOverTokens, m_placed.passed_over);
  ReadFromHome(m_state, prompt, aTarget, call);
  return call;
}

asio::awaitable<ForwardRun::Ended>
ForwardRun::Attempt(std::shared_ptr<FleetTarget> aTarget)
{
  m_tried.insert(aTarget->target.id);
  m_last_target = aTarget->target.id.Text();
  m_last_weights.reset();
  ExchangeOptions options;
  options.request_id = m_facts.request_id;
  options.to_head = m_session->Request().head.method == "HEAD";
  options.longest_rest = m_route->repeatable ? kAnyRest : kFreshRest;
  TargetExchange exchange(
    m_session->Executor(), m_state.dialect, aTarget, std::move(options));
  m_exchange = &exchange;
  m_waits_for = aTarget;
  m_lost_patience = false;
  m_load_at_send = aTarget->load.Requests(core::RuntimeClock::now());
  m_sent = core::RuntimeClock::now();
  aTarget->load.OnBegin();
  aTarget->health.OnSend(core::RuntimeClock::now());
  const Ended ended = co_await Exchange(*aTarget, exchange);
  aTarget->load.OnEnd(core::RuntimeClock::now() - m_sent);
  aTarget->streaming -= m_is_streaming ? 1 : 0;
  m_is_streaming = false;
  m_exchange = nullptr;
  m_waits_for = nullptr;
  m_patience.Clear();
  if (ended && m_timed_out && *ended == AttemptEnd::kBroken) {
    co_return AttemptEnd::kTimedOut;
  }
  co_return ended;
}

asio::awaitable<ForwardRun::Ended>
ForwardRun::Exchange(FleetTarget& aTarget, TargetExchange& aExchange)
{
  const bool open = co_await aExchange.Open();
  if (!open) {
    m_last_why = aExchange.Why();
    if (!IsOver()) {
      aTarget.health.OnUnreachable(core::RuntimeClock::now());
    }
    if (aExchange.WasRefused()) {
      ReportGone(aTarget);
    }
    co_return AttemptEnd::kNotSent;
  }
  if (IsOver()) {
    co_return AttemptEnd::kNotSent;
  }
  const TargetCall call = CallFor(aTarget);
  m_last_weights = call.weight_version;
  aExchange.Send(TargetMessage(m_state.dialect, m_session->Request(), call));
  SetPatience(aTarget);
  const ReplyPart part = co_await aExchange.ReadHead();
  if (part == ReplyPart::kBroken) {
    co_return EndBroken(aTarget, aExchange);
  }
  NoteReply(aTarget, aExchange.Facts());
  const ReplyFacts& facts = aExchange.Facts();
  const unsigned status = aExchange.Head().status;
  if (facts.not_run) {
    co_return EndRefused(aTarget, status, facts);
  }
  if (!facts.is_signed || facts.is_encoded || PromisesNotRun(status)) {
    m_last_why =
      "reply is not from the target, status " + std::to_string(status);
    aTarget.health.OnFailure(core::RuntimeClock::now());
    co_return AttemptEnd::kBroken;
  }
  if (IsSuccess(status) && m_route->streams &&
      IsEventStream(aExchange.Head())) {
    co_return co_await PassStream(aTarget, aExchange, part);
  }
  co_return co_await PassWhole(aTarget, aExchange, part);
}

void
ForwardRun::NoteReply(FleetTarget& aTarget, const ReplyFacts& aFacts)
{
  const core::Instant now = core::RuntimeClock::now();
  aTarget.last_heard = now;
  if (aFacts.load) {
    aTarget.load.OnReport(*aFacts.load, now);
    if (m_state.tells_loads) {
      m_state.heard_loads.Put(
        { core::KeyOf(aTarget.target.id), *aFacts.load, now });
    }
  }
  if (aFacts.weight_version && m_facts.prompt) {
    aTarget.OnVersion(m_facts.prompt->model, *aFacts.weight_version);
  }
}

void
ForwardRun::ReportGone(const FleetTarget& aTarget)
{
  if (m_state.tells_loads) {
    m_state.heard_loads.Put(
      core::GoneTarget(aTarget.target.id, core::RuntimeClock::now()));
  }
}

ForwardRun::Ended
ForwardRun::EndBroken(FleetTarget& aTarget, const TargetExchange& aExchange)
{
  if (m_session->IsGone()) {
    return std::nullopt;
  }
  m_last_why = m_timed_out       ? "request timed out"
               : m_lost_patience ? "target stopped responding"
                                 : aExchange.Why();
  if (!m_timed_out && !m_lost_patience) {
    aTarget.health.OnFailure(core::RuntimeClock::now());
  }
  return AttemptEnd::kBroken;
}

ForwardRun::Ended
ForwardRun::EndRefused(FleetTarget& aTarget,
                       unsigned aStatus,
                       const ReplyFacts& aFacts)
{
  m_last_why = "target refused the request";
  m_state.metrics.Add(Counter::kTargetRefusals);
  // A full target is healthy. One that is a different target or has different
  // weights is not used until its state is known again.
  if (!aFacts.load && !aFacts.weight_version) {
    aTarget.health.OnUnreachable(core::RuntimeClock::now());
    if (aStatus == kMisdirected) {
      ReportGone(aTarget);
    }
  } else {
    aTarget.health.OnAnswer();
  }
  return AttemptEnd::kRefused;
}

asio::awaitable<ForwardRun::Ended>
ForwardRun::PassWhole(FleetTarget& aTarget,
                      TargetExchange& aExchange,
                      ReplyPart aPart)
{
  while (aPart == ReplyPart::kMore) {
    aPart = co_await aExchange.ReadBody();
  }
  if (aPart == ReplyPart::kBroken) {
    co_return EndBroken(aTarget, aExchange);
  }
  m_patience.Clear();
  WholeAnswer answer;
  answer.status = aExchange.Head().status;
  answer.reason = aExchange.Head().reason;
  answer.headers = LinesForCaller(aExchange.Head().headers);
  answer.body = std::move(aExchange.Body());
  if (answer.status >= kServerError) {
    aTarget.health.OnFailure(core::RuntimeClock::now());
    m_last_why = "target returned status " + std::to_string(answer.status);
    if (m_session->HasStreamBegun() ||
        aTarget.health.FailingShare() > kSuspectShare) {
      m_failure = std::move(answer);
      co_return AttemptEnd::kFailed;
    }
  } else {
    aTarget.health.OnAnswer();
  }
  if (m_session->HasStreamBegun()) {
    m_last_why = "target did not resume the stream";
    co_return AttemptEnd::kBroken;
  }
  const unsigned status = answer.status;
  const bool written = co_await m_session->Answer(std::move(answer));
  if (written) {
    m_state.metrics.Add(Counter::kAnswers);
    LogEnd("answered", status, {});
  }
  co_return std::nullopt;
}

asio::awaitable<ForwardRun::Ended>
ForwardRun::PassStream(FleetTarget& aTarget,
                       TargetExchange& aExchange,
                       ReplyPart aPart)
{
  for (;;) {
    const std::string events = m_cutter.Take(aExchange.Body());
    if (!events.empty()) {
      aTarget.last_heard = core::RuntimeClock::now();
      aTarget.streaming += m_is_streaming ? 0 : 1;
      m_is_streaming = true;
      SetPatience(aTarget);
      if (!m_session->HasStreamBegun()) {
        m_first_event = aTarget.last_heard;
        m_state.waits[m_route->name].OnFirstAnswer(m_load_at_send,
                                                   m_first_event - m_sent);
        m_session->BeginStream(aExchange.Head().status,
                               aExchange.Head().reason,
                               LinesForCaller(aExchange.Head().headers));
      }
      const bool written = co_await m_session->WritePiece(events);
      if (!written) {
        co_return std::nullopt;
      }
    }
    if (aPart != ReplyPart::kMore) {
      break;
    }
    aPart = co_await aExchange.ReadBody();
  }
  if (aPart == ReplyPart::kBroken) {
    co_return EndBroken(aTarget, aExchange);
  }
  if (!aExchange.Body().empty()) {
    m_last_why = "stream ended in the middle of an event";
    aTarget.health.OnFailure(core::RuntimeClock::now());
    co_return AttemptEnd::kBroken;
  }
  aTarget.health.OnAnswer();
  if (!m_session->HasStreamBegun()) {
    m_session->BeginStream(aExchange.Head().status,
                           aExchange.Head().reason,
                           LinesForCaller(aExchange.Head().headers));
  }
  const bool written = co_await m_session->EndStream();
  if (written) {
    m_state.metrics.Add(Counter::kAnswers);
    const std::string_view account =
      m_account != nullptr ? m_account->id.View() : std::string_view("-");
    m_state.metrics.Record(Timing::kTimeToFirstToken,
                           account,
                           m_last_target,
                           m_first_event - m_session->Request().begun);
    LogEnd("answered", aExchange.Head().status, {});
  }
  co_return std::nullopt;
}

Duration
ForwardRun::TimeOnWeights(const TargetCall& aCall) const
{
  const auto wanted = m_state.wanted_weights.find(m_facts.prompt->model);
  if (wanted == m_state.wanted_weights.end() || !aCall.weight_version) {
    return Duration::max();
  }
  const core::Instant until = wanted->second.BeginUntil(*aCall.weight_version);
  return until == core::Instant::max() ? Duration::max()
                                       : until - core::RuntimeClock::now();
}

void
ForwardRun::SetPatience(const FleetTarget& aTarget)
{
  if (!m_route->repeatable ||
      m_history.may_have_run + 1 >= m_route->max_targets) {
    return;
  }
  m_waits_since = core::RuntimeClock::now();
  if (m_route->streams) {
    core::SilenceInput input;
    input.objective = m_route->objective;
    input.predicted = m_state.waits[m_route->name].At(m_load_at_send);
    const std::uint32_t own = m_is_streaming ? 1 : 0;
    input.others_stream = aTarget.streaming > own;
    m_patience.Set(core::StreamPatience(input));
    return;
  }
  const Duration patience(static_cast<Duration::rep>(
    kCallPatience * static_cast<double>(m_route->objective.count())));
  m_patience.Set(std::min(patience, TimeLeft() / 2));
}

void
ForwardRun::LosePatience()
{
  if (m_exchange == nullptr || !m_waits_for) {
    return;
  }
  if (m_route->streams && m_waits_for->last_heard > m_waits_since) {
    // It responds to other requests, so it is busy, not hung.
    SetPatience(*m_waits_for);
    return;
  }
  m_lost_patience = true;
  m_waits_for->health.OnUnreachable(core::RuntimeClock::now());
  m_exchange->Close();
}

} // namespace jujubehead::node
