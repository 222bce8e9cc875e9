#include "standin/entry_deployment.hpp"

#include <algorithm> // for all_of
#include <atomic>    // for atomic
#include <future>    // for promise
#include <iostream>  // for cerr
#include <map>       // for map
#include <stdexcept> // for runtime_error
#include <thread>    // for thread

#include <boost/asio/co_spawn.hpp>            // for co_spawn
#include <boost/asio/detached.hpp>            // for detached
#include <boost/asio/executor_work_guard.hpp> // for make_work_guard
#include <boost/asio/post.hpp>                // for post

#include "jujubehead/net/http_client.hpp"            // for HttpClient
#include "jujubehead/net/http_server.hpp"            // for HttpServer
#include "jujubehead/net/raw_caller.hpp"             // for RawCaller
#include "jujubehead/net/run_awaitable.hpp"          // for RunAwaitable
#include "jujubehead/node/control/entry_control.hpp" // for EntryControl
#include "jujubehead/node/forward/forwarder.hpp"     // for Forwarder
#include "jujubehead/node/log.hpp"                   // for ConfigureLog
#include "jujubehead/node/metrics.hpp"               // for Metrics
#include "platform/base64.hpp"                       // for EncodeBase64
#include "platform/connect.hpp"                      // for Connect
#include "platform/platform_header_codec.hpp"        // for PlatformHeaderCodec
#include "standin/face.hpp"                          // for Wait
#include "standin/path_view.hpp"                     // for PathView

namespace jujubehead::standin {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr const char* kModel = "m1";
/// Names of models begin so; a number follows.
constexpr std::string_view kModelName = "model";
/// Time in which all instances read the row of one that has restarted.
constexpr std::chrono::milliseconds kRowTime{ 4000 };
constexpr std::chrono::milliseconds kLookTime{ 5 };
constexpr std::chrono::minutes kMostTime{ 1 };
/// From a target's crash to its next start.
constexpr std::chrono::milliseconds kDownTime{ 300 };

/// Runs a context on a thread of its own.
class ContextThread
{
public:
  ContextThread()
    : m_work(asio::make_work_guard(context))
    , m_thread([this] { context.run(); })
  {
  }
  ~ContextThread() { Join(); }
  ContextThread(const ContextThread&) = delete;
  ContextThread& operator=(const ContextThread&) = delete;
  ContextThread(ContextThread&&) = delete;
  ContextThread& operator=(ContextThread&&) = delete;

  void Join()
  {
    m_work.reset();
    context.stop();
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  /// Runs something on the thread and waits for it.
  template<typename Work>
  auto Do(Work aWork)
  {
    std::packaged_task<decltype(aWork())()> task(std::move(aWork));
    auto done = task.get_future();
    asio::post(context, [&task] { task(); });
    return done.get();
  }

  asio::io_context context{ 1 };

private:
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  std::thread m_thread;
};

/// An instance as one process runs it: what it believes ends with it.
class RunningInstance
{
public:
  /// @param aIsAlone others cannot reach it.
  RunningInstance(node::EntryOptions aOptions, bool aIsAlone)
    : m_options(std::move(aOptions))
    , m_metrics(node::Metrics::Create())
    , m_paths(m_options.table_service, m_options.instance_id.Text())
    , m_forwarder(m_options, m_header_codec, *m_metrics)
    , m_port(m_forwarder.Port())
  {
    m_options.tunnel_address =
      "127.0.0.1:" + std::to_string(m_forwarder.TunnelPort());
    m_forwarder.SetStopHooks(MakeStopHooks());
    m_forwarder.Start();
    m_own.Do([&] {
      if (!aIsAlone) {
        m_door = net::HttpServer::Create(
          m_own.context, {}, [this](net::HttpExchange& aExchange) {
            return Handle(aExchange);
          });
        m_options.relay_address = "127.0.0.1:" + std::to_string(m_door->Port());
      }
      m_control = std::make_unique<node::EntryControl>(
        m_own.context,
        m_options,
        platform::Connect(m_own.context, m_paths),
        m_paths,
        m_forwarder);
      m_control->Start();
    });
  }
  ~RunningInstance()
  {
    m_own.Do([&] { m_door.reset(); });
    m_own.Join();
    m_forwarder.Stop();
  }
  RunningInstance(const RunningInstance&) = delete;
  RunningInstance& operator=(const RunningInstance&) = delete;
  RunningInstance(RunningInstance&&) = delete;
  RunningInstance& operator=(RunningInstance&&) = delete;

