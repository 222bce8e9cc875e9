#include "forward_run.hpp"

#include <algorithm> // for any_of, min, max, clamp
#include <cmath>     // for lround
#include <memory>    // for weak_ptr
#include <utility>   // for move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/use_awaitable.hpp> // for use_awaitable

#include "jujubehead/net/timer.hpp" // for Timer

#include "hedged_send.hpp" // for HedgedSend
#include "retry_after.hpp" // for FormatRetryAfter

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;
using core::AttemptOutcome;
using core::Duration;
using core::NextStep;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

/// Network time of a response to its caller; subtracted from the caller's time.
constexpr Duration kResponseNetworkTime = std::chrono::milliseconds(15);
/// A request with less time left is not sent: no target responds within it.
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(10);
/// Range of `Retry-After`: full targets have capacity again after about this
/// time. Randomized so that refused callers do not return at once.
constexpr std::int64_t kRetryAfterMinMs = 150;
constexpr std::int64_t kRetryAfterMaxMs = 450;
/// The operators' store usually answers a claim of a probe within some
/// milliseconds. One that is granted later is left to the next copy.
constexpr Duration kClaimTimeout = std::chrono::seconds(1);
/// Longest wait for other instances' records of a stream.
constexpr Duration kFindStreamTimeout = std::chrono::milliseconds(400);
/// Sends of suspects with fewer crashes are not logged. One crash makes
/// suspects of all requests at the target.
constexpr std::uint32_t kLoggedCrashCount = 2;
/// Crashes of a part up to which a request that holds it is sent again after
/// its target crashed; the next one would cost another target.
constexpr std::uint32_t kMaxRetriedCrashes = 1;

/// Ends a wait, if it has not ended. Replies of the control thread hold a wait
/// weakly: they may outlive the traffic thread's context, which it needs.
void
Wake(const std::weak_ptr<net::Timer>& aWait)
{
  if (const auto wait = aWait.lock()) {
    wait->cancel();
  }
}

std::string_view
NameOf(AttemptOutcome aEnd)
{
  switch (aEnd) {
    case AttemptOutcome::kNotSent:
      return "not_sent";
    case AttemptOutcome::kRefused:
      return "refused";
    case AttemptOutcome::kBroken:
      return "broken";
    case AttemptOutcome::kFailed:
      return "failed";
    case AttemptOutcome::kTimedOut:
      break;
  }
  return "timed_out";
}

} // namespace

ForwardRun::ForwardRun(ForwardState& aState,
                       std::shared_ptr<CallerSession> aSession)
  : m_state(aState)
  , m_session(std::move(aSession))
  , m_homes({}, {}, aState.options.regions)
  , m_deadline_timer(m_session->Executor(), [this] { OnExpired(); })
  , m_stall_timer(m_session->Executor(), [this] { OnSilenceTimeout(); })
  , m_path_timer(m_session->Executor(), [this] { OnNoResponse(); })
{
  m_state.open_runs.insert(this);
}

ForwardRun::~ForwardRun()
{
  m_state.open_runs.erase(this);
}

Duration
ForwardRun::TimeLeft() const
{
  return m_expires_at - core::RuntimeClock::now();
}

core::RequestFingerprint
ForwardRun::Fingerprint()
{
  if (!m_fingerprint) {
    const CallerRequest& request = m_session->Request();
    core::FingerprintInput input;
    input.account = m_account != nullptr ? m_account->id : core::AccountId();
    input.method = request.head.method;
    input.host = request.head.headers.Find("Host").value_or("");
    input.target = request.head.target;
    input.body = *request.body;
    m_fingerprint = core::FingerprintOf(input);
  }
  return *m_fingerprint;
}

std::vector<ForwardRun::PromptSuspect>
ForwardRun::PartSuspects()
{
  if (!m_metadata.prompt || m_part_fingerprints) {
    return m_part_fingerprints.value_or(std::vector<PromptSuspect>());
  }
  const core::AccountId account =
    m_account != nullptr ? m_account->id : core::AccountId();
  std::vector<PromptSuspect> suspects;
  const auto& parts = m_metadata.prompt->parts;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    suspects.push_back({ core::PartFingerprintOf(account, parts[i].id),
                         static_cast<std::uint32_t>(i + 1) });
  }
  m_part_fingerprints = suspects;
  return suspects;
}

