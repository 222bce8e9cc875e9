#include "jujubehead/node/entry.hpp"

#include <csignal> // for SIGHUP
#include <string>  // for string

#include <boost/asio/co_spawn.hpp>   // for co_spawn
#include <boost/asio/detached.hpp>   // for detached
#include <boost/asio/signal_set.hpp> // for signal_set

#include "jujubehead/net/http_server.hpp"          // for HttpServer
#include "jujubehead/node/control/store_relay.hpp" // for StoreRelay
#include "jujubehead/node/endpoint.hpp"            // for ReadEndpoint
#include "jujubehead/node/limit_counter.hpp"       // for CounterOf
#include "jujubehead/node/log.hpp"                 // for ConfigureLog, LogError
#include "jujubehead/node/machine_limits.hpp"      // for ReturnLargeBlocks
#include "jujubehead/node/metrics.hpp"             // for Metrics

#include "control/entry_control.hpp" // for EntryControl
#include "forward/forwarder.hpp"     // for Forwarder
#include "stop_signal.hpp"           // for StopSignal

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;

/// Requests to the pages for health and metrics have no body.
constexpr std::size_t kPageBodyBytes = 1024;

net::HttpServerOptions
ServerAt(const std::string& aAddress)
{
  const auto endpoint = ReadEndpoint(aAddress);
  net::HttpServerOptions options;
  options.address = endpoint.address().to_string();
  options.port = endpoint.port();
  return options;
}

/// One process: its threads, listeners and signals.
class Instance
{
public:
  Instance(const EntryOptions& aOptions,
           const HeaderCodec& aHeaderCodec,
           const MakePlatform& aMakePlatform)
    : m_metrics(Metrics::Create())
    , m_capacity(core::CapacityOf(aOptions.machine))
    , m_memory(std::make_shared<core::MemoryBudget>(m_capacity.control_bytes))
    , m_forwarder(aOptions, aHeaderCodec, *m_metrics)
    , m_paths(aOptions.table_service, aOptions.instance_id.Text())
    , m_control(m_context,
                aOptions,
                aMakePlatform(m_context, m_paths),
                m_paths,
                m_forwarder)
    , m_relay(m_context, m_paths, m_control.CachedRows())
    , m_signals(m_context, SIGHUP)
  {
    StopSignal::Install();
    m_forwarder.SetStopHooks(MakeStopHooks());
    m_ready = net::HttpServer::Create(
      m_context,
      PageAt(aOptions.ready_address),
      [this](net::HttpExchange& aExchange) { return TellReady(aExchange); });
    if (!aOptions.relay_address.empty()) {
      m_relay_door =
        net::HttpServer::Create(m_context,
                                RelayAt(aOptions.relay_address),
                                [this](net::HttpExchange& aExchange) {
                                  return HandleInstance(aExchange);
                                });
    }
    if (!aOptions.metrics_address.empty()) {
      m_pages = net::HttpServer::Create(m_context,
                                        PageAt(aOptions.metrics_address),
                                        [this](net::HttpExchange& aExchange) {
                                          return TellMetrics(aExchange);
                                        });
    }
  }

  void Run()
  {
    WaitForReload();
    asio::co_spawn(m_context, StopControl(), asio::detached);
    m_forwarder.Start();
    m_control.Start();
    m_context.run();
    m_forwarder.Stop();
  }

private:
  /// @return options of a page for health or metrics.
  [[nodiscard]] net::HttpServerOptions PageAt(const std::string& aAddress)
  {
    net::HttpServerOptions options = ServerAt(aAddress);
    options.body_limit = kPageBodyBytes;
    options.max_connections = m_capacity.probes;
    LimitMemory(options);
    return options;
  }

  [[nodiscard]] net::HttpServerOptions RelayAt(const std::string& aAddress)
  {
    net::HttpServerOptions options = ServerAt(aAddress);
    options.max_connections = m_capacity.instances;
    LimitMemory(options);
    return options;
  }

  void LimitMemory(net::HttpServerOptions& aOptions)
  {
    aOptions.memory = m_memory;
    aOptions.on_limit = [this](net::ServerLimit aLimit) {
      m_control_metrics.Add(CounterOf(aLimit));
      m_log.Write(LogLine("control_limit")
                    .Add("held", std::uint64_t(m_memory->Bytes()))
                    .Add("limit", std::uint64_t(m_memory->MaxBytes())));
    };
  }

  /// A question of another instance.
  asio::awaitable<void> HandleInstance(net::HttpExchange& aExchange)
  {
    const bool is_handled = co_await m_control.HandleInstance(aExchange);
    if (!is_handled) {
      co_await m_relay.Handle(aExchange);
    }
  }

  asio::awaitable<void> TellReady(net::HttpExchange& aExchange)
  {
    net::HttpResponse response;
    const bool ready = !StopSignal::ReceivedAt() && m_control.IsReady();
    response.status = ready ? kOk : kUnavailable;
    response.body = ready ? "ready\n" : "not ready\n";
    co_await aExchange.Send(std::move(response));
  }