  void RequestStop()
  {
    m_stop_requested_at = core::RuntimeClock::now().time_since_epoch().count();
  }
  void HoldControl(std::chrono::milliseconds aTime)
  {
    asio::post(m_own.context, [aTime] { std::this_thread::sleep_for(aTime); });
  }
  [[nodiscard]] bool HasStopped() const { return m_has_stopped; }
  [[nodiscard]] std::uint16_t Port() const { return m_port; }
  [[nodiscard]] std::uint16_t TunnelPort() const
  {
    return m_forwarder.TunnelPort();
  }
  [[nodiscard]] std::uint64_t Total(node::Counter aCounter) const
  {
    return m_metrics->Total(aCounter);
  }
  /// Asks the control thread.
  template<typename Question>
  auto Ask(Question aQuestion)
  {
    return m_own.Do([&] { return aQuestion(*m_control); });
  }

private:
  [[nodiscard]] node::Forwarder::StopHooks MakeStopHooks()
  {
    node::Forwarder::StopHooks hooks;
    hooks.requested_at = [this]() -> std::optional<core::Instant> {
      const core::Instant::rep at = m_stop_requested_at;
      return at == 0 ? std::nullopt
                     : std::optional(core::Instant(core::Duration(at)));
    };
    hooks.wait = [this]() -> asio::awaitable<void> {
      while (m_stop_requested_at == 0) {
        co_await Wait(kLookTime);
      }
    };
    hooks.on_ended = [this] { m_has_stopped = true; };
    return hooks;
  }

  asio::awaitable<void> Handle(net::HttpExchange& aExchange)
  {
    const bool is_handled =
      m_control != nullptr && co_await m_control->HandleInstance(aExchange);
    if (!is_handled) {
      aExchange.Close();
    }
  }

  ContextThread m_own; ///< Of the control.
  node::EntryOptions m_options;
  platform::PlatformHeaderCodec m_header_codec;
  std::unique_ptr<node::Metrics> m_metrics;
  core::StorePaths m_paths;
  std::atomic<core::Instant::rep> m_stop_requested_at{ 0 };
  std::atomic<bool> m_has_stopped{ false };
  node::Forwarder m_forwarder;
  std::uint16_t m_port; ///< Also once it no longer listens.
  std::unique_ptr<node::EntryControl> m_control;
  std::unique_ptr<net::HttpServer> m_door; ///< For other instances.
};

class Deployed final : public EntryDeployment
{
public:
  explicit Deployed(const EntryDeploymentOptions& aOptions)
    : m_targets(aOptions.targets)
    , m_instance_count(aOptions.instances)
    , m_data_centres(aOptions.data_centres)
    , m_software_versions(aOptions.software_versions)
    , m_client(net::HttpClient::Create(m_world.context))
  {
    node::ConfigureLog({}, node::LogStream::kErr);
    m_world.Do([&] {
      StartStandIns(m_targets);
      if (aOptions.has_path_views) {
        StartPathViews();
      }
    });
    WriteRows(m_targets);
    m_options.caller_address = "127.0.0.1:0";
    m_options.tunnel_address = "127.0.0.1:0";
    m_options.table_service = m_stand_ins.at("rows")->Authority();
    m_options.repeats.per_request = aOptions.retries_per_request;
    m_options.repeats.start_delay = core::Duration(0);
    m_options.weights_time = aOptions.weights_time;
    m_options.hedge_share = aOptions.hedge_share;
    m_options.stop_grace = aOptions.stop_grace;
    m_options.machine.memory_bytes = aOptions.memory_bytes;
    m_options.poison.first_quarantine = aOptions.first_quarantine;
    Restart();
  }