std::vector<ForwardRun::PromptSuspect>
ForwardRun::Suspects()
{
  std::vector<PromptSuspect> suspects = PartSuspects();
  suspects.insert(suspects.begin(), { Fingerprint(), 0 });
  return suspects;
}

bool
ForwardRun::IsQuarantined()
{
  m_quarantined.reset();
  if (m_state.poison.IsEmpty()) {
    return false;
  }
  m_state.DecidePoison();
  for (const PromptSuspect& suspect : Suspects()) {
    const auto until = m_state.poison.QuarantinedUntil(suspect.fingerprint);
    if (!until || (m_probe && m_probe->fingerprint == suspect.fingerprint)) {
      continue;
    }
    m_quarantined = suspect;
    // After its end, it takes a claim and an answer until others are sent.
    m_available_in = std::max(*until - core::RuntimeClock::now(),
                              core::ProbeGrants::kClaimInterval);
    return true;
  }
  m_available_in = Duration(0);
  return false;
}

std::string
ForwardRun::ExplainQuarantine() const
{
  if (m_quarantined->depth == 0) {
    return "request crashes its targets, in quarantine";
  }
  return "part " + m_metadata.prompt->parts[m_quarantined->depth - 1].id +
         " of the prompt crashes its targets, in quarantine; do not retry";
}

asio::awaitable<bool>
ForwardRun::BecomeProbe()
{
  const core::Instant now = core::RuntimeClock::now();
  const core::RequestFingerprint suspect = m_quarantined->fingerprint;
  m_probe = m_state.probes.Take(suspect, now);
  if (m_probe) {
    co_return true;
  }
  const auto next = m_state.poison.NextQuarantine(suspect, now);
  if (!next || Candidates().empty() ||
      !m_state.probes.TryToClaim(suspect, now)) {
    co_return false;
  }
  auto timeout = std::make_shared<net::Timer>(
    m_session->Executor(), std::min(kClaimTimeout, TimeLeft()));
  m_state.claim_probe(*next,
                      [&state = m_state, wake = std::weak_ptr(timeout)](
                        std::optional<core::Quarantine> aBegun) {
                        if (aBegun) {
                          state.OnQuarantineRecorded(*aBegun);
                        }
                        Wake(wake);
                      });
  co_await timeout->async_wait(asio::as_tuple(asio::use_awaitable));
  m_probe = m_state.probes.Take(suspect, core::RuntimeClock::now());
  co_return m_probe.has_value();
}

asio::awaitable<bool>
ForwardRun::FindStream()
{
  if (!m_route->streams || m_metadata.resume_after.empty()) {
    co_return true;
  }
  const core::StreamKey stream = core::StreamKeyOf(m_metadata.resumed_request);
  const bool is_named = !m_metadata.resumed_request.empty();
  if (!is_named && !m_state.sole_versions.contains(m_service)) {
    co_return false;
  }
  if (is_named) {
    m_stream_version =
      m_state.origins.VersionOf(stream, core::RuntimeClock::now());
  }
  if (m_stream_version) {
    co_return true;
  }
  // The control thread knows whether its view of the versions is fresh; this
  // thread's copy may be older after the process stood still.
  const auto timeout = std::make_shared<net::Timer>(
    m_session->Executor(), std::min(kFindStreamTimeout, TimeLeft()));
  const auto found = std::make_shared<std::optional<std::string>>();
  m_state.find_stream(stream,
                      m_service,
                      [wake = std::weak_ptr(timeout),
                       found](std::optional<std::string> aVersion) {
                        *found = std::move(aVersion);
                        Wake(wake);
                      });
  co_await timeout->async_wait(asio::as_tuple(asio::use_awaitable));
  m_stream_version = *found;
  m_state.metrics.Add(m_stream_version ? Counter::kStreamsFound
                                       : Counter::kStreamsUnknown);
  co_return m_stream_version.has_value();
}

