#include "jujubehead/node/attempts.hpp"

#include <algorithm> // for max
#include <utility>   // for move

#include <boost/asio/post.hpp> // for post

#include "jujubehead/node/control.hpp"        // for Control, OnControl
#include "jujubehead/node/traffic_thread.hpp" // for TrafficThread

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

constexpr std::uint32_t kMaxAttempts = 4;

} // namespace

Attempts::Attempts(TrafficThread& aThread,
                   net::HttpExchange& aExchange,
                   AdmissionAsk aAsk,
                   std::string aAccountClass)
  : m_thread(aThread)
  , m_exchange(aExchange)
  , m_ask(std::move(aAsk))
  , m_account_class(std::move(aAccountClass))
  , m_began(core::RuntimeClock::now())
  , m_request_id(aThread.request_prefix + "-" +
                 std::to_string(++aThread.next_request))
  , m_cancel(std::make_shared<net::CallCancel>())
{
  m_thread.retry_budget.OnRequest();
  m_thread.metrics.Add(Counter::kRequests);
  m_exchange.OnCallerGone([this] {
    m_thread.metrics.Add(Counter::kCallersGone);
    m_cancel->Cancel();
    asio::post(m_thread.control.Context(),
               [&control = m_thread.control, attempt = m_ask.attempt] {
                 control.Entry().Abandon(attempt);
               });
  });
}

Attempts::~Attempts()
{
  m_exchange.OnCallerGone({});
}

asio::awaitable<Attempts::Next>
Attempts::Start()
{
  if (m_attempt > 0 && !MayRetry()) {
    co_return Refusal(m_last_failure);
  }
  ++m_attempt;
  m_ask.attempt =
    core::RequestId(m_request_id + "-" + std::to_string(m_attempt));
  const auto asked_at = core::RuntimeClock::now();
  Admission admission =
    co_await OnControl(m_thread.control, m_thread.control.Entry().Admit(m_ask));
  if (auto* admitted = std::get_if<Admitted>(&admission)) {
    m_thread.metrics.Record(Timing::kQueueWait,
                            m_account_class,
                            admitted->target.View(),
                            core::RuntimeClock::now() - asked_at);
    co_return std::make_unique<HeldRun>(
      m_thread, m_ask.attempt, std::move(*admitted));
  }
  co_return Refusal(m_attempt > 1 ? m_last_failure
                                  : ErrorOf(std::get<NotAdmitted>(admission)));
}

void
Attempts::Failed(const core::TargetId& aTarget,
                 bool aMayHaveRun,
                 net::ApiError aWhy)
{
  m_may_have_run = m_may_have_run || aMayHaveRun;
  m_ask.avoid.push_back(aTarget);
  m_last_failure = std::move(aWhy);
}

net::ApiError
Attempts::Refusal(net::ApiError aError) const
{
  aError.run_state =
    m_may_have_run ? net::RunState::kUnknown : net::RunState::kNotRun;
  m_thread.metrics.Refuse(aError.code, !m_may_have_run);
  return aError;
}

bool
Attempts::MayRetry()
{
  if (CallerGone() || m_attempt >= kMaxAttempts ||
      (m_only_once && m_may_have_run)) {
    return false;
  }
  if (!m_thread.retry_budget.TryRetry()) {
    return false;
  }
  m_thread.metrics.Add(Counter::kRetries);
  return true;
}

net::ApiError
ErrorOf(const NotAdmitted& aRefusal)
{
  net::ApiError error;
  error.run_state = net::RunState::kNotRun;
  error.retry_after = std::chrono::ceil<std::chrono::milliseconds>(
    std::max<core::Duration>(aRefusal.retry_after, std::chrono::seconds(1)));
  switch (aRefusal.reason) {
    case NotAdmittedReason::kNoTarget:
      error.status = 503;
      error.message = "No target of this model takes new requests now";
      error.code = "no_target";
      break;
    case NotAdmittedReason::kOverload:
      error.status = 429;
      error.message =
        "The request would wait longer than its deadline; try again later";
      error.type = "rate_limit_error";
      error.code = "overloaded";
      break;
    case NotAdmittedReason::kNoShare:
      error.status = 403;
      error.message = "The client account may not use this model now";
      error.type = "permission_error";
      error.code = "no_share";
      error.retry_after.reset();
      break;
    case NotAdmittedReason::kUnreachable:
      error.status = 503;
      error.message = "The model's targets cannot be reached now";
      error.code = "unreachable";
      break;
  }
  return error;
}

} // namespace jujubehead::node