  ~Deployed() override
  {
    m_instances.clear();
    m_world.Do([&] {
      m_is_ending = true;
      m_stand_ins.clear();
      m_client.reset();
    });
    m_world.Join();
  }

  void Restart() override
  {
    m_instances.clear();
    for (std::size_t i = 0; i < m_instance_count; ++i) {
      m_instances.push_back(StartInstance(i));
    }
    AwaitService();
  }

  void RestartAt(std::size_t aInstance) override
  {
    m_instances.at(aInstance).reset();
    m_instances.at(aInstance) = StartInstance(aInstance);
    AwaitService();
    std::this_thread::sleep_for(kRowTime);
  }

  void Stop(std::size_t aInstance) override
  {
    m_instances.at(aInstance).reset();
  }

  void HoldControl(std::size_t aInstance,
                   std::chrono::milliseconds aTime) override
  {
    m_instances.at(aInstance)->HoldControl(aTime);
  }

  void RequestStop(std::size_t aInstance) override
  {
    m_instances.at(aInstance)->RequestStop();
  }

  bool AwaitStop(std::size_t aInstance) override
  {
    const bool has_stopped =
      Await([&] { return m_instances.at(aInstance)->HasStopped(); });
    m_instances.at(aInstance).reset();
    return has_stopped;
  }

  net::HttpResponse Call(const std::string& aMethod,
                         const std::string& aPath,
                         const net::HttpHeaders& aHeaders,
                         std::string aBody) override
  {
    return CallAt(0, aMethod, aPath, aHeaders, std::move(aBody));
  }

  net::HttpResponse CallAt(std::size_t aInstance,
                           const std::string& aMethod,
                           const std::string& aPath,
                           const net::HttpHeaders& aHeaders,
                           std::string aBody) override
  {
    asio::io_context context(1);
    const auto client = net::HttpClient::Create(context);
    net::HttpCall call;
    call.authority =
      "127.0.0.1:" + std::to_string(m_instances.at(aInstance)->Port());
    call.method = aMethod;
    call.target = aPath;
    call.headers.Add("Host", "a.example");
    for (const net::HttpHeader& line : aHeaders.Lines()) {
      call.headers.Add(line.name, line.value);
    }
    call.body = std::move(aBody);
    return net::RunAwaitable(context, ReadAll(*client, std::move(call)));
  }

  std::string CallRaw(const std::string& aBytes) override
  {
    asio::io_context context(1);
    net::test::RawCaller caller(context, m_instances.front()->Port());
    return net::RunAwaitable(context, Exchange(caller, aBytes));
  }

  void CallAndLeave(const std::string& aBytes,
                    std::chrono::milliseconds aAfter) override
  {
    asio::io_context context(1);
    net::test::RawCaller caller(context, m_instances.front()->Port());
    net::RunAwaitable(context, WriteOnly(caller, aBytes));
    std::this_thread::sleep_for(aAfter);
  }

  json Stats(const std::string& aName) override
  {
    return m_world.Do([&] { return m_stand_ins.at(aName)->Stats(); });
  }

  std::size_t Crashes() override
  {
    return m_world.Do([&] { return m_crashes; });
  }

  void SetFault(const std::string& aName,
                const std::string& aFault,
                const json& aBody) override
  {
    m_world.Do([&] {
      if (aFault == "crash_on" || aFault == "brittle" || aFault == "mute") {
        m_lasting_faults[aName][aFault] = aBody;
      }
      // One that crashed is back in a moment.
      if (const auto& stand_in = m_stand_ins.at(aName)) {
        stand_in->SetFault(aFault, aBody);
      }
    });
  }