std::uint32_t
ForwardRun::CrashCount()
{
  return m_state.poison.IsEmpty() ? 0
                                  : m_state.poison.CrashCount(Fingerprint());
}

void
ForwardRun::LogSuspect(const FleetTarget& aTarget)
{
  const std::uint32_t crash_count = CrashCount();
  if (crash_count < kLoggedCrashCount && !m_probe) {
    return;
  }
  DecisionLog::WriteUnthrottled(
    LogLine("suspect_sent")
      .Add("request", m_metadata.request_id)
      .Add("fingerprint", core::ToText(Fingerprint()))
      .Add("target", aTarget.target.id.View())
      .Add("crashes", std::uint64_t(crash_count))
      .Add("probe", m_probe ? "yes" : "no"));
}

void
ForwardRun::OnCompleted()
{
  if (m_state.poison.IsEmpty()) {
    return;
  }
  const core::Instant now = core::RuntimeClock::now();
  for (const PromptSuspect& suspect : Suspects()) {
    if (m_state.poison.NeedsCompletion(suspect.fingerprint, now)) {
      m_state.OnPoisonReport(core::CompletionReport{ suspect.fingerprint, now },
                             true);
    }
  }
}

bool
ForwardRun::HoldsCrashingPart()
{
  const auto suspects = PartSuspects();
  return std::any_of(
    suspects.begin(), suspects.end(), [&](const PromptSuspect& aPart) {
      return m_state.poison.UnexplainedCrashes(aPart.fingerprint) >
             kMaxRetriedCrashes;
    });
}

void
ForwardRun::CancelExchange()
{
  if (m_exchange != nullptr) {
    m_exchange->Close();
  }
  if (m_hedge) {
    m_hedge->exchange.Close();
  }
}

void
ForwardRun::OnExpired()
{
  m_timed_out = true;
  CancelExchange();
  if (m_crash_check && m_state.IsStopping()) {
    m_crash_check->Cancel();
  }
}

std::optional<ForwardRun::LocalReply>
ForwardRun::Prepare()
{
  m_configuration = m_state.configuration;
  const CallerRequest& request = m_session->Request();
  auto metadata = m_state.header_codec.ParseCallerHeaders(request.head.headers);
  if (metadata.has_error()) {
    return LocalReply{ kBadRequest, core::Render(metadata.error()), false };
  }
  m_metadata = std::move(*metadata);
  if (!m_configuration) {
    return LocalReply{ kUnavailable, "configuration not loaded yet", true };
  }
  const std::string_view target = request.head.target;
  if (!target.starts_with('/')) {
    return LocalReply{ kBadRequest, "request target is not a path", false };
  }
  const auto host = request.head.headers.Find("Host");
  m_route = m_configuration->Match(host.value_or(std::string_view()),
                                   target.substr(0, target.find('?')));
  if (m_route == nullptr || m_route->shares.empty()) {
    return LocalReply{ kNotFound, "no matching route", false };
  }
  if (auto refusal = Identify()) {
    return refusal;
  }
  m_homes = core::Homes(m_route->homes,
                        m_account != nullptr ? m_account->homes
                                             : std::vector<core::RegionId>(),
                        m_state.options.regions);
  if (!MayBeSent()) {
    return LocalReply{ kUnavailable, std::string(kShuttingDown), true };
  }
  std::vector<double> weights;
  for (const core::RouteShare& share : m_route->shares) {
    weights.push_back(share.weight);
  }
  std::discrete_distribution<std::size_t> by_weight(weights.begin(),
                                                    weights.end());
  m_service = m_route->shares[by_weight(m_state.random)].service;
  SetTimeLimit();
  return std::nullopt;
}

std::optional<ForwardRun::LocalReply>
ForwardRun::Identify()
{
  if (!m_configuration->HasAccounts()) {
    return std::nullopt;
  }
  m_account =
    m_metadata.key ? m_configuration->AccountOf(*m_metadata.key) : nullptr;
  if (m_account == nullptr && !m_route->anonymous) {
    return LocalReply{ kUnauthorized, "missing or unknown API key", false };
  }
  return std::nullopt;
}