  asio::awaitable<void> TellMetrics(net::HttpExchange& aExchange)
  {
    std::vector<Gauge> gauges;
    const auto gauge =
      [&](const char* aName, const char* aHelp, double aValue) {
        gauges.push_back({ aName, aHelp, "", "", aValue });
      };
    gauge("jujubehead_open_requests",
          "Requests under way.",
          static_cast<double>(m_forwarder.OpenRequests()));
    gauge("jujubehead_caller_connections",
          "Open connections of callers.",
          static_cast<double>(m_forwarder.CallerConnectionCount()));
    gauge("jujubehead_held_bytes",
          "Memory that requests and replies hold, in bytes.",
          static_cast<double>(m_forwarder.HeldBytes()));
    gauge("jujubehead_configuration_version",
          "Version of the declarations in force.",
          static_cast<double>(m_control.ConfigurationVersion()));
    gauge("jujubehead_targets",
          "Targets that are registered.",
          static_cast<double>(m_control.Targets()));
    gauge("jujubehead_store_straight",
          "Whether the operators' store is reached without another instance.",
          m_paths.IsDirect() ? 1 : 0);
    gauge("jujubehead_ready",
          "Whether callers are taken.",
          !StopSignal::ReceivedAt() && m_control.IsReady() ? 1 : 0);
    gauge("jujubehead_stopped_data_centres",
          "Data centres with a planned stop.",
          static_cast<double>(m_control.Stops().All().size()));
    gauge("jujubehead_requests_in_stopped_data_centres",
          "Requests under way in data centres with a planned stop.",
          static_cast<double>(m_forwarder.RequestsInStopped()));
    gauge("jujubehead_lost_paths",
          "Targets that other instances reach and this one does not.",
          static_cast<double>(m_forwarder.LostPaths()));
    gauge("jujubehead_partitioned",
          "Whether this instance has lost its paths to the targets.",
          m_forwarder.IsPartitioned() ? 1 : 0);
    gauge("jujubehead_open_tunnels",
          "Connections to targets that are relayed for other instances.",
          static_cast<double>(m_forwarder.Tunnels()));
    gauge("jujubehead_quarantined_requests",
          "Requests in quarantine, as they crash their targets.",
          static_cast<double>(m_forwarder.Quarantined()));
    for (Gauge& one : m_control.Hubs().Gauges()) {
      gauges.push_back(std::move(one));
    }
    for (Gauge& one : m_control.Poison().Gauges()) {
      gauges.push_back(std::move(one));
    }
    for (Gauge& one : m_control.Streams().Gauges()) {
      gauges.push_back(std::move(one));
    }
    for (Gauge& one : m_control.WeightsGauges()) {
      gauges.push_back(std::move(one));
    }
    net::HttpResponse response;
    response.headers.Add("Content-Type", "text/plain; version=0.0.4");
    response.body = m_metrics->Render(gauges);
    co_await aExchange.Send(std::move(response));
  }

  void WaitForReload()
  {
    m_signals.async_wait([this](const boost::system::error_code& aError, int) {
      if (aError) {
        return;
      }
      WaitForReload();
      // Nothing that can change while the process lives is in the settings.
      DecisionLog::WriteUnthrottled(
        LogLine("reload").Add("outcome", "settings_unchanged"));
    });
  }

  [[nodiscard]] Forwarder::StopHooks MakeStopHooks()
  {
    Forwarder::StopHooks hooks;
    hooks.requested_at = &StopSignal::ReceivedAt;
    hooks.wait = &StopSignal::Wait;
    hooks.on_ended = [this] {
      const core::Instant now = core::RuntimeClock::now();
      DecisionLog::WriteUnthrottled(
        LogLine("stop_ended")
          .Add("open_requests", std::uint64_t(m_forwarder.OpenRequests()))
          .Add("took", now - StopSignal::ReceivedAt().value_or(now)));
      // Not posted: what else waits for the control thread may take long.
      m_context.stop();
    };
    return hooks;
  }

  asio::awaitable<void> StopControl()
  {
    co_await StopSignal::Wait();
    m_control.BeginStop();
  }

  asio::io_context m_context{ 1 };
  std::unique_ptr<Metrics> m_metrics;
  ThreadMetrics& m_control_metrics = m_metrics->ForThread();
  DecisionLog m_log; ///< Of the control thread.
  core::Capacity m_capacity;
  /// Of other instances' calls.
  std::shared_ptr<core::MemoryBudget> m_memory;
  Forwarder m_forwarder;
  core::StorePaths m_paths;
  EntryControl m_control;
  StoreRelay m_relay;
  asio::signal_set m_signals;
  std::unique_ptr<net::HttpServer> m_ready;
  std::unique_ptr<net::HttpServer> m_pages;
  std::unique_ptr<net::HttpServer> m_relay_door; ///< For other instances.
};

} // namespace

int
RunEntry(const EntryOptions& aOptions,
         const HeaderCodec& aHeaderCodec,
         const MakePlatform& aMakePlatform)
{
  ConfigureLog(aOptions.log_config, LogStream::kOut);
  ReturnLargeBlocks();
  try {
    Instance instance(aOptions, aHeaderCodec, aMakePlatform);
    DecisionLog::WriteUnthrottled(
      LogLine("started")
        .Add("instance", aOptions.instance_id.View())
        .Add("data_centre", aOptions.data_centre.View())
        .Add("callers", aOptions.caller_address));
    instance.Run();
    DecisionLog::WriteUnthrottled(LogLine("ended"));
    return 0;
  } catch (const std::exception& error) {
    LogError("entry", std::string("event=cannot_run why=") + error.what());
    return 1;
  }
}

} // namespace jujubehead::node