  std::uint64_t Total(std::size_t aInstance, node::Counter aCounter) override
  {
    return m_instances.at(aInstance)->Total(aCounter);
  }

  std::uint16_t CallerPort(std::size_t aInstance) override
  {
    return m_instances.at(aInstance)->Port();
  }

  std::uint16_t TunnelPort(std::size_t aInstance) override
  {
    return m_instances.at(aInstance)->TunnelPort();
  }

  void SetCut(std::size_t aInstance, const std::string& aHow) override
  {
    m_world.Do([&] { m_path_views.at(aInstance)->SetCut(aHow); });
  }

  void PutRow(const std::string& aTable,
              const std::string& aKey,
              const json& aValue) override
  {
    const json name = { { "table", aTable }, { "part", "" }, { "key", aKey } };
    json put = name;
    put["value"] = platform::EncodeBase64(aValue.dump());
    Write(aValue.is_null() ? json{ { "remove", json::array({ name }) } }
                           : json{ { "put", json::array({ put }) } });
  }

  void PutGarbage(const std::string& aTable, const std::string& aKey) override
  {
    const json row = {
      { "table", aTable }, { "part", "" }, { "key", aKey }, { "value", "%%%" }
    };
    Write({ { "put", json::array({ row }) } });
  }

  json EntryOf(const std::string& aName) override
  {
    return EntryAt(aName, m_stand_ins.at(aName)->Authority());
  }

  [[nodiscard]] json EntryAt(const std::string& aName,
                             const std::string& aAddress) const
  {
    const bool is_model = aName.starts_with(kModelName);
    const json model = { { "name", kModel }, { "version", 1 } };
    json entry = { { "service", is_model ? "models" : "plain" },
                   { "address", aAddress },
                   { "zone", "dc-1" },
                   { "slots", 8 },
                   { "state", "ready" },
                   { "models",
                     is_model ? json::array({ model }) : json::array() },
                   { "sequence", 1 } };
    if (const std::string version = SoftwareVersionOf(aName);
        !version.empty()) {
      entry["version"] = version;
    }
    return entry;
  }

  void AddTarget(const std::string& aName) override
  {
    m_world.Do([&] { StartTarget(aName, aName, 0); });
    PutRow("servers", aName, EntryOf(aName));
  }

  bool ReplaceTarget(const std::string& aName,
                     const std::string& aAddress) override
  {
    PutRow("servers", aName, nullptr);
    PutRow("servers", "raw-" + aName, EntryAt(aName, aAddress));
    return AwaitRead();
  }

  json Configuration() override
  {
    const json account = { { "name", "acme" },
                           { "api_keys", { "key-1" } },
                           { "priority", 3 } };
    const json store = { { "name", "parts" },
                         { "kv_store_addr",
                           m_stand_ins.at("parts")->Authority() },
                         { "zone", "dc-1" },
                         { "kv_capacity_tokens", 100000 } };
    return { { "version", 1 },
             { "routes",
               json::array({ RouteAt("/chat/", "streaming", "models"),
                             RouteAt("/once/", "non_idempotent", "plain"),
                             RouteAt("/calls/", "idempotent", "plain") }) },
             { "services",
               json::array({ json{ { "name", "models" } },
                             json{ { "name", "plain" } },
                             store }) },
             { "tenants", json::array({ account }) },
             { "limits", json::object() } };
  }

  bool AwaitRead() override
  {
    const auto version = Stats("rows").at("version").get<std::uint64_t>();
    return Await([&] {
      return std::all_of(
        m_instances.begin(), m_instances.end(), [&](const auto& aInstance) {
          return aInstance->Ask([](node::EntryControl& aControl) {
            return aControl.ReadUpTo();
          }) >= version;
        });
    });
  }