Duration
ForwardRun::TimeLimit() const
{
  return m_metadata.time_left
           ? std::min(m_route->timeout,
                      *m_metadata.time_left - kResponseNetworkTime)
           : m_route->timeout;
}

void
ForwardRun::SetTimeLimit()
{
  m_expires_at = std::min(m_session->Request().received_at + TimeLimit(),
                          m_state.stop.AnswersUntil());
  m_deadline_timer.Set(std::max(TimeLeft(), Duration(1)));
  m_history.is_repeatable = m_route->repeatable;
  m_history.max_targets = m_route->max_targets;
}

asio::awaitable<void>
ForwardRun::Run()
{
  m_state.metrics.Add(Counter::kRequests);
  m_session->OnDisconnect([this] { CancelExchange(); });
  auto refusal = Prepare();
  if (refusal) {
    co_await SendLocalReply(std::move(*refusal));
    co_return;
  }
  m_state.BudgetOf(m_service).OnRequest(core::RuntimeClock::now());
  if (m_state.options.hedge_share > 0) {
    m_state.HedgesOf(m_service).OnRequest();
  }
  const bool is_known = co_await FindStream();
  if (is_known) {
    co_await Forward();
  } else if (!m_session->IsDisconnected()) {
    m_last_error = "the software version that began the stream is not known";
    co_await Finish(NextStep::kRefuse);
  }
  CountUnanswered();
  // Refused ones say nothing of how long a request takes.
  if (m_was_answered || m_timed_out) {
    RecordDuration();
  }
  if (m_probe) { // It was not sent.
    m_state.probes.Put(*m_probe);
  }
  m_deadline_timer.Clear();
  m_session->OnDisconnect(nullptr);
  if (m_session->IsDisconnected()) {
    m_state.metrics.Add(Counter::kCallersGone);
    LogEnd("caller_left", 0, m_last_error);
  }
}

asio::awaitable<void>
ForwardRun::Forward()
{
  AttemptOutcome last = AttemptOutcome::kNotSent;
  for (;;) {
    const std::optional<NextStep> next = co_await SendOnce(last);
    if (!next) {
      co_return;
    }
    bool goes_on = *next == NextStep::kRetry;
    if (!goes_on) {
      goes_on = co_await AwaitAnotherTarget();
    }
    if (!goes_on) {
      co_await Finish(*next);
      co_return;
    }
  }
}

asio::awaitable<std::optional<NextStep>>
ForwardRun::SendOnce(AttemptOutcome& aLast)
{
  if (IsQuarantined()) {
    const bool is_probe = m_history.sends == 0 && co_await BecomeProbe();
    if (!is_probe || IsQuarantined()) {
      m_last_error = ExplainQuarantine();
      co_return core::StepWithoutRetry(aLast, m_history);
    }
  }
  if (!MayBeSent()) {
    m_last_error = kShuttingDown;
    co_return core::StepWithoutRetry(aLast, m_history);
  }
  m_history.has_time = TimeLeft() > kMinTimeLeft;
  const auto target = m_history.has_time ? ChooseTarget() : nullptr;
  if (!target) {
    ExplainNoTarget();
    co_return core::StepWithoutRetry(aLast, m_history);
  }
  if (!IsWorthSending(*target)) {
    m_last_target = target->target.id.Text();
    co_return NextStep::kRefuse;
  }
  const bool is_repeat = m_history.sends > 0;
  if (is_repeat) {
    if (!TakeRetry()) {
      m_last_error += ", retry budget exhausted";
      co_return core::StepWithoutRetry(aLast, m_history);
    }
    m_state.metrics.Add(m_session->HasStreamBegun() ? Counter::kResumes
                                                    : Counter::kRetries);
  }
  const auto now = core::RuntimeClock::now();
  if (!target->limit.TryToSend(m_state.RankOf(*target, now), now)) {
    m_last_error = "limit of the target is used up";
    co_return core::StepWithoutRetry(aLast, m_history);
  }
  const AttemptFailure ended = co_await Attempt(target);
  if (!ended || m_session->IsDisconnected()) {
    co_return std::nullopt;
  }
  aLast = *ended;
  RecordAttempt(aLast, target->target.id);
  const bool may_crash_more = m_target_crashed && HoldsCrashingPart();
  const NextStep step = may_crash_more
                          ? core::StepWithoutRetry(aLast, m_history)
                          : core::StepAfterAttempt(aLast, m_history);
  LogAttempt(aLast, step == NextStep::kRetry);
  co_return step;
}

