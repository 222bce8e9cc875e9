#include "forwarder.hpp"

#include <algorithm> // for max, min
#include <random>    // for uniform_int_distribution
#include <utility>   // for move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/buffer.hpp>        // for buffer
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/post.hpp>          // for post
#include <boost/asio/use_awaitable.hpp> // for use_awaitable

#include "jujubehead/net/timer.hpp"     // for Sleep
#include "jujubehead/node/endpoint.hpp" // for ReadEndpoint

#include "forward_run.hpp" // for ForwardRun
#include "retry_after.hpp" // for FormatRetryAfter

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr unsigned kUnavailable = 503;

/// Pause after a failed accept, for example when out of file descriptors.
constexpr core::Duration kAcceptPause = std::chrono::milliseconds(20);
/// Stalled transfers yield after a second; spread so that callers that are
/// refused together do not return together.
constexpr std::int64_t kOverloadDelayMinMs = 300;
constexpr std::int64_t kOverloadDelayMaxMs = 1000;

std::chrono::milliseconds
OverloadDelay(std::mt19937_64& aRandom)
{
  std::uniform_int_distribution<std::int64_t> spread(kOverloadDelayMinMs,
                                                     kOverloadDelayMaxMs);
  return std::chrono::milliseconds(spread(aRandom));
}

} // namespace

