#include "forward_run.hpp"

#include <algorithm> // for min, max, clamp
#include <cmath>     // for lround
#include <utility>   // for move

#include "jujubehead/core/routing/patience.hpp"  // for StreamPatience
#include "jujubehead/core/routing/placement.hpp" // for PlacePrompt, PlaceCall

#include "part_places.hpp"    // for PlaceParts
#include "target_message.hpp" // for TargetMessage

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;
using core::AttemptEnd;
using core::Duration;
using core::NextStep;

constexpr std::int64_t kMicrosOfMs = 1000;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kTooMany = 429;
constexpr unsigned kServerError = 500;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

/// The way of an answer back to its caller; it is taken off the caller's time.
constexpr Duration kWayBack = std::chrono::milliseconds(15);
/// A request with less time left is not sent any more: no target answers so
/// soon.
constexpr Duration kLeastTime = std::chrono::milliseconds(10);
/// How long a resting connection may be used for what must not run twice: a
/// target's own time-out for it is seconds away by then.
constexpr Duration kFreshRest = std::chrono::milliseconds(500);
constexpr Duration kAnyRest = std::chrono::seconds(60);
/// A plain call that has no answer after this many times its objective is at a
/// target that hangs: usual answers take a tenth of the objective.
constexpr double kCallPatience = 2.5;
/// When to come back after a refusal: targets that are full have room again
/// after about this time; spread, so that refused callers do not come together.
constexpr std::int64_t kComeBackFromMs = 150;
constexpr std::int64_t kComeBackToMs = 450;
/// A target whose weights will be too old sooner gets no request any more: its
/// time would be too short for most.
constexpr Duration kOldWeightsTime = std::chrono::milliseconds(2500);
/// Nearly all requests end within this time, also at loaded targets. A stopping
/// instance that has less left does not begin one.
constexpr Duration kUsualLongest = std::chrono::milliseconds(4700);
/// Callers wait for at most this share of their time.
constexpr int kComeBackShare = 3;
/// A failure is the request's own, which another target repeats, unless the
/// target fails much more than the one in seven of usual services.
constexpr double kSuspectShare = 0.3;
/// Share of a model's targets that must hold the newest weights before requests
/// go to those only; fewer could not carry the load.
constexpr double kEnoughNewest = 0.5;

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

std::string_view
NameOf(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::kNotSent:
      return "not_sent";
    case AttemptEnd::kRefused:
      return "refused";
    case AttemptEnd::kBroken:
      return "broken";
    case AttemptEnd::kFailed:
      return "failed";
    case AttemptEnd::kTimedOut:
      break;
  }
  return "timed_out";
}

} // namespace

ForwardRun::ForwardRun(ForwardState& aState,
                       std::shared_ptr<CallerSession> aSession)
  : m_state(aState)
  , m_session(std::move(aSession))
  , m_deadline(m_session->Executor(),
               [this] {
                 m_timed_out = true;
                 Stop();
               })
  , m_patience(m_session->Executor(), [this] { LosePatience(); })
{
}

Duration
ForwardRun::TimeLeft() const
{
  return m_until - core::RuntimeClock::now();
}

void
ForwardRun::Stop()
{
  if (m_exchange != nullptr) {
    m_exchange->Close();
  }
}

std::optional<ForwardRun::OwnAnswer>
ForwardRun::Prepare()
{
  m_configuration = m_state.configuration;
  const CallerRequest& request = m_session->Request();
  auto facts = m_state.dialect.ReadCaller(request.head.headers);
  if (facts.has_error()) {
    return OwnAnswer{ kBadRequest, core::Render(facts.error()), false };
  }
  m_facts = std::move(*facts);
  if (!m_configuration) {
    return OwnAnswer{ kUnavailable, "no configuration yet", true };
  }
  const std::string_view target = request.head.target;
  if (!target.starts_with('/')) {
    return OwnAnswer{ kBadRequest, "the target is not a path", false };
  }
  const auto host = request.head.headers.Find("Host");
  m_route = m_configuration->Match(host.value_or(std::string_view()),
                                   target.substr(0, target.find('?')));
  if (m_route == nullptr || m_route->shares.empty()) {
    return OwnAnswer{ kNotFound, "no route", false };
  }
  if (auto refusal = Identify()) {
    return refusal;
  }
  if (core::RuntimeClock::now() + std::min(m_route->timeout, kUsualLongest) >
      m_state.ends_at) {
    return OwnAnswer{ kUnavailable, "the instance stops", true };
  }
  std::vector<double> weights;
  for (const core::RouteShare& share : m_route->shares) {
    weights.push_back(share.weight);
  }
  std::discrete_distribution<std::size_t> by_weight(weights.begin(),
                                                    weights.end());
  m_service = m_route->shares[by_weight(m_state.random)].service;
  LimitTime();
  return std::nullopt;
}