  bool Await(const std::function<bool()>& aCondition) override
  {
    const auto until = std::chrono::steady_clock::now() + kMostTime;
    while (std::chrono::steady_clock::now() < until) {
      if (aCondition()) {
        return true;
      }
      std::this_thread::sleep_for(kLookTime);
    }
    return false;
  }

private:
  static json RouteAt(const char* aPrefix,
                      const char* aKind,
                      const char* aService)
  {
    return { { "name", aPrefix },        { "host", "a.example" },
             { "path_prefix", aPrefix }, { "kind", aKind },
             { "timeout_ms", 5000 },     { "target_latency_ms", 500 },
             { "priority", 5 },          { "service", aService },
             { "max_attempts", 2 },      { "resumable", true } };
  }

  std::unique_ptr<RunningInstance> StartInstance(std::size_t aIndex)
  {
    m_options.instance_id = core::InstanceId("i" + std::to_string(aIndex + 1));
    m_options.data_centre = core::DataCentreId(
      aIndex < m_data_centres.size() ? m_data_centres[aIndex] : "dc-1");
    if (!m_path_views.empty()) {
      m_options.table_service = m_path_views.at(aIndex)->Authority();
    }
    return std::make_unique<RunningInstance>(m_options, m_instance_count == 1);
  }
  void AwaitService()
  {
    if (!Await([&] { return Serves(); })) {
      throw std::runtime_error("the instances do not serve");
    }
  }
  /// @return the software version of a model.
  [[nodiscard]] std::string SoftwareVersionOf(const std::string& aName) const
  {
    if (m_software_versions.empty() || !aName.starts_with(kModelName)) {
      return {};
    }
    const std::size_t index = std::stoul(aName.substr(kModelName.size()));
    return m_software_versions[index % m_software_versions.size()];
  }

  void StartStandIns(std::size_t aTargets)
  {
    const auto add = [&](const std::string& aName, StandIn aStandIn) {
      m_stand_ins.emplace(aName,
                          std::make_unique<StandIn>(std::move(aStandIn)));
    };
    add("rows", StandIn::Rows(m_world.context));
    add("parts", StandIn::Parts(m_world.context));
    for (std::size_t i = 0; i < aTargets; ++i) {
      for (const char* kind : { "model", "service" }) {
        const std::string name = kind + std::to_string(i);
        StartTarget(name, name, 0);
      }
    }
  }

  void StartPathViews()
  {
    for (std::size_t i = 0; i < m_instance_count; ++i) {
      m_path_views.push_back(
        std::make_unique<PathView>(m_world.context,
                                   ListenOptions(),
                                   m_stand_ins.at("rows")->Authority(),
                                   std::cerr));
    }
  }

  /// Starts a target under an id; several runs of one target differ in it.
  void StartTarget(const std::string& aName,
                   const std::string& aId,
                   std::uint16_t aPort)
  {
    RegisteredOptions options;
    options.id = aId;
    options.model = aName.starts_with(kModelName) ? kModel : "";
    options.software_version = SoftwareVersionOf(aName);
    options.work_ms = 2;
    ListenOptions listen;
    listen.port = aPort;
    m_stand_ins[aName] = std::make_unique<StandIn>(
      StandIn::Registered(m_world.context, options, listen));
    StandIn& started = *m_stand_ins.at(aName);
    started.SetOnCrash([this, aName, aId] {
      // It must not be destroyed within its own call.
      asio::post(m_world.context, [this, aName, aId] {
        asio::co_spawn(m_world.context, Replace(aName, aId), asio::detached);
      });
    });
    for (const auto& [fault, body] : m_lasting_faults[aName]) {
      started.SetFault(fault, body);
    }
  }