Forwarder::Forwarder(const EntryOptions& aOptions,
                     const HeaderCodec& aHeaderCodec,
                     Metrics& aMetrics)
  : m_state(aOptions, aHeaderCodec, aMetrics.ForThread(), m_log)
  , m_tunnels(m_context, aOptions.tunnel_address, m_state)
  , m_acceptor(m_context, ReadEndpoint(aOptions.caller_address))
  , m_work_guard(asio::make_work_guard(m_context))
  , m_connections(m_state.capacity.callers)
{
  // Inherited by the connections that are accepted.
  boost::system::error_code ignored;
  m_acceptor.set_option(
    asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
}

Forwarder::~Forwarder()
{
  Stop();
}

void
Forwarder::Start()
{
  asio::co_spawn(
    m_context,
    [this]() -> asio::awaitable<void> { co_await Accept(); },
    asio::detached);
  m_tunnels.Start();
  if (m_stop_hooks.wait) {
    asio::co_spawn(m_context, PlannedStop(), asio::detached);
  }
  m_thread = std::thread([this] { m_context.run(); });
}

void
Forwarder::Stop()
{
  m_work_guard.reset();
  m_context.stop();
  if (m_thread.joinable()) {
    m_thread.join();
    if (m_state.IsStopping()) {
      LogOpenAtExit();
    }
  }
  EndSessions();
}

void
Forwarder::EndSessions()
{
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
  m_tunnels.Stop();
  const std::set<CallerSession*> open = m_connections.All();
  for (CallerSession* session : open) {
    session->Cancel();
  }
  m_context.restart();
  m_context.poll();
}

std::uint16_t
Forwarder::Port() const
{
  return m_acceptor.local_endpoint().port();
}

asio::awaitable<void>
Forwarder::Accept()
{
  constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
  for (;;) {
    auto [error, socket] = co_await m_acceptor.async_accept(kTuple);
    if (!error) {
      Serve(std::move(socket));
      continue;
    }
    if (!m_acceptor.is_open()) {
      co_return;
    }
    DecisionLog::WriteUnthrottled(
      LogLine("accept_failed").Add("why", error.message()));
    co_await net::Sleep(kAcceptPause);
  }
}

void
Forwarder::Serve(tcp::socket aSocket)
{
  const auto room = m_connections.MakeRoom(Limits().idle_timeout);
  if (room == CallerConnections::Room::kFree) {
    CallerSession::Start(std::move(aSocket), *this);
    return;
  }
  const bool is_served = room == CallerConnections::Room::kMade;
  m_state.metrics.Add(is_served ? Counter::kConnectionsClosed
                                : Counter::kConnectionsRefused);
  m_log.Write(LogLine("callers_full")
                .Add("connections", std::uint64_t(m_connections.Size()))
                .Add("limit", std::uint64_t(m_connections.Max()))
                .Add("new", is_served ? "served" : "refused"));
  if (is_served) {
    CallerSession::Start(std::move(aSocket), *this);
    return;
  }
  const std::string reply =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " +
    FormatRetryAfter(OverloadDelay(m_state.random)) +
    "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
  boost::system::error_code ignored;
  aSocket.non_blocking(true, ignored);
  aSocket.write_some(asio::buffer(reply), ignored);
  aSocket.shutdown(tcp::socket::shutdown_send, ignored);
}

FullResponse
Forwarder::OnOverload(const net::MessageHead& aHead, std::size_t aBytes)
{
  const auto metadata = m_state.header_codec.ParseCallerHeaders(aHead.headers);
  const std::string request_id =
    metadata.has_error() ? std::string() : metadata->request_id;
  std::chrono::milliseconds delay = OverloadDelay(m_state.random);
  if (!metadata.has_error() && metadata->time_left) {
    delay = std::min(delay,
                     std::chrono::duration_cast<std::chrono::milliseconds>(
                       *metadata->time_left) /
                       kRetryAfterDivisor);
  }
  m_state.metrics.Add(Counter::kMemoryRefusals);
  m_state.metrics.Refuse("memory", true);
  m_log.Write(LogLine("overloaded")
                .Add("request", request_id)
                .Add("bytes", std::uint64_t(aBytes))
                .Add("held", std::uint64_t(m_state.memory->Bytes()))
                .Add("limit", std::uint64_t(m_state.memory->MaxBytes())));
  return RefuseUnread(
    request_id, delay, "the memory for requests is in use, not run\n");
}

FullResponse
Forwarder::OnShutdown(const net::MessageHead& aHead)
{
  const auto metadata = m_state.header_codec.ParseCallerHeaders(aHead.headers);
  const std::string request_id =
    metadata.has_error() ? std::string() : metadata->request_id;
  m_state.metrics.Refuse("shutdown", true);
  m_log.Write(LogLine("refused")
                .Add("request", request_id)
                .Add("status", std::uint64_t(kUnavailable))
                .Add("why", "instance is shutting down, request incomplete"));
  return RefuseUnread(request_id,
                      OverloadDelay(m_state.random),
                      "instance is shutting down, not run\n");
}

FullResponse
Forwarder::RefuseUnread(const std::string& aRequestId,
                        std::chrono::milliseconds aDelay,
                        std::string aBody) const
{
  FullResponse response;
  response.status = kUnavailable;
  response.headers = m_state.header_codec.LocalReplyHeaders(aRequestId);
  response.headers.Add("Content-Type", "text/plain");
  response.headers.Add("Retry-After", FormatRetryAfter(aDelay));
  response.body = std::move(aBody);
  return response;
}

asio::awaitable<void>
Forwarder::Handle(std::shared_ptr<CallerSession> aSession)
{
  ++m_open_requests;
  {
    ForwardRun run(m_state, std::move(aSession));
    try {
      co_await run.Run();
    } catch (const std::exception& error) {
      m_log.Write(LogLine("request_broke").Add("why", error.what()));
    }
  }
  --m_open_requests;
}

core::CallerLimits
Forwarder::Limits() const
{
  return m_state.configuration ? m_state.configuration->All().limits
                               : core::CallerLimits{};
}

bool
Forwarder::IsStopping()
{
  return m_state.IsStopping();
}

void
Forwarder::OnRejected(const std::string& aDetail, unsigned aStatus)
{
  m_state.metrics.Add(Counter::kBadRequests);
  m_log.Write(LogLine("unreadable")
                .Add("status", std::uint64_t(aStatus))
                .Add("why", aDetail));
}

void
Forwarder::SetInstances(std::vector<core::KnownInstance> aOthers)
{
  asio::post(m_context, [this, others = std::move(aOthers)] {
    m_state.connector.SetInstances(others);
  });
}

void
Forwarder::SetConfiguration(std::shared_ptr<const core::Configuration> aValue)
{
  asio::post(m_context, [this, value = std::move(aValue)] {
    std::vector<core::StoreId> stores;
    for (const core::DeclaredStore& store : value->All().stores) {
      stores.push_back(store.id);
    }
    m_state.parts.KeepOnly(stores);
    std::unordered_map<core::ServiceId, core::Duration> cold_times;
    for (const core::DeclaredService& service : value->All().services) {
      cold_times.emplace(service.id, service.cold_time);
    }
    m_state.fleet.SetColdTimes(std::move(cold_times));
    UpdateRooms(value->All());
    m_state.configuration = value;
  });
}

void
Forwarder::UpdateRooms(const core::Declarations& aDeclarations)
{
  for (const core::DeclaredService& service : aDeclarations.services) {
    core::UrgencyScale scale =
      core::UrgencyScale::For(aDeclarations, service.id);
    const bool is_in_use = scale.IsInUse();
    const bool was_in_use = m_state.rooms.contains(service.id);
    if (is_in_use) {
      m_state.rooms[service.id].SetScale(std::move(scale));
    } else {
      m_state.rooms.erase(service.id);
    }
    if (is_in_use != was_in_use) {
      DecisionLog::WriteUnthrottled(
        LogLine("room_admission")
          .Add("service", service.id.View())
          .Add("in_use", is_in_use ? "yes" : "no")
          .Add("configuration", aDeclarations.version));
    }
  }
}

void
Forwarder::ApplyTargets(std::vector<core::RegistrationChange> aChanges)
{
  asio::post(m_context, [this, changes = std::move(aChanges)] {
    m_state.fleet.Apply(changes);
  });
}

void
Forwarder::SetLoading(std::set<core::TargetId> aTargets)
{
  asio::post(m_context, [this, targets = std::move(aTargets)] {
    m_state.fleet.SetLoading(targets);
  });
}

void
Forwarder::SetStoppedDataCentres(std::set<core::DataCentreId> aStopped,
                                 std::set<core::DataCentreId> aEnded)
{
  asio::post(
    m_context,
    [this, stopped = std::move(aStopped), ended = std::move(aEnded)]() mutable {
      m_state.fleet.SetStoppedDataCentres(std::move(stopped), ended);
      m_state.requests_in_stopped = m_state.fleet.RequestsInStopped();
    });
}

void
Forwarder::SetWantedWeights(
  std::map<core::ModelId, core::DesiredWeights> aWanted)
{
  asio::post(m_context, [this, wanted = std::move(aWanted)] {
    m_state.wanted_weights = wanted;
  });
}

void
Forwarder::OnWeightsLoaded(core::TargetId aTarget, core::LoadedModel aLoaded)
{
  asio::post(m_context,
             [this, id = std::move(aTarget), loaded = std::move(aLoaded)] {
               if (const auto target = m_state.fleet.Find(id)) {
                 target->OnVersion(loaded.model, loaded.version);
               }
             });
}

void
Forwarder::OnPartEvents(std::vector<core::StorePage> aPages)
{
  asio::post(m_context, [this, pages = std::move(aPages)] {
    const core::Instant now = core::RuntimeClock::now();
    for (const core::StorePage& one : pages) {
      m_state.parts.OnPage(one.store, one.page, one.as_of);
      if (one.page.clock_ms) {
        m_state.target_clock.OnReading(*one.page.clock_ms, now);
      }
    }
  });
}

void
Forwarder::DropParts(core::SupersededScopes aScopes)
{
  asio::post(m_context, [this, scopes = std::move(aScopes)]() mutable {
    m_state.parts.DropWhere(
      [&](std::string_view aScope) { return scopes.Contains(aScope); });
  });
}

void
Forwarder::ExchangeLoads(
  std::vector<core::TargetLoadReport> aReports,
  std::function<void(std::vector<core::TargetLoadReport>)> aOnPending)
{
  asio::post(
    m_context,
    [this, reports = std::move(aReports), on_pending = std::move(aOnPending)] {
      m_state.ApplyReports(reports);
      m_state.shares_loads = true;
      on_pending(
        m_state.pending_load_reports.TakeBusiest(core::RuntimeClock::now()));
    });
}

void
Forwarder::ApplyReports(std::vector<core::TargetLoadReport> aReports)
{
  asio::post(m_context, [this, reports = std::move(aReports)] {
    m_state.ApplyReports(reports);
  });
}

void
Forwarder::SetSignalHook(
  std::function<void(const core::TargetLoadReport&)> aHook)
{
  asio::post(m_context, [this, hook = std::move(aHook)] {
    m_state.on_signal_report = hook;
  });
}

void
Forwarder::SetRetryShare(double aShare, core::Instant aUntil)
{
  asio::post(m_context, [this, aShare, aUntil] {
    m_state.retry_share = aShare;
    m_state.retry_share_until = aUntil;
  });
}

void
Forwarder::SetHolders(core::HolderRing aHolders, core::Instant aFrom)
{
  asio::post(m_context, [this, holders = std::move(aHolders), aFrom]() mutable {
    m_state.holders = std::move(holders);
    ++m_state.holders_number;
    m_state.holds_from = aFrom;
  });
}

void
Forwarder::SetStreamHooks(StreamHooks aHooks)
{
  asio::post(m_context, [this, hooks = std::move(aHooks)] {
    m_state.on_streams = hooks.on_streams;
    m_state.find_stream =
      [this, find = hooks.find_stream](core::StreamKey aStream,
                                       const core::ServiceId& aService,
                                       VersionReply aReply) {
        find(aStream,
             aService,
             [this, reply = std::move(aReply)](
               const std::optional<std::string>& aVersion) {
               asio::post(m_context, [reply, aVersion] { reply(aVersion); });
             });
      };
  });
}

void
Forwarder::SetSoleVersions(core::SoleVersions aSole, core::Duration aLongest)
{
  asio::post(m_context, [this, sole = std::move(aSole), aLongest] {
    m_state.SetSoleVersions(sole, aLongest);
  });
}

void
Forwarder::SetPoisonHooks(PoisonHooks aHooks)
{
  asio::post(m_context, [this, hooks = std::move(aHooks)] {
    m_state.on_poison_report = hooks.on_report;
    m_state.on_quarantine = hooks.on_quarantine;
    m_state.claim_probe = [this, claim = hooks.claim_probe](
                            const core::Quarantine& aNext, ProbeReply aReply) {
      claim(aNext,
            [this, reply = std::move(aReply)](
              std::optional<core::Quarantine> aBegun) {
              asio::post(m_context, [reply, aBegun] { reply(aBegun); });
            });
    };
  });
}

void
Forwarder::OnPoisonReports(std::vector<core::PoisonReport> aReports)
{
  asio::post(m_context, [this, reports = std::move(aReports)] {
    for (const core::PoisonReport& report : reports) {
      m_state.OnPoisonReport(report, false);
    }
  });
}

void
Forwarder::OnRecordedQuarantine(core::Quarantine aQuarantine)
{
  asio::post(m_context, [this, aQuarantine] {
    m_state.poison.OnRecorded(aQuarantine, core::RuntimeClock::now());
    m_state.TickPoison();
  });
}

void
Forwarder::TickPoison()
{
  if (m_state.suspects > 0) {
    asio::post(m_context, [this] { m_state.TickPoison(); });
  }
}

void
Forwarder::OnOperatorContact(core::Instant aWhen)
{
  asio::post(m_context, [this, aWhen] {
    m_state.last_operator_contact =
      std::max(m_state.last_operator_contact, aWhen);
  });
}

void
Forwarder::OnStoreUnreachable(core::StoreId aStore)
{
  asio::post(m_context, [this, store = std::move(aStore)] {
    m_state.parts.OnNoResponse(store);
  });
}

} // namespace jujubehead::node