std::optional<ForwardRun::OwnAnswer>
ForwardRun::Identify()
{
  if (!m_configuration->HasAccounts()) {
    return std::nullopt;
  }
  m_account = m_facts.key ? m_configuration->AccountOf(*m_facts.key) : nullptr;
  if (m_account == nullptr && !m_route->anonymous) {
    return OwnAnswer{ kUnauthorized, "no valid key", false };
  }
  return std::nullopt;
}

void
ForwardRun::LimitTime()
{
  Duration limit = m_route->timeout;
  if (m_facts.time_left) {
    limit = std::min(limit, *m_facts.time_left - kWayBack);
  }
  m_until = m_session->Request().begun + limit;
  m_deadline.Set(std::max(TimeLeft(), Duration(1)));
  m_history.may_repeat = m_route->repeatable;
  m_history.max_targets = m_route->max_targets;
}

asio::awaitable<void>
ForwardRun::Run()
{
  m_state.metrics.Add(Counter::kRequests);
  m_session->OnGone([this] { Stop(); });
  auto refusal = Prepare();
  if (refusal) {
    co_await Give(std::move(*refusal));
    co_return;
  }
  m_state.BudgetOf(m_service).OnRequest(core::RuntimeClock::now());
  co_await Forward();
  m_deadline.Clear();
  m_session->OnGone(nullptr);
  if (m_session->IsGone()) {
    m_state.metrics.Add(Counter::kCallersGone);
    LogEnd("caller_left", 0, m_last_why);
  }
}

asio::awaitable<void>
ForwardRun::Forward()
{
  AttemptEnd last = AttemptEnd::kNotSent;
  for (;;) {
    m_history.has_time = TimeLeft() > kLeastTime;
    const auto target = m_history.has_time ? Choose() : nullptr;
    if (!target) {
      if (m_last_why.empty()) {
        m_last_why = m_history.has_time ? "no target" : "no time left";
      }
      co_await Conclude(core::InsteadOfSending(last, m_history));
      co_return;
    }
    if (!IsBegun(*target)) {
      m_last_target = target->target.id.Text();
      co_await Conclude(NextStep::kRefuse);
      co_return;
    }
    const bool is_repeat = m_history.sends > 0;
    if (is_repeat) {
      const auto now = core::RuntimeClock::now();
      if (!m_state.BudgetOf(m_service).TryRepeat(now)) {
        m_last_why += ", no budget to send again";
        co_await Conclude(core::InsteadOfSending(last, m_history));
        co_return;
      }
      m_state.metrics.Add(m_session->HasStreamBegun() ? Counter::kResumes
                                                      : Counter::kRetries);
    }
    const Ended ended = co_await Attempt(target);
    if (!ended || m_session->IsGone()) {
      co_return;
    }
    last = *ended;
    Count(last);
    const NextStep step = core::AfterAttempt(last, m_history);
    m_state.log.Write(
      LogLine("attempt_ended")
        .Add("request", m_facts.request_id)
        .Add("target", m_last_target)
        .Add("end", NameOf(last))
        .Add("why", m_last_why)
        .Add("again", step == NextStep::kSendAgain ? "yes" : "no"));
    if (step != NextStep::kSendAgain) {
      co_await Conclude(step);
      co_return;
    }
  }
}

void
ForwardRun::Count(AttemptEnd aEnd)
{
  if (aEnd != AttemptEnd::kNotSent) {
    ++m_history.sends;
  }
  if (aEnd != AttemptEnd::kNotSent && aEnd != AttemptEnd::kRefused) {
    ++m_history.may_have_run;
  }
  m_history.has_time = !m_timed_out && TimeLeft() > kLeastTime;
}

asio::awaitable<void>
ForwardRun::Conclude(NextStep aStep)
{
  if (m_session->IsGone()) {
    co_return;
  }
  if (m_session->HasStreamBegun()) {
    LogEnd("stream_cut", 0, m_last_why);
    m_session->Abort();
    co_return;
  }
  if (aStep == NextStep::kPassOn && m_failure) {
    LogEnd("answered", m_failure->status, "the target's own failure");
    WholeAnswer failure = std::move(*m_failure);
    co_await m_session->Answer(std::move(failure));
    co_return;
  }
  OwnAnswer answer;
  answer.why = m_last_why;
  answer.status = kBadGateway;
  if (aStep == NextStep::kRefuse) {
    answer.status = kUnavailable;
    answer.may_come_back = true;
  } else if (aStep == NextStep::kFailTimedOut) {
    answer.status = kGatewayTimeout;
  }
  co_await Give(std::move(answer));
}