  /// Ends a target that crashed, and starts it anew after a while.
  asio::awaitable<void> Replace(std::string aName, std::string aId)
  {
    const std::string address = m_stand_ins.at(aName)->Authority();
    const std::uint16_t port = m_stand_ins.at(aName)->Port();
    m_stand_ins.at(aName).reset();
    const std::string next = aName + "-" + std::to_string(++m_crashes);
    co_await Wait(kDownTime);
    if (m_is_ending) {
      co_return;
    }
    StartTarget(aName, next, port);
    json row = EntryAt(aName, address);
    row["sequence"] = 1;
    const json removed = { { "table", "servers" },
                           { "part", "" },
                           { "key", aId } };
    json put = removed;
    put["key"] = next;
    put["value"] = platform::EncodeBase64(row.dump());
    json body = json::object();
    body["remove"] = json::array({ removed });
    body["put"] = json::array({ put });
    net::HttpCall call;
    call.authority = m_stand_ins.at("rows")->Authority();
    call.method = "POST";
    call.target = "/rows-tx";
    call.body = body.dump();
    co_await m_client->Fetch(std::move(call));
  }

  void WriteRows(std::size_t aTargets)
  {
    PutRow("op", "config", Configuration());
    for (std::size_t i = 0; i < aTargets; ++i) {
      for (const char* kind : { "model", "service" }) {
        const std::string name = kind + std::to_string(i);
        PutRow("servers", name, EntryOf(name));
      }
    }
  }

  void Write(const json& aBody)
  {
    asio::io_context context(1);
    const auto client = net::HttpClient::Create(context);
    net::HttpCall call;
    call.authority = m_stand_ins.at("rows")->Authority();
    call.method = "POST";
    call.target = "/rows-tx";
    call.body = aBody.dump();
    net::RunAwaitable(context, ReadAll(*client, std::move(call)));
  }

  bool Serves()
  {
    return std::all_of(
      m_instances.begin(), m_instances.end(), [&](const auto& aInstance) {
        return aInstance->Ask([&](node::EntryControl& aControl) {
          return aControl.IsReady() && aControl.Targets() == 2 * m_targets &&
                 aControl.Instances() == m_instance_count;
        });
      });
  }

  static asio::awaitable<net::HttpResponse> ReadAll(net::HttpClient& aClient,
                                                    net::HttpCall aCall)
  {
    net::HttpResponse response;
    try {
      const auto stream = co_await aClient.Open(std::move(aCall));
      response.headers = stream->Headers();
      const unsigned status = stream->Status();
      response.status = 0;
      for (;;) {
        const std::string_view bytes = co_await stream->ReadSome();
        if (bytes.empty()) {
          break;
        }
        response.body += bytes;
      }
      response.status = status;
    } catch (const net::HttpCallError&) {
      response.status = 0;
    }
    co_return response;
  }

  static asio::awaitable<std::string> Exchange(net::test::RawCaller& aCaller,
                                               const std::string& aBytes)
  {
    co_await aCaller.Write(aBytes);
    co_return co_await aCaller.ReadAll();
  }

  static asio::awaitable<bool> WriteOnly(net::test::RawCaller& aCaller,
                                         const std::string& aBytes)
  {
    co_await aCaller.Write(aBytes);
    co_return true;
  }

  std::size_t m_targets;
  std::size_t m_instance_count;
  std::vector<std::string> m_data_centres;
  std::vector<std::string> m_software_versions;
  ContextThread m_world;                     ///< Of the stand-ins.
  std::unique_ptr<net::HttpClient> m_client; ///< On that thread.
  std::map<std::string, std::unique_ptr<StandIn>> m_stand_ins;
  /// By instance. Their coroutines must not go on after them, so they are
  /// destroyed when the thread has ended.
  std::vector<std::unique_ptr<PathView>> m_path_views;
  /// By target and name: those that its next runs have as well.
  std::map<std::string, std::map<std::string, json>> m_lasting_faults;
  std::size_t m_crashes = 0;
  bool m_is_ending = false;
  node::EntryOptions m_options;
  std::vector<std::unique_ptr<RunningInstance>> m_instances;
};

} // namespace

std::unique_ptr<EntryDeployment>
EntryDeployment::Start(const EntryDeploymentOptions& aOptions)
{
  return std::make_unique<Deployed>(aOptions);
}

} // namespace jujubehead::standin
