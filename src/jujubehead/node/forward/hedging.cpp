#include "forward_run.hpp"

#include <utility> // for exchange, move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/use_awaitable.hpp> // for use_awaitable

#include "hedged_send.hpp"    // for HedgedSend
#include "target_message.hpp" // for FormatTargetHeader

// The second send of a request that is slow at its first target (hedging).
// Whichever target responds first is relayed, the other send is cancelled.

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

constexpr unsigned kServerError = 500;
/// Requests waiting at a target from which it gets no second sends.
constexpr double kMaxWaiting = 0.5;

} // namespace

void
ForwardRun::StartHedgeTimer()
{
  if (m_state.options.hedge_share <= 0 || !m_route->repeatable) {
    return;
  }
  const auto delay = m_state.HedgesOf(m_service).DelayOf(m_route->name);
  if (delay) {
    m_hedge_timer.emplace(m_session->Executor(), [this] { BeginHedge(); });
    m_hedge_timer->Set(*delay);
  }
}

std::shared_ptr<FleetTarget>
ForwardRun::ChooseHedgeTarget()
{
  const core::Instant now = core::RuntimeClock::now();
  core::HedgeInput input;
  input.is_repeatable = m_route->repeatable;
  input.max_targets = m_route->max_targets;
  input.may_have_run = m_history.may_have_run + 1;
  input.has_stream_begun = m_session->HasStreamBegun();
  input.resumes_stream = !m_metadata.resume_after.empty();
  input.is_suspect = m_probe || CrashCount() > 0 || HoldsCrashingPart();
  input.is_cold_send = m_is_cold_send;
  input.time_left = TimeLeft();
  input.delay = now - m_sent_at;
  RoomGate* const room = m_state.RoomOf(m_service);
  const bool is_scarce =
    m_state.HedgesOf(m_service).IsScarce(now) ||
    (room != nullptr && room->Load().MeanQueue() >= kMaxWaiting);
  if (!core::MayHedge(input) || is_scarce ||
      m_state.BrittleOf(m_service).IsBrittle()) {
    return nullptr;
  }
  auto target = ChooseTarget();
  const bool is_free = target && !target->limit.PerSecond() &&
                       target->load.Waiting(now) < kMaxWaiting;
  return is_free ? target : nullptr;
}

void
ForwardRun::BeginHedge()
{
  if (m_exchange == nullptr || m_hedge || IsCancelled()) {
    return;
  }
  auto target = ChooseHedgeTarget();
  const bool is_allowed =
    target && m_state.HedgesOf(m_service).TryToHedge() &&
    m_state.BudgetOf(m_service).TryToRetry(core::RuntimeClock::now());
  if (!is_allowed) {
    m_state.metrics.Add(Counter::kSecondSendsDenied);
    return;
  }
  m_state.metrics.Add(Counter::kSecondSends);
  m_tried_targets.insert(target->target.id);
  m_state.log.Write(LogLine("second_send")
                      .Add("request", m_metadata.request_id)
                      .Add("route", m_route->name)
                      .Add("target", target->target.id.View())
                      .Add("slow", m_last_target)
                      .Add("after", core::RuntimeClock::now() - m_sent_at));
  m_hedge = std::make_shared<HedgedSend>(m_session->Executor(),
                                         m_state.header_codec,
                                         m_state.connector,
                                         m_state.memory,
                                         std::move(target),
                                         m_homes,
                                         OptionsOfExchange());
  asio::co_spawn(m_session->Executor(), RunHedge(m_hedge), asio::detached);
}