asio::awaitable<void>
ForwardRun::Give(OwnAnswer aAnswer)
{
  LogEnd(
    aAnswer.may_come_back ? "refused" : "failed", aAnswer.status, aAnswer.why);
  m_state.metrics.Refuse(aAnswer.may_come_back ? "refused" : "failed",
                         aAnswer.may_come_back);
  WholeAnswer answer;
  answer.status = aAnswer.status;
  answer.headers = m_state.dialect.LinesOfOwnAnswer(m_facts.request_id);
  answer.headers.Add("Content-Type", "text/plain");
  if (aAnswer.may_come_back) {
    std::uniform_int_distribution<std::int64_t> spread(kComeBackFromMs,
                                                       kComeBackToMs);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      m_until == core::Instant{} ? std::chrono::seconds(1) : TimeLeft());
    const auto most = std::max<std::int64_t>(left.count() / kComeBackShare, 1);
    const auto wait = std::min(spread(m_state.random), most);
    std::string seconds = std::to_string(wait / 1000) + ".";
    const std::string digits = std::to_string(wait % 1000);
    seconds.append(3 - digits.size(), '0').append(digits);
    answer.headers.Add("Retry-After", seconds);
  }
  answer.body = std::move(aAnswer.why) + '\n';
  co_await m_session->Answer(std::move(answer));
}

void
ForwardRun::LogEnd(std::string_view aEvent,
                   unsigned aStatus,
                   std::string_view aWhy)
{
  const core::Duration took =
    core::RuntimeClock::now() - m_session->Request().begun;
  LogLine line(aEvent);
  line.Add("request", m_facts.request_id)
    .Add("route", m_route != nullptr ? m_route->name : "-")
    .Add("status", std::uint64_t(aStatus))
    .Add("target", m_last_target)
    .Add("sends", std::uint64_t(m_history.sends))
    .Add("took", took)
    .Add("configuration",
         m_configuration ? m_configuration->Version() : std::uint64_t(0));
  if (!aWhy.empty()) {
    line.Add("why", aWhy);
  }
  m_state.log.Write(line);
}

std::vector<std::shared_ptr<FleetTarget>>
ForwardRun::Candidates() const
{
  const core::Instant now = core::RuntimeClock::now();
  std::vector<std::shared_ptr<FleetTarget>> all;
  std::vector<std::shared_ptr<FleetTarget>> usable;
  for (auto& target : m_state.fleet.Of(m_service)) {
    if (m_tried.contains(target->target.id) || target->is_loading) {
      continue;
    }
    if (target->health.IsUsable(now)) {
      usable.push_back(target);
    }
    all.push_back(std::move(target));
  }
  auto& chosen = usable.empty() ? all : usable;
  if (!m_facts.prompt) {
    return std::move(chosen);
  }
  const auto wanted = m_state.wanted_weights.find(m_facts.prompt->model);
  if (wanted == m_state.wanted_weights.end()) {
    return std::move(chosen);
  }
  std::vector<std::shared_ptr<FleetTarget>> newest;
  for (const auto& target : chosen) {
    const auto version = target->VersionOf(m_facts.prompt->model).value_or(0);
    if (version >= wanted->second.Newest()) {
      newest.push_back(target);
    }
  }
  if (!newest.empty() &&
      static_cast<double>(newest.size()) >=
        kEnoughNewest *
          static_cast<double>(m_state.fleet.Of(m_service).size())) {
    return newest;
  }
  std::erase_if(chosen, [&](const auto& aTarget) {
    return aTarget->VersionOf(m_facts.prompt->model).value_or(0) <
           wanted->second.OldestAllowed(now + kOldWeightsTime);
  });
  return std::move(chosen);
}

bool
ForwardRun::IsBegun(const FleetTarget& aTarget)
{
  if (!m_facts.prompt || m_history.sends > 0 || !m_facts.resume_after.empty()) {
    return true;
  }
  const core::Instant now = core::RuntimeClock::now();
  core::AdmissionInput input;
  input.predicted = m_state.waits[m_route->name].At(aTarget.load.Requests(now));
  input.objective = m_route->objective;
  input.urgency = Urgency();
  input.waiting = aTarget.load.Waiting(now);
  if (core::IsAdmitted(input)) {
    return true;
  }
  m_last_why = "it would be late: " +
               std::to_string(input.predicted->count() / kMicrosOfMs) +
               " ms for an objective of " +
               std::to_string(input.objective.count() / kMicrosOfMs) +
               " ms, urgency " + std::to_string(input.urgency) + ", " +
               std::to_string(std::lround(input.waiting)) + " waiting";
  return false;
}