bool
ForwardRun::TakeRetry()
{
  return std::exchange(m_has_retry, false) ||
         m_state.BudgetOf(m_service).TryToRetry(core::RuntimeClock::now());
}

void
ForwardRun::LogAttempt(AttemptOutcome aEnd, bool aIsRetried)
{
  LogLine line("attempt_ended");
  line.Add("request", m_metadata.request_id)
    .Add("target", m_last_target)
    .Add("end", NameOf(aEnd))
    .Add("why", m_last_error)
    .Add("again", aIsRetried ? "yes" : "no");
  if (aEnd == AttemptOutcome::kBroken) {
    line.Add("fingerprint", core::ToText(Fingerprint()))
      .Add("target_crashed", m_target_crashed ? "yes" : "no");
    AddParts(line);
  }
  if (m_stall_timed_out) {
    line.Add("silence", m_silence).Add("delay", m_stall_delay);
  }
  if (m_requested_backoff) {
    line.Add("backoff", *m_requested_backoff);
  }
  AddWeights(line);
  Log().Write(line);
}

DecisionLog&
ForwardRun::Log() const
{
  const bool is_at_risk = m_session->HasStreamBegun() && !m_was_answered &&
                          !m_session->IsDisconnected();
  return is_at_risk ? m_state.stream_log : m_state.log;
}

void
ForwardRun::AddParts(LogLine& aLine) const
{
  if (!m_metadata.prompt) {
    return;
  }
  std::string ids;
  for (const core::PromptPart& part : m_metadata.prompt->parts) {
    ids += (ids.empty() ? "" : ",") + part.id;
  }
  aLine.Add("parts", ids);
}

void
ForwardRun::CountUnanswered()
{
  if (m_sent_count < 2) {
    return;
  }
  const core::Instant now = core::RuntimeClock::now();
  for (const core::TargetId& target : m_unanswered) {
    m_state.BudgetOf(m_service).OnUnanswered(target, now);
  }
  m_unanswered.clear();
}

void
ForwardRun::RecordAttempt(AttemptOutcome aEnd, const core::TargetId& aTarget)
{
  if (aEnd != AttemptOutcome::kNotSent) {
    ++m_history.sends;
  }
  if (aEnd != AttemptOutcome::kNotSent && aEnd != AttemptOutcome::kRefused) {
    ++m_history.may_have_run;
    m_may_have_run_at.insert(aTarget);
  }
  m_history.has_time = !m_timed_out && TimeLeft() > kMinTimeLeft;
}

asio::awaitable<void>
ForwardRun::Finish(NextStep aStep)
{
  if (m_session->IsDisconnected()) {
    co_return;
  }
  if (m_session->HasStreamBegun()) {
    m_state.metrics.Add(Counter::kStreamsCut);
    LogEnd("stream_cut", 0, m_last_error);
    m_session->Abort();
    co_return;
  }
  if (aStep == NextStep::kForwardError && m_target_failure) {
    LogEnd(
      "answered", m_target_failure->status, "target returned a server error");
    FullResponse failure = std::move(*m_target_failure);
    co_await SendResponse(std::move(failure));
    co_return;
  }
  LocalReply reply;
  reply.message = m_last_error;
  reply.status = kBadGateway;
  if (aStep == NextStep::kRefuse) {
    reply.status = kUnavailable;
    reply.is_retryable = true;
  } else if (aStep == NextStep::kFailTimedOut) {
    reply.status = kGatewayTimeout;
  }
  co_await SendLocalReply(std::move(reply));
}