asio::awaitable<void>
ForwardRun::RunHedge(std::shared_ptr<HedgedSend> aHedge)
{
  FleetTarget& target = *aHedge->target;
  aHedge->sent_at = core::RuntimeClock::now();
  aHedge->load_at_send = target.load.Requests(aHedge->sent_at);
  target.load.OnBegin();
  target.concurrency.OnBegin(Tokens());
  target.health.OnSend(aHedge->sent_at);
  const bool is_open = co_await aHedge->exchange.Open();
  if (!is_open && !aHedge->is_settled && !IsCancelled()) {
    target.health.OnUnreachable(core::RuntimeClock::now());
  }
  const bool may_send = is_open && !aHedge->is_settled && !IsCancelled() &&
                        aHedge->exchange.Peer().empty() &&
                        target.Accepts(core::RuntimeClock::now()) &&
                        !IsQuarantined();
  if (may_send) {
    SendHedge(*aHedge);
    aHedge->head = co_await aHedge->exchange.ReadHead();
    OnHedgeHead(*aHedge);
  }
  if (!aHedge->has_won) {
    aHedge->exchange.Close();
    EndSend(target, aHedge->exchange, aHedge->sent_at);
  }
  aHedge->is_over = true;
  aHedge->over.cancel();
}

void
ForwardRun::SendHedge(HedgedSend& aHedge)
{
  const PlannedTokens planned = m_planned;
  const TargetCall call = BuildCall(*aHedge.target);
  aHedge.planned = std::exchange(m_planned, planned);
  aHedge.weight_version = call.weight_version;
  aHedge.is_sent = true;
  const CallerRequest& request = m_session->Request();
  aHedge.exchange.Send(FormatTargetHeader(m_state.header_codec, request, call),
                       request.body);
  ++m_sent_count;
  ++m_history.sends;
  ++m_history.may_have_run;
}

void
ForwardRun::OnHedgeHead(HedgedSend& aHedge)
{
  if (aHedge.head == ReadResult::kBroken) {
    m_unanswered.push_back(aHedge.target->target.id);
    return;
  }
  const unsigned status = aHedge.exchange.Head().status;
  if (aHedge.is_settled || !IsResponse(aHedge.exchange) ||
      status >= kServerError) {
    RecordReply(*aHedge.target, status, aHedge.exchange.Metadata());
    return;
  }
  aHedge.has_won = true;
  CancelFirstSend();
}

bool
ForwardRun::WasFirstSendCancelled() const
{
  return m_hedge && m_hedge->has_won;
}

void
ForwardRun::CancelFirstSend()
{
  if (m_exchange != nullptr) {
    m_exchange->Close();
  }
}

asio::awaitable<bool>
ForwardRun::HasHedgeWon(bool aHasResponse)
{
  if (!m_hedge) {
    co_return false;
  }
  const auto hedge = m_hedge;
  if (aHasResponse && !hedge->has_won) {
    hedge->is_settled = true;
    hedge->exchange.Close();
  }
  if (!hedge->is_over) {
    constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
    co_await hedge->over.async_wait(kTuple);
  }
  co_return hedge->has_won;
}

asio::awaitable<ForwardRun::AttemptFailure>
ForwardRun::RelayHedge(FleetTarget& aFirst, TargetExchange& aFirstExchange)
{
  const auto hedge = m_hedge;
  m_state.metrics.Add(Counter::kSecondSendsWon);
  if (!aFirstExchange.IsOver()) {
    m_unanswered.push_back(aFirst.target.id);
  }
  RecordLatency(); // The first target would have taken longer.
  EndSend(aFirst, aFirstExchange, m_sent_at);
  m_has_ended_first_send = true;
  m_stall_timed_out = false;
  m_exchange = &hedge->exchange;
  m_awaited_target = hedge->target;
  m_last_target = hedge->target->target.id.Text();
  m_last_peer.clear();
  m_last_weights = hedge->weight_version;
  m_sent_version = hedge->target->target.software_version;
  m_sent_at = hedge->sent_at;
  m_load_at_send = hedge->load_at_send;
  m_planned = hedge->planned;
  StartStallTimer(*hedge->target);
  const AttemptFailure failure =
    co_await RelayReply(*hedge->target, hedge->exchange, hedge->head);
  EndSend(*hedge->target, hedge->exchange, hedge->sent_at);
  hedge->target->active_streams -= m_is_streaming ? 1 : 0;
  m_is_streaming = false;
  co_return failure;
}

} // namespace jujubehead::node
