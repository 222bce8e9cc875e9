#include "forwarder.hpp"

#include <array>   // for array
#include <utility> // for move

#include "jujubehead/net/timer.hpp" // for Sleep

#include "forward_run.hpp" // for ForwardRun

// The planned stop of an instance, as far as callers see it. It is up to the
// traffic thread alone, so it does not depend on how busy the control thread
// is.

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

constexpr core::Duration kPollTime = std::chrono::milliseconds(50);
/// A connection without a request for this long is closed: its caller is not
/// about to send one that would cross the close.
constexpr core::Duration kMinIdle = std::chrono::milliseconds(500);

} // namespace

void
Forwarder::SetStopHooks(StopHooks aHooks)
{
  m_stop_hooks = std::move(aHooks);
  m_state.stop_requested = m_stop_hooks.requested_at;
}

asio::awaitable<void>
Forwarder::PlannedStop()
{
  co_await m_stop_hooks.wait();
  BeginStop();
  const core::StopSchedule& stop = m_state.stop;
  bool is_over = false;
  while (!is_over) {
    co_await net::Sleep(kPollTime);
    const core::Instant now = core::RuntimeClock::now();
    if (stop.IsOutOfRotation(now)) {
      CloseIdle();
    }
    const bool has_ended = stop.IsOutOfRotation(now) && Sessions() == 0;
    if (has_ended || now >= stop.AnswersUntil()) {
      StopAccepting();
      RejectIncomplete();
    }
    is_over = (has_ended && Sessions() == 0) || now >= stop.EndsAt();
  }
  m_stop_hooks.on_ended();
}

void
Forwarder::BeginStop()
{
  const core::Instant now = core::RuntimeClock::now();
  m_state.stop.Request(m_stop_hooks.requested_at().value_or(now));
  DecisionLog::WriteUnthrottled(
    LogLine("stop_begun")
      .Add("open_requests", std::uint64_t(m_open_requests))
      .Add("lag", now - *m_state.stop.RequestedAt()));
  m_tunnels.Stop();
  for (ForwardRun* const run : m_state.open_runs) {
    run->OnStopRequested();
  }
}

void
Forwarder::StopAccepting()
{
  // The kernel resets what is pending when a listener is closed.
  boost::system::error_code error;
  m_acceptor.non_blocking(true, error);
  while (m_acceptor.is_open() && !error) {
    asio::ip::tcp::socket socket(m_context);
    m_acceptor.accept(socket, error);
    if (!error) {
      Serve(std::move(socket));
    }
  }
  m_acceptor.close(error);
}

void
Forwarder::CloseIdle()
{
  for (CallerSession* const session : m_connections.All()) {
    session->CloseIfIdle(kMinIdle);
  }
}

void
Forwarder::RejectIncomplete()
{
  for (CallerSession* const session : m_connections.All()) {
    session->RejectIncomplete();
  }
}

void
Forwarder::LogOpenAtExit()
{
  std::array<std::uint64_t, kRequestPhaseNames.size()> in_phase{};
  for (ForwardRun* const run : m_state.open_runs) {
    ++in_phase.at(static_cast<std::size_t>(run->Phase()));
    run->LogAtExit();
  }
  std::uint64_t idle = 0;
  for (const CallerSession* const session : m_connections.All()) {
    idle += session->State().is_idle ? 1 : 0;
  }
  LogLine line("open_at_exit");
  for (std::size_t i = 0; i < in_phase.size(); ++i) {
    line.Add(kRequestPhaseNames.at(i), in_phase.at(i));
  }
  line
    .Add("reading",
         std::uint64_t(m_connections.Size()) - idle -
           std::uint64_t(m_state.open_runs.size()))
    .Add("idle", idle)
    .Add("tunnels", std::uint64_t(Tunnels()));
  DecisionLog::WriteUnthrottled(line);
}

} // namespace jujubehead::node