asio::awaitable<void>
ForwardRun::SendLocalReply(LocalReply aReply)
{
  LogEnd(
    aReply.is_retryable ? "refused" : "failed", aReply.status, aReply.message);
  m_state.metrics.Refuse(aReply.is_retryable ? "refused" : "failed",
                         aReply.is_retryable);
  FullResponse response;
  response.status = aReply.status;
  response.headers =
    m_state.header_codec.LocalReplyHeaders(m_metadata.request_id);
  response.headers.Add("Content-Type", "text/plain");
  // Requests with a part that crashes targets are refused for as long as they
  // come.
  const bool is_final = m_quarantined && m_quarantined->depth > 0;
  if (aReply.is_retryable && m_state.options.hedge_share > 0) {
    m_state.HedgesOf(m_service).OnRefusal(core::RuntimeClock::now());
  }
  if (aReply.is_retryable && !is_final) {
    std::uniform_int_distribution<std::int64_t> spread(kRetryAfterMinMs,
                                                       kRetryAfterMaxMs);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      m_expires_at == core::Instant{} ? std::chrono::seconds(1) : TimeLeft());
    const auto most =
      std::max<std::int64_t>(left.count() / kRetryAfterDivisor, 1);
    const auto available_in =
      std::chrono::duration_cast<std::chrono::milliseconds>(m_available_in);
    // A quarantine outlasts what callers usually wait; to come back before its
    // end is in vain.
    const bool is_exact = m_quarantined || m_is_return_scheduled;
    const auto wait =
      is_exact ? available_in.count()
               : std::min(available_in.count() + spread(m_state.random), most);
    response.headers.Add("Retry-After",
                         FormatRetryAfter(std::chrono::milliseconds(wait)));
  }
  response.body = std::move(aReply.message) + '\n';
  co_await SendResponse(std::move(response));
}

asio::awaitable<bool>
ForwardRun::SendResponse(FullResponse aResponse,
                         core::MemoryBudget::Reservation* aHeld)
{
  m_is_responding = true;
  co_return co_await m_session->SendResponse(std::move(aResponse), aHeld);
}

void
ForwardRun::LogEnd(std::string_view aEvent,
                   unsigned aStatus,
                   std::string_view aDetail)
{
  const core::Duration took =
    core::RuntimeClock::now() - m_session->Request().received_at;
  LogLine line(aEvent);
  line.Add("request", m_metadata.request_id)
    .Add("route", m_route != nullptr ? m_route->name : "-")
    .Add("status", std::uint64_t(aStatus))
    .Add("target", m_last_target)
    .Add("sends", std::uint64_t(m_history.sends))
    .Add("took", took)
    .Add("configuration",
         m_configuration ? m_configuration->Version() : std::uint64_t(0));
  if (!m_last_peer.empty()) {
    line.Add("through", m_last_peer);
  }
  if (m_stream_version && !m_stream_version->empty()) {
    line.Add("version", *m_stream_version);
  }
  AddWeights(line);
  AddPlacement(line);
  if (!aDetail.empty()) {
    line.Add("why", aDetail);
  }
  Log().Write(line);
}

void
ForwardRun::AddWeights(LogLine& aLine) const
{
  if (m_last_weights) {
    aLine.Add("weights", *m_last_weights);
  }
}

void
ForwardRun::AddPlacement(LogLine& aLine) const
{
  if (!m_metadata.prompt || m_sent_at == core::Instant{}) {
    return;
  }
  aLine.Add("load", std::uint64_t(std::lround(m_load_at_send)))
    .Add("prompt", m_metadata.prompt->tokens)
    .Add("transferred", m_planned.transferred)
    .Add("anew", m_planned.recomputed)
    .Add("passed_over", m_planned.skipped)
    .Add("kept", m_planned.to_store)
    .Add("link_wait", m_planned.link_wait);
  if (m_is_cold_send) {
    aLine.Add("cold", "yes");
  }
  if (m_first_event_at > m_sent_at) {
    aLine.Add("first_token", m_first_event_at - m_sent_at);
  }
}

} // namespace jujubehead::node
