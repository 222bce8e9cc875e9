#include "forward_run.hpp"

#include <algorithm> // for max, min
#include <utility>   // for move

#include "jujubehead/net/timer.hpp" // for Sleep

#include "target_message.hpp" // for FormatTargetHeader
#include "transfer_plan.hpp"  // for PlanTransfers

// One attempt of a request at one target: the call and its reply. Silence of
// the target is in silent_target.cpp; routing, retries and the final response
// are in forward_run.cpp.

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;
using core::AttemptOutcome;
using core::Duration;

constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kTooMany = 429;
constexpr unsigned kServerError = 500;
constexpr unsigned kUnavailable = 503;

/// Longest idle time of a connection reused for requests that must not run
/// twice: the target's own idle time-out is seconds away by then.
constexpr Duration kMaxIdleNonRepeatable = std::chrono::milliseconds(500);
constexpr Duration kMaxIdleRepeatable = std::chrono::seconds(60);
/// Share of failed replies above which a failure is blamed on the target and
/// retried elsewhere. Below it the request itself is the likely cause, and
/// would fail again: services usually fail one request in seven.
constexpr double kSuspectFailureShare = 0.3;

/// A longer failure response is not kept while another target is tried.
constexpr std::size_t kMaxKeptFailure = 64UL * 1024;

/// Interval of the reports of a target's limit, unless it changes: a fraction
/// of the time after which a limit counts as unconfirmed.
constexpr Duration kLimitReportInterval = std::chrono::seconds(1);
/// Interval of the reports whether a service is brittle.
constexpr Duration kBrittleReportInterval = std::chrono::seconds(1);

/// Time in which the kernel closes all sockets of a process that ends.
constexpr Duration kCrashSettleTime = std::chrono::milliseconds(5);

bool
ImpliesNotRun(unsigned aStatus)
{
  return aStatus == kRequestTimeout || aStatus == kMisdirected ||
         aStatus == kTooMany || aStatus == kUnavailable;
}