std::uint32_t
ForwardRun::Urgency() const
{
  return m_account != nullptr ? m_account->urgency.value_or(m_route->urgency)
                              : m_route->urgency;
}

std::shared_ptr<FleetTarget>
ForwardRun::Choose()
{
  const core::Instant now = core::RuntimeClock::now();
  const auto targets = Candidates();
  std::vector<core::PlacementCandidate> candidates;
  candidates.reserve(targets.size());
  for (const auto& target : targets) {
    candidates.push_back(
      { target->name_hash,
        target->load.Requests(now),
        1,
        target->target.data_centre == m_state.options.data_centre });
  }
  const bool has_home = m_facts.prompt && !m_facts.prompt->parts.empty();
  const auto index =
    has_home
      ? core::PlacePrompt(core::PlacementHash(m_facts.prompt->ReturningPart()),
                          candidates)
      : core::PlaceCall(m_state.random(), candidates);
  return index ? targets[*index] : nullptr;
}

TargetCall
ForwardRun::CallFor(const FleetTarget& aTarget) const
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
  // Without a known version nothing is shared: a name of its own.
  call.time_left = std::min(call.time_left, TimeOnWeights(call));
  if (!call.weight_version) {
    call.cache_scope = "alone/" + m_facts.request_id;
    return call;
  }
  core::CacheScope scope{ prompt.model, *call.weight_version, {} };
  if (m_account != nullptr && m_account->dedicated) {
    scope.account = m_account->id;
  }
  call.cache_scope = core::ToText(scope);
  PlaceParts(m_state, prompt, scope, call);
  ReadFromHome(m_state, prompt, aTarget, call);
  return call;
}

asio::awaitable<ForwardRun::Ended>
ForwardRun::Attempt(std::shared_ptr<FleetTarget> aTarget)
{
  m_tried.insert(aTarget->target.id);
  m_last_target = aTarget->target.id.Text();
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
  aTarget->load.OnEnd();
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
    co_return AttemptEnd::kNotSent;
  }
  if (IsOver()) {
    co_return AttemptEnd::kNotSent;
  }
  aExchange.Send(
    TargetMessage(m_state.dialect, m_session->Request(), CallFor(aTarget)));
  SetPatience(aTarget);
  const ReplyPart part = co_await aExchange.ReadHead();
  if (part == ReplyPart::kBroken) {
    co_return EndBroken(aTarget, aExchange);
  }
  NoteReply(aTarget, aExchange.Facts());
  const ReplyFacts& facts = aExchange.Facts();
  const unsigned status = aExchange.Head().status;
  if (facts.not_run) {
    co_return EndRefused(aTarget, facts);
  }
  if (!facts.is_signed || facts.is_encoded || PromisesNotRun(status)) {
    m_last_why = "not a target's answer, status " + std::to_string(status);
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
      m_state.heard_loads.Put({ aTarget.target.id, *aFacts.load, now });
    }
  }
  if (aFacts.weight_version && m_facts.prompt) {
    aTarget.OnVersion(m_facts.prompt->model, *aFacts.weight_version);
  }
}

ForwardRun::Ended
ForwardRun::EndBroken(FleetTarget& aTarget, const TargetExchange& aExchange)
{
  if (m_session->IsGone()) {
    return std::nullopt;
  }
  m_last_why = m_timed_out       ? "the time was up"
               : m_lost_patience ? "the target fell silent"
                                 : aExchange.Why();
  if (!m_timed_out && !m_lost_patience) {
    aTarget.health.OnFailure(core::RuntimeClock::now());
  }
  return AttemptEnd::kBroken;
}

ForwardRun::Ended
ForwardRun::EndRefused(FleetTarget& aTarget, const ReplyFacts& aFacts)
{
  m_last_why = "the target refused it";
  // A target that is just full is well; one that is another, or has other
  // weights than it told, is left alone until the registry says more.
  if (!aFacts.load && !aFacts.weight_version) {
    aTarget.health.OnUnreachable(core::RuntimeClock::now());
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
    m_last_why = "the target failed, status " + std::to_string(answer.status);
    if (m_session->HasStreamBegun() ||
        aTarget.health.FailingShare() > kSuspectShare) {
      m_failure = std::move(answer);
      co_return AttemptEnd::kFailed;
    }
  } else {
    aTarget.health.OnAnswer();
  }
  if (m_session->HasStreamBegun()) {
    m_last_why = "no stream to go on with";
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
    m_last_why = "the stream ended within an event";
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
    // It speaks to others, so it is only busy.
    SetPatience(*m_waits_for);
    return;
  }
  m_lost_patience = true;
  m_waits_for->health.OnUnreachable(core::RuntimeClock::now());
  m_exchange->Close();
}

} // namespace jujubehead::node
