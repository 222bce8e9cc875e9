#include "jujubehead/node/traffic.hpp"

#include <thread> // for thread
#include <vector> // for vector

#include <boost/asio/executor_work_guard.hpp> // for make_work_guard
#include <boost/asio/post.hpp>                // for post

#include "jujubehead/net/http_server.hpp"     // for HttpServer
#include "jujubehead/net/random_text.hpp"     // for RandomText
#include "jujubehead/node/front.hpp"          // for Front
#include "jujubehead/node/limit_counter.hpp"  // for CounterOf
#include "jujubehead/node/log.hpp"            // for LogWarning
#include "jujubehead/node/traffic_thread.hpp" // for TrafficThread

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kLogger = "traffic";
constexpr std::size_t kRequestPrefixBytes = 9;
constexpr std::size_t kReceiveBufferBytes = 64UL * 1024;
/// Each refusal is counted; the log says that there are some.
constexpr core::Duration kLimitLogInterval = std::chrono::seconds(1);

/// One thread with its listener.
class Worker
{
public:
  Worker(const ServeOptions& aOptions, Control& aControl, std::uint16_t aPort)
    : m_thread_state(aOptions, aControl)
    , m_front(m_thread_state)
    , m_work(asio::make_work_guard(m_thread_state.context))
  {
    m_thread_state.request_prefix =
      aOptions.instance_id.Text() + "-" + net::RandomText(kRequestPrefixBytes);
    net::HttpServerOptions server;
    server.address = aOptions.listen_address;
    server.port = aPort;
    server.reuse_port = true;
    server.tls = aOptions.caller_tls;
    server.memory = m_thread_state.memory;
    server.max_connections =
      m_thread_state.capacity.callers / aOptions.traffic_threads;
    server.receive_buffer_bytes = kReceiveBufferBytes;
    server.on_limit = [this](net::ServerLimit aLimit) { OnLimit(aLimit); };
    m_server = net::HttpServer::Create(
      m_thread_state.context, server, [this](net::HttpExchange& aExchange) {
        return m_front.Handle(aExchange);
      });
  }

  [[nodiscard]] std::uint16_t Port() const { return m_server->Port(); }

  void Start()
  {
    m_thread = std::thread([this] { m_thread_state.context.run(); });
  }

  void StopAccepting()
  {
    asio::post(m_thread_state.context, [this] { m_server->StopAccepting(); });
  }

  void Stop()
  {
    m_work.reset();
    m_thread_state.context.stop();
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

private:
  void OnLimit(net::ServerLimit aLimit)
  {
    ThreadMetrics& metrics = m_thread_state.metrics;
    metrics.Add(CounterOf(aLimit));
    if (aLimit == net::ServerLimit::kMemory) {
      metrics.Refuse("memory", true);
    }
    const core::Instant now = core::RuntimeClock::now();
    if (now - m_limit_logged_at < kLimitLogInterval) {
      return;
    }
    m_limit_logged_at = now;
    LogWarning(kLogger,
               "limit reached: requests hold " +
                 std::to_string(m_thread_state.memory->Bytes()) + " of " +
                 std::to_string(m_thread_state.memory->MaxBytes()) +
                 " bytes, connections " +
                 std::to_string(m_server->OpenConnections()) + " of " +
                 std::to_string(m_thread_state.capacity.callers));
  }

  TrafficThread m_thread_state;
  core::Instant m_limit_logged_at{};
  Front m_front;
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  std::unique_ptr<net::HttpServer> m_server;
  std::thread m_thread;
};

class TrafficThreads : public Traffic
{
public:
  TrafficThreads(const ServeOptions& aOptions, Control& aControl)
  {
    std::uint16_t port = aOptions.listen_port;
    for (std::uint32_t i = 0; i < aOptions.traffic_threads; ++i) {
      m_workers.push_back(std::make_unique<Worker>(aOptions, aControl, port));
      port = m_workers.front()->Port();
    }
  }

  ~TrafficThreads() override { StopAll(); }

  [[nodiscard]] std::uint16_t Port() const override
  {
    return m_workers.front()->Port();
  }

  void Start() override
  {
    for (const auto& worker : m_workers) {
      worker->Start();
    }
  }

  void StopAccepting() override
  {
    for (const auto& worker : m_workers) {
      worker->StopAccepting();
    }
  }

  void Stop() override { StopAll(); }

private:
  void StopAll()
  {
    for (const auto& worker : m_workers) {
      worker->Stop();
    }
  }

  std::vector<std::unique_ptr<Worker>> m_workers;
};

} // namespace

std::unique_ptr<Traffic>
Traffic::Create(const ServeOptions& aOptions, Control& aControl)
{
  return std::make_unique<TrafficThreads>(aOptions, aControl);
}

} // namespace jujubehead::node