/// @return whether a target refused a request and requested backoff.
bool
IsPushback(unsigned aStatus, const ReplyMetadata& aMetadata)
{
  return aStatus == kUnavailable && aMetadata.retry_after.has_value();
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
ForwardRun::BuildCall(const FleetTarget& aTarget)
{
  TargetCall call;
  call.target = aTarget.target.id;
  if (m_account != nullptr) {
    call.account = m_account->id;
  }
  call.time_left = TimeLeft();
  call.resume_after =
    m_cutter.LastId().empty() ? m_metadata.resume_after : m_cutter.LastId();
  if (!m_metadata.prompt) {
    return call;
  }
  call.urgency = Urgency();
  const core::Prompt& prompt = *m_metadata.prompt;
  call.weight_version = aTarget.VersionOf(prompt.model);
  // Without a known weight version, a unique scope prevents sharing.
  call.time_left = std::min(call.time_left, TimeUntilWeightsExpire(call));
  if (!call.weight_version) {
    call.cache_scope = "alone/" + m_metadata.request_id;
    return call;
  }
  const core::CacheScope scope = ScopeFor(*call.weight_version);
  call.cache_scope = core::ToText(scope);
  m_planned = PlanTransfers(
    m_state, prompt, scope, aTarget, m_homes, m_route->objective, call);
  m_state.metrics.Add(Counter::kImportedTokens, m_planned.transferred);
  m_state.metrics.Add(Counter::kRecomputedTokens, m_planned.recomputed);
  m_state.metrics.Add(Counter::kPassedOverTokens, m_planned.skipped);
  ReadFromHomeTarget(m_state, prompt, aTarget, m_homes, call);
  return call;
}

asio::awaitable<ForwardRun::AttemptFailure>
ForwardRun::Attempt(std::shared_ptr<FleetTarget> aTarget)
{
  m_tried_targets.insert(aTarget->target.id);
  m_last_target = aTarget->target.id.Text();
  m_last_weights.reset();
  m_last_peer.clear();
  TargetExchange exchange(m_session->Executor(),
                          m_state.header_codec,
                          m_state.connector,
                          m_state.memory,
                          aTarget,
                          m_homes,
                          OptionsOfExchange());
  m_exchange = &exchange;
  m_awaited_target = aTarget;
  m_stall_timed_out = false;
  m_target_crashed = false;
  m_has_ended_first_send = false;
  m_requested_backoff.reset();
  m_load_at_send = aTarget->load.Requests(core::RuntimeClock::now());
  m_sent_at = core::RuntimeClock::now();
  aTarget->load.OnBegin();
  aTarget->concurrency.OnBegin(Tokens());
  aTarget->health.OnSend(core::RuntimeClock::now());
  const AttemptFailure failure = co_await Exchange(*aTarget, exchange);
  if (!m_has_ended_first_send) {
    EndSend(*aTarget, exchange, m_sent_at);
  }
  aTarget->active_streams -= m_is_streaming ? 1 : 0;
  m_is_streaming = false;
  m_exchange = nullptr;
  m_hedge.reset();
  m_awaited_target = nullptr;
  m_stall_timer.Clear();
  m_path_timer.Clear();
  if (failure && m_timed_out && *failure == AttemptOutcome::kBroken) {
    co_return AttemptOutcome::kTimedOut;
  }
  co_return failure;
}

ExchangeOptions
ForwardRun::OptionsOfExchange() const
{
  ExchangeOptions options;
  options.request_id = m_metadata.request_id;
  options.is_head_request = m_session->Request().head.method == "HEAD";
  options.max_idle =
    m_route->repeatable ? kMaxIdleRepeatable : kMaxIdleNonRepeatable;
  options.is_repeatable = m_route->repeatable;
  return options;
}

void
ForwardRun::EndSend(FleetTarget& aTarget,
                    const TargetExchange& aExchange,
                    core::Instant aSentAt)
{
  aTarget.load.OnEnd(core::RuntimeClock::now() - aSentAt);
  ReleaseShare(aTarget, aExchange);
  if (aTarget.is_stopped) {
    m_state.OnStoppedDataCentreProgress(aTarget.target.data_centre);
  }
}

void
ForwardRun::ReleaseShare(FleetTarget& aTarget, const TargetExchange& aExchange)
{
  if (aExchange.IsOver() || m_target_crashed) {
    aTarget.concurrency.OnEnd(Tokens());
    return;
  }
  // A target that did not respond may get to the request later.
  const core::Instant now = core::RuntimeClock::now();
  const core::Instant begun = m_stall_timed_out ? m_expires_at : now;
  aTarget.concurrency.OnAbandoned(
    Tokens(), begun + core::BrittleSignal::kMaxLinger, now);
}

asio::awaitable<ForwardRun::AttemptFailure>
ForwardRun::Exchange(FleetTarget& aTarget, TargetExchange& aExchange)
{
  const bool open = co_await aExchange.Open();
  if (!open) {
    m_last_error = aExchange.Error();
    if (!IsCancelled()) {
      aTarget.health.OnUnreachable(core::RuntimeClock::now());
    }
    if (aExchange.WasConnectionRefused()) {
      m_state.BudgetOf(m_service).OnGone(aTarget.target.id);
      PublishGone(aTarget);
    }
    co_return AttemptOutcome::kNotSent;
  }
  if (IsCancelled()) {
    co_return AttemptOutcome::kNotSent;
  }
  // What is known may have changed while the connection was opened.
  if (!StillAccepts(aTarget) || !IsOfStream(aTarget)) {
    m_last_error = "target no longer takes requests";
    co_return AttemptOutcome::kNotSent;
  }
  if (!MayBeSent()) {
    m_last_error = "a stop was requested meanwhile";
    co_return AttemptOutcome::kNotSent;
  }
  if (IsQuarantined()) {
    m_last_error = "request was quarantined meanwhile";
    co_return AttemptOutcome::kNotSent;
  }
  m_last_peer = aExchange.Peer();
  const TargetCall call = BuildCall(aTarget);
  m_last_weights = call.weight_version;
  m_sent_version = aTarget.target.software_version;
  LogSuspect(aTarget);
  m_probe.reset(); // From here on it may crash the target.
  const CallerRequest& request = m_session->Request();
  aExchange.Send(FormatTargetHeader(m_state.header_codec, request, call),
                 request.body);
  ++m_sent_count;
  CountUnanswered();
  StartStallTimer(aTarget);
  if (m_last_peer.empty()) {
    StartPathTimer();
  }
  StartHedgeTimer();
  const ReadResult result = co_await aExchange.ReadHead();
  m_path_timer.Clear();
  m_hedge_timer.reset();
  const bool is_broken = result == ReadResult::kBroken;
  AttemptFailure failure;
  if (is_broken && !WasFirstSendCancelled()) {
    if (m_stall_timed_out || IsCancelled()) {
      m_unanswered.push_back(aTarget.target.id);
    }
    failure = co_await OnBrokenReply(aTarget, aExchange);
  }
  const bool has_response = !is_broken && IsResponse(aExchange);
  if (co_await HasHedgeWon(has_response)) {
    if (!is_broken) {
      RecordReply(aTarget, aExchange.Head().status, aExchange.Metadata());
    }
    co_return co_await RelayHedge(aTarget, aExchange);
  }
  if (is_broken) {
    co_return failure;
  }
  co_return co_await RelayReply(aTarget, aExchange, result);
}

bool
ForwardRun::IsResponse(const TargetExchange& aExchange)
{
  const ReplyMetadata& metadata = aExchange.Metadata();
  return !metadata.not_run && metadata.is_signed && !metadata.is_encoded &&
         !ImpliesNotRun(aExchange.Head().status);
}

asio::awaitable<ForwardRun::AttemptFailure>
ForwardRun::RelayReply(FleetTarget& aTarget,
                       TargetExchange& aExchange,
                       ReadResult aResult)
{
  const ReplyMetadata& metadata = aExchange.Metadata();
  const unsigned status = aExchange.Head().status;
  RecordReply(aTarget, status, metadata);
  if (metadata.not_run) {
    co_return OnRefusal(aTarget, status, metadata);
  }
  RecordLatency();
  if (!IsResponse(aExchange)) {
    m_last_error =
      "reply is not from the target, status " + std::to_string(status);
    if (!IsPushback(status, metadata)) {
      aTarget.health.OnFailure(core::RuntimeClock::now());
    }
    co_return AttemptOutcome::kBroken;
  }
  if (IsSuccess(status) && m_route->streams &&
      IsEventStream(aExchange.Head())) {
    co_return co_await RelayStream(aTarget, aExchange, aResult);
  }
  co_return co_await RelayBuffered(aTarget, aExchange, aResult);
}

void
ForwardRun::RecordLatency()
{
  if (m_state.options.hedge_share > 0) {
    m_state.HedgesOf(m_service).OnFirstResponse(
      m_route->name, core::RuntimeClock::now() - m_sent_at);
  }
}

void
ForwardRun::RecordReply(FleetTarget& aTarget,
                        unsigned aStatus,
                        const ReplyMetadata& aMetadata)
{
  const core::Instant now = core::RuntimeClock::now();
  aTarget.last_response_at = now;
  aTarget.has_crashed = false;
  if (m_last_peer.empty()) {
    m_state.connector.OnDirectResponse(now);
  }
  m_state.BudgetOf(m_service).OnResponse(aTarget.target.id, m_sent_at, now);
  if (aMetadata.load) {
    aTarget.reported_slots = aMetadata.load->slots;
    aTarget.load.OnReport(*aMetadata.load, now);
    if (m_state.shares_loads) {
      m_state.pending_load_reports.Put(
        { core::KeyOf(aTarget.target.id), *aMetadata.load, now });
    }
  }
  if (aMetadata.weight_version && m_metadata.prompt) {
    aTarget.OnVersion(m_metadata.prompt->model, *aMetadata.weight_version);
  }
  if (aStatus != kMisdirected) {
    RecordLimit(aTarget, aMetadata);
    RecordBrittleness(aTarget, aMetadata);
  }
  if (aMetadata.is_draining) {
    OnDraining(aTarget);
  }
  if (IsPushback(aStatus, aMetadata)) {
    OnPushback(aTarget, *aMetadata.retry_after);
  }
}

void
ForwardRun::RecordLimit(FleetTarget& aTarget, const ReplyMetadata& aMetadata)
{
  const core::Instant now = core::RuntimeClock::now();
  const bool has_changed =
    aTarget.limit.OnReply(aMetadata.limit, m_sent_at, now);
  const bool is_due = now - aTarget.limit_reported_at >= kLimitReportInterval;
  if (has_changed || (is_due && aTarget.limit.IsWorthReporting(now))) {
    aTarget.limit_reported_at = now;
    m_state.on_signal_report(
      core::LimitReport(aTarget.target.id, aTarget.limit.PerSecond(), now));
  }
  if (!has_changed) {
    return;
  }
  LogLine line(aMetadata.limit ? "target_limited" : "target_limit_ended");
  line.Add("request", m_metadata.request_id)
    .Add("target", aTarget.target.id.View());
  if (aMetadata.limit) {
    const std::size_t rank = m_state.RankOf(aTarget, now);
    line.Add("per_second", std::to_string(*aMetadata.limit))
      .Add("holders", std::uint64_t(aTarget.limit.Holders()))
      .Add("holds", aTarget.limit.IsHeld(rank, now) ? "yes" : "no");
  }
  DecisionLog::WriteUnthrottled(line);
}

void
ForwardRun::RecordBrittleness(FleetTarget& aTarget,
                              const ReplyMetadata& aMetadata)
{
  // A bare rejection says nothing of the target's state.
  if (!aMetadata.max_rejections && !aMetadata.is_signed && !aMetadata.load) {
    return;
  }
  const core::Instant now = core::RuntimeClock::now();
  const bool has_changed = m_state.BrittleOf(m_service).OnReply(
    aMetadata.max_rejections, m_sent_at, now);
  ReportBrittleness(has_changed);
  if (!has_changed) {
    return;
  }
  LogLine line(aMetadata.max_rejections ? "service_brittle"
                                        : "service_brittle_ended");
  line.Add("request", m_metadata.request_id).Add("service", m_service.View());
  if (aMetadata.max_rejections) {
    const core::TargetCapacity capacity = m_state.CapacityOf(aTarget);
    const core::ServiceConcurrency own = ConcurrencyAt(Acceptable());
    line.Add("max_rejections", std::uint64_t(*aMetadata.max_rejections))
      .Add("holders",
           std::uint64_t(
             core::ConcurrencyShare::Holders(capacity, m_state.holders.Size())))
      .Add("own_slots", std::uint64_t(own.slots));
  }
  DecisionLog::WriteUnthrottled(line);
}

void
ForwardRun::ReportBrittleness(bool aHasChanged)
{
  const core::BrittleSignal& signal = m_state.BrittleOf(m_service);
  core::Instant& reported_at = m_state.brittle_reported_at[m_service];
  const core::Instant now = core::RuntimeClock::now();
  const bool is_due =
    signal.IsBrittle() && now - reported_at >= kBrittleReportInterval;
  if (aHasChanged || is_due) {
    reported_at = now;
    m_state.on_signal_report(
      core::BrittleReport(m_service, signal.MaxRejections(), m_sent_at));
  }
}

void
ForwardRun::OnDraining(FleetTarget& aTarget)
{
  m_state.metrics.Add(Counter::kDrainingReplies);
  if (!aTarget.OnDraining(core::RuntimeClock::now())) {
    return;
  }
  DecisionLog::WriteUnthrottled(
    LogLine("target_draining")
      .Add("request", m_metadata.request_id)
      .Add("target", aTarget.target.id.View())
      .Add("registered", aTarget.is_gone ? "leaving" : "ready"));
}

void
ForwardRun::OnPushback(FleetTarget& aTarget, Duration aTime)
{
  const core::Instant now = core::RuntimeClock::now();
  m_requested_backoff = aTime;
  m_state.metrics.Add(Counter::kPushbacks);
  const bool was_active = aTarget.backoff.IsActive(now);
  aTarget.backoff.OnRequested(now, aTime);
  if (!was_active) {
    DecisionLog::WriteUnthrottled(
      LogLine("target_backoff")
        .Add("request", m_metadata.request_id)
        .Add("target", aTarget.target.id.View())
        .Add("lasts", aTarget.backoff.Until() - now));
  }
}

void
ForwardRun::PublishGone(const FleetTarget& aTarget)
{
  if (m_state.shares_loads) {
    m_state.pending_load_reports.Put(
      core::GoneTargetReport(aTarget.target.id, core::RuntimeClock::now()));
  }
}

asio::awaitable<ForwardRun::AttemptFailure>
ForwardRun::OnBrokenReply(FleetTarget& aTarget, const TargetExchange& aExchange)
{
  if (m_session->IsDisconnected()) {
    co_return std::nullopt;
  }
  m_last_error = m_timed_out         ? ExpiryReason()
                 : m_stall_timed_out ? "target stopped responding"
                                     : aExchange.Error();
  if (!m_timed_out && !m_stall_timed_out) {
    if (m_last_peer.empty()) {
      aTarget.health.OnFailure(core::RuntimeClock::now());
    }
    m_state.metrics.Add(Counter::kBrokenReplies);
    const core::Instant broke_at = core::RuntimeClock::now();
    m_target_crashed = co_await HasCrashed(aTarget);
    if (m_target_crashed) {
      m_crashed_in.insert(aTarget.target.data_centre);
      ReportCrash(aTarget, broke_at);
    }
  }
  co_return AttemptOutcome::kBroken;
}

void
ForwardRun::ReportCrash(const FleetTarget& aTarget, core::Instant aBrokeAt)
{
  core::CrashReport report;
  report.target = core::KeyOf(aTarget.target.id);
  report.data_centre = core::KeyOf(aTarget.target.data_centre);
  report.sent = m_sent_at;
  report.crashed = aBrokeAt;
  for (const PromptSuspect& suspect : Suspects()) {
    report.fingerprint = suspect.fingerprint;
    report.depth = suspect.depth;
    m_state.OnPoisonReport(report, true);
  }
}

asio::awaitable<bool>
ForwardRun::HasCrashed(FleetTarget& aTarget)
{
  if (aTarget.has_crashed || aTarget.IsLeaving()) {
    co_return aTarget.has_crashed;
  }
  bool is_refused = false;
  // A process that is ending may still accept a connection, once.
  for (int i = 0; i < 2 && !is_refused; ++i) {
    m_crash_check =
      m_state.connector.Begin(m_session->Executor(), m_awaited_target, m_homes);
    const auto attempt = m_crash_check;
    const TargetConnection opened = co_await attempt->Wait();
    m_crash_check = nullptr;
    is_refused = opened.is_refused;
    if (!opened.connection) {
      break;
    }
    co_await net::Sleep(kCrashSettleTime);
    const bool is_open = opened.connection->IsAtRest();
    if (is_open && opened.peer.empty()) {
      aTarget.PutIdleConnection(opened.connection);
    } else {
      opened.connection->Close();
    }
    if (is_open) {
      co_return false;
    }
  }
  if (is_refused && aTarget.OnCrashed(core::RuntimeClock::now())) {
    m_state.BudgetOf(m_service).OnGone(aTarget.target.id);
    PublishGone(aTarget);
    m_state.metrics.Add(Counter::kTargetCrashes);
    DecisionLog::WriteUnthrottled(
      LogLine("target_crashed").Add("target", aTarget.target.id.View()));
  }
  co_return aTarget.has_crashed;
}

ForwardRun::AttemptFailure
ForwardRun::OnRefusal(FleetTarget& aTarget,
                      unsigned aStatus,
                      const ReplyMetadata& aMetadata)
{
  m_last_error = "target refused the request";
  m_state.metrics.Add(Counter::kTargetRefusals);
  // A target that is full or requested backoff is healthy: its backoff lasts as
  // long as it asked, and no ejection makes it longer. One that is a different
  // target or has different weights is not used until its state is known again.
  const bool is_known = aMetadata.load || aMetadata.weight_version ||
                        IsPushback(aStatus, aMetadata);
  if (!is_known) {
    aTarget.health.OnUnreachable(core::RuntimeClock::now());
    if (aStatus == kMisdirected) {
      PublishGone(aTarget);
    }
  } else {
    aTarget.health.OnAnswer();
  }
  if (aStatus == kUnavailable && !IsPushback(aStatus, aMetadata)) {
    aTarget.concurrency.OnRejected(core::RuntimeClock::now());
  }
  return AttemptOutcome::kRefused;
}

asio::awaitable<ForwardRun::AttemptFailure>
ForwardRun::RelayBuffered(FleetTarget& aTarget,
                          TargetExchange& aExchange,
                          ReadResult aResult)
{
  while (aResult == ReadResult::kMore) {
    aResult = co_await aExchange.ReadBody();
  }
  if (aResult == ReadResult::kBroken) {
    co_return co_await OnBrokenReply(aTarget, aExchange);
  }
  m_stall_timer.Clear();
  FullResponse response;
  response.status = aExchange.Head().status;
  response.reason = aExchange.Head().reason;
  response.headers =
    HeadersForCaller(m_state.header_codec, aExchange.Head().headers);
  response.body = std::move(aExchange.Body());
  if (response.status >= kServerError) {
    aTarget.health.OnFailure(core::RuntimeClock::now());
    m_last_error = "target returned status " + std::to_string(response.status);
    if (m_session->HasStreamBegun() ||
        aTarget.health.FailureRate() > kSuspectFailureShare) {
      if (response.body.size() <= kMaxKeptFailure) {
        m_target_failure = std::move(response);
      }
      co_return AttemptOutcome::kFailed;
    }
  } else {
    aTarget.health.OnAnswer();
  }
  if (m_session->HasStreamBegun()) {
    m_last_error = "target did not resume the stream";
    co_return AttemptOutcome::kBroken;
  }
  const unsigned status = response.status;
  if (IsSuccess(status) && !aExchange.EndsWithConnection()) {
    OnCompleted();
  }
  auto& held =
    aExchange.BeginRelay([session = m_session] { session->Abort(); });
  const bool written = co_await SendResponse(std::move(response), &held);
  if (written) {
    m_was_answered = true;
    m_state.metrics.Add(Counter::kAnswers);
    LogEnd("answered", status, {});
  }
  co_return std::nullopt;
}

void
ForwardRun::OnStreamBegun()
{
  m_stream_version = m_sent_version;
  const bool is_resumed = !m_metadata.resume_after.empty();
  const std::string& first =
    is_resumed ? m_metadata.resumed_request : m_metadata.request_id;
  if (m_route->repeatable && !first.empty()) {
    m_state.OnStreamBegun(
      { core::StreamKeyOf(first), m_service, m_sent_version });
  }
}

asio::awaitable<ForwardRun::AttemptFailure>
ForwardRun::RelayStream(FleetTarget& aTarget,
                        TargetExchange& aExchange,
                        ReadResult aResult)
{
  for (;;) {
    const std::string events = m_cutter.Take(aExchange.Body());
    if (!events.empty()) {
      aTarget.last_response_at = core::RuntimeClock::now();
      if (m_last_peer.empty()) {
        m_state.connector.OnDirectResponse(aTarget.last_response_at);
      }
      aTarget.active_streams += m_is_streaming ? 0 : 1;
      m_is_streaming = true;
      StartStallTimer(aTarget);
      if (!m_session->HasStreamBegun()) {
        OnStreamBegun();
        m_first_event_at = aTarget.last_response_at;
        m_state.waits[m_route->name].OnFirstResponse(
          m_load_at_send, m_first_event_at - m_sent_at);
        m_session->BeginStream(
          aExchange.Head().status,
          aExchange.Head().reason,
          HeadersForCaller(m_state.header_codec, aExchange.Head().headers));
      }
      const bool written = co_await m_session->WriteChunk(events);
      if (!written) {
        co_return std::nullopt;
      }
    }
    if (aResult != ReadResult::kMore) {
      break;
    }
    if (aExchange.Body().size() > net::EventCutter::kMaxEventBytes) {
      m_last_error = "an event of the stream is longer than " +
                     std::to_string(net::EventCutter::kMaxEventBytes) +
                     " bytes";
      aTarget.health.OnFailure(core::RuntimeClock::now());
      aExchange.Close();
      co_return AttemptOutcome::kBroken;
    }
    aResult = co_await aExchange.ReadBody();
  }
  if (aResult == ReadResult::kBroken) {
    co_return co_await OnBrokenReply(aTarget, aExchange);
  }
  if (!aExchange.Body().empty()) {
    m_last_error = "stream ended in the middle of an event";
    aTarget.health.OnFailure(core::RuntimeClock::now());
    co_return AttemptOutcome::kBroken;
  }
  aTarget.health.OnAnswer();
  if (!aExchange.EndsWithConnection()) {
    OnCompleted();
  }
  if (!m_session->HasStreamBegun()) {
    m_session->BeginStream(
      aExchange.Head().status,
      aExchange.Head().reason,
      HeadersForCaller(m_state.header_codec, aExchange.Head().headers));
  }
  const bool written = co_await m_session->EndStream();
  if (written) {
    m_was_answered = true;
    m_state.metrics.Add(Counter::kAnswers);
    const std::string_view account =
      m_account != nullptr ? m_account->id.View() : std::string_view("-");
    m_state.metrics.Record(Timing::kTimeToFirstToken,
                           account,
                           m_last_target,
                           m_first_event_at - m_session->Request().received_at);
    LogEnd("answered", aExchange.Head().status, {});
  }
  co_return std::nullopt;
}

Duration
ForwardRun::TimeUntilWeightsExpire(const TargetCall& aCall) const
{
  const auto wanted = m_state.wanted_weights.find(m_metadata.prompt->model);
  if (wanted == m_state.wanted_weights.end() || !aCall.weight_version) {
    return Duration::max();
  }
  const core::Instant until =
    wanted->second.StartDeadline(*aCall.weight_version);
  return until == core::Instant::max() ? Duration::max()
                                       : until - core::RuntimeClock::now();
}

} // namespace jujubehead::node
