#include "jujubehead/node/held_run.hpp"

#include <utility> // for move

#include <boost/asio/co_spawn.hpp> // for co_spawn
#include <boost/asio/detached.hpp> // for detached
#include <boost/asio/post.hpp>     // for post

#include <nlohmann/json.hpp> // for json

#include "jujubehead/net/timer.hpp"           // for Sleep
#include "jujubehead/node/control.hpp"        // for Control
#include "jujubehead/node/traffic_thread.hpp" // for TrafficThread

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;
using core::RuntimeClock;

constexpr int kAbortTries = 4;
constexpr core::Duration kAbortPause = std::chrono::milliseconds(250);
constexpr core::Duration kAbortTimeout = std::chrono::seconds(1);

void
PostRelease(Control& aControl, wire::PermitRelease aRelease)
{
  asio::post(aControl.Context(),
             [&aControl, release = std::move(aRelease)]() mutable {
               aControl.Entry().Release(std::move(release));
             });
}

/// Until the target has confirmed that the run is over; gives up on one that
/// does not answer, whose runs its connections' end has cancelled.
asio::awaitable<void>
AbortThenRelease(TrafficThread& aThread,
                 net::HttpCall aCall,
                 wire::PermitRelease aRelease)
{
  for (int i = 0; i < kAbortTries; ++i) {
    try {
      co_await aThread.client->Fetch(aCall);
      break;
    } catch (const net::HttpCallError&) {
      // Tried again below.
    }
    co_await net::Sleep(kAbortPause);
  }
  PostRelease(aThread.control, std::move(aRelease));
}

} // namespace

HeldRun::HeldRun(TrafficThread& aThread,
                 core::RequestId aAttempt,
                 Admitted aAdmitted)
  : m_thread(aThread)
  , m_attempt(std::move(aAttempt))
  , m_admitted(std::move(aAdmitted))
{
  m_release.target = m_admitted.target;
  m_release.epoch = m_admitted.permit.epoch;
  m_release.number = m_admitted.permit.number;
}

HeldRun::~HeldRun()
{
  Release();
}

bool
HeldRun::MayStart() const
{
  return RuntimeClock::now() < m_admitted.start_by;
}

void
HeldRun::Dispatched()
{
  m_end = RunEnd::kCut;
  m_dispatched_at = RuntimeClock::now();
}

void
HeldRun::NoteFirstToken()
{
  m_release.first_token = RuntimeClock::now() - m_dispatched_at;
}

void
HeldRun::NoteRecomputed(std::uint32_t aTokens)
{
  m_release.recomputed_tokens = aTokens;
}

void
HeldRun::Release()
{
  if (m_cached) {
    m_release.cached_keys = std::move(m_admitted.sparse_keys);
  }
  if (m_end != RunEnd::kCut) {
    PostRelease(m_thread.control, std::move(m_release));
    return;
  }
  net::HttpCall abort;
  abort.authority = m_admitted.authority;
  abort.method = "POST";
  abort.target = "/v1/abort";
  abort.headers.Add("Content-Type", "application/json");
  abort.body = nlohmann::json{ { "request_id", m_attempt.Text() } }.dump();
  abort.idle_timeout = kAbortTimeout;
  asio::co_spawn(
    m_thread.context,
    AbortThenRelease(m_thread, std::move(abort), std::move(m_release)),
    asio::detached);
}

} // namespace jujubehead::node
