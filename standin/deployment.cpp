#include "standin/deployment.hpp"

#include <chrono>    // for seconds
#include <future>    // for promise
#include <map>       // for map
#include <stdexcept> // for runtime_error
#include <thread>    // for thread

#include <boost/asio/co_spawn.hpp>            // for co_spawn
#include <boost/asio/executor_work_guard.hpp> // for make_work_guard
#include <boost/asio/io_context.hpp>          // for io_context
#include <boost/asio/post.hpp>                // for post
#include <boost/asio/use_future.hpp>          // for use_future

#include "jujubehead/core/table.hpp"         // for Table
#include "jujubehead/core/table_publish.hpp" // for ChangesBetween
#include "jujubehead/net/http_client.hpp"    // for HttpClient
#include "jujubehead/net/object_store.hpp"   // for ObjectStore
#include "jujubehead/net/table_log.hpp"      // for TableLog
#include "jujubehead/net/table_service.hpp"  // for TableService
#include "jujubehead/node/control.hpp"       // for Control
#include "jujubehead/node/traffic.hpp"       // for Traffic
#include "standin/stand_in.hpp"              // for StandIn

namespace jujubehead::standin {
namespace {

namespace asio = boost::asio;
using Json = nlohmann::json;

constexpr auto kPatience = std::chrono::seconds(60);
constexpr auto kPoll = std::chrono::milliseconds(20);
constexpr auto kCallSilence = std::chrono::seconds(60);

/// A context with a thread of its own.
class Loop
{
public:
  Loop()
    : m_work(asio::make_work_guard(m_context))
    , m_thread([this] { m_context.run(); })
  {
  }
  ~Loop() { Stop(); }
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  void Stop()
  {
    m_work.reset();
    m_context.stop();
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  asio::io_context& Context() { return m_context; }

  /// Runs a function on the loop's thread and waits for it.
  template<typename Function>
  auto Run(Function aFunction)
  {
    std::packaged_task<decltype(aFunction())()> task(std::move(aFunction));
    auto result = task.get_future();
    asio::post(m_context, [&task] { task(); });
    return result.get();
  }

private:
  asio::io_context m_context{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  std::thread m_thread;
};

/// One instance of the product.
struct Instance
{
  explicit Instance(node::ServeOptions aOptions)
    : options(std::move(aOptions))
    , control(node::Control::Create(options))
    , traffic(node::Traffic::Create(options, *control))
  {
    control->Start();
    traffic->Start();
  }
  ~Instance()
  {
    traffic->Stop();
    control->Stop();
  }
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  [[nodiscard]] std::string Authority() const
  {
    return "127.0.0.1:" + std::to_string(traffic->Port());
  }

  node::ServeOptions options;
  std::unique_ptr<node::Control> control;
  std::unique_ptr<node::Traffic> traffic;
};

Json
MemberJson(const std::string& aId,
           const std::string& aKind,
           const std::string& aAddress,
           std::size_t aDataCentre)
{
  return { { "id", aId },
           { "kind", aKind },
           { "address", aAddress },
           { "data_centre", "dc-" + std::to_string(aDataCentre) },
           { "checks_fencing", true },
           { "state", "live" } };
}

class LocalDeployment : public Deployment
{
public:
  explicit LocalDeployment(const DeploymentOptions& aOptions)
    : m_client(net::HttpClient::Create(m_calls.Context()))
  {
    m_loop.Run([&] { StartStandIns(aOptions); });
    Publish(aOptions.table);
    for (std::size_t i = 0; i < aOptions.instances; ++i) {
      StartInstance(i);
    }
    const bool ready = Await([this] { return AllReady(); });
    if (!ready) {
      throw std::runtime_error("the instances did not become ready");
    }
  }

  ~LocalDeployment() override
  {
    m_instances.clear();
    m_loop.Run([this] { m_stand_ins.clear(); });
  }

  net::HttpResponse Call(std::size_t aInstance,
                         const std::string& aMethod,
                         const std::string& aPath,
                         const net::HttpHeaders& aHeaders,
                         std::string aBody) override
  {
    net::HttpCall call;
    call.authority = m_instances.at(aInstance)->Authority();
    call.method = aMethod;
    call.target = aPath;
    call.headers = aHeaders;
    call.body = std::move(aBody);
    call.idle_timeout = kCallSilence;
    return Fetch(std::move(call)).get();
  }

  std::vector<net::HttpResponse> CallMany(
    std::size_t aCount,
    const std::string& aPath,
    const net::HttpHeaders& aHeaders,
    const std::function<std::string(std::size_t)>& aBody) override
  {
    std::vector<std::future<net::HttpResponse>> open;
    open.reserve(aCount);
    for (std::size_t i = 0; i < aCount; ++i) {
      net::HttpCall call;
      call.authority = m_instances.at(i % m_instances.size())->Authority();
      call.method = "POST";
      call.target = aPath;
      call.headers = aHeaders;
      call.body = aBody(i);
      call.idle_timeout = kCallSilence;
      open.push_back(Fetch(std::move(call)));
    }
    std::vector<net::HttpResponse> replies;
    replies.reserve(open.size());
    for (auto& one : open) {
      replies.push_back(one.get());
    }
    return replies;
  }

  std::size_t AddInstance() override
  {
    StartInstance(m_instances.size());
    return m_instances.size() - 1;
  }

  Json Stats(const std::string& aName) override
  {
    return m_loop.Run([&] { return m_stand_ins.at(aName).Stats(); });
  }

  void SetFault(const std::string& aName,
                const std::string& aFault,
                const Json& aBody) override
  {
    m_loop.Run([&] { m_stand_ins.at(aName).SetFault(aFault, aBody); });
  }

  bool Await(const std::function<bool()>& aCondition) override
  {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      std::this_thread::sleep_for(kPoll);
    }
    return true;
  }

private:
  std::future<net::HttpResponse> Fetch(net::HttpCall aCall)
  {
    return asio::co_spawn(
      m_calls.Context(), m_client->Fetch(std::move(aCall)), asio::use_future);
  }

  void StartStandIns(const DeploymentOptions& aOptions)
  {
    asio::io_context& context = m_loop.Context();
    Json members = Json::array();
    for (std::size_t i = 0; i < aOptions.engines; ++i) {
      const std::string id = "engine" + std::to_string(i);
      const auto engine =
        m_stand_ins.emplace(id, StandIn::Engine(context, aOptions.engine));
      Json member =
        MemberJson(id, "target", engine.first->second.Authority(), i);
      member["model"] = aOptions.engine.model;
      members.push_back(std::move(member));
    }
    const auto service =
      m_stand_ins.emplace("service", StandIn::Service(context, {}));
    Json member =
      MemberJson("service", "service", service.first->second.Authority(), 0);
    member["service"] = ServiceOptions().service;
    members.push_back(std::move(member));
    const auto store =
      m_stand_ins.emplace("store", StandIn::Store(context, {}));
    members.push_back(
      MemberJson("store", "store", store.first->second.Authority(), 0));
    m_stand_ins.emplace("table", StandIn::Table(context, {}));
    m_stand_ins.emplace("objects", StandIn::Objects(context));
    m_stand_ins.emplace("members", StandIn::Members(context, members));
  }

  void Publish(const std::string& aCsv)
  {
    const auto table = core::Table::FromCsv("table", aCsv).value();
    const auto service =
      net::TableService::Create(*m_client, AuthorityOf("table"));
    const auto objects =
      net::ObjectStore::Create(*m_client, AuthorityOf("objects"));
    const auto log = net::TableLog::Create(*service, *objects);
    core::ChangeEntry entry;
    entry.version = 1;
    entry.token = "first";
    entry.changes = core::ChangesBetween(core::Table(), table);
    asio::co_spawn(
      m_calls.Context(), log->Commit(std::move(entry)), asio::use_future)
      .get();
  }

  void StartInstance(std::size_t aIndex)
  {
    node::ServeOptions options;
    const std::string id = "i" + std::to_string(aIndex);
    options.instance_id = core::InstanceId(id);
    options.data_centre = core::DataCentreId("dc-" + std::to_string(aIndex));
    options.members = AuthorityOf("members");
    options.table_service = AuthorityOf("table");
    options.object_store = AuthorityOf("objects");
    options.peer_secret = "a secret of this test only";
    m_instances.push_back(std::make_unique<Instance>(std::move(options)));
    const Instance& instance = *m_instances.back();
    Json member = MemberJson(id, "instance", instance.Authority(), aIndex);
    member["peer_address"] =
      "127.0.0.1:" + std::to_string(instance.control->PeerPort());
    net::HttpCall call;
    call.authority = AuthorityOf("members");
    call.method = "PUT";
    call.target = "/admin/members/" + id;
    call.body = member.dump();
    Fetch(std::move(call)).get();
  }

  std::string AuthorityOf(const std::string& aName)
  {
    return m_loop.Run([&] { return m_stand_ins.at(aName).Authority(); });
  }

  /// Ready, and every target is owned by somebody.
  bool AllReady()
  {
    std::size_t owned = 0;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
      if (Call(i, "GET", "/readyz", {}, "").status != kStatusOk) {
        return false;
      }
      const Json status = Json::parse(Call(i, "GET", "/status", {}, "").body);
      owned += status.value("targets", Json::array()).size();
    }
    return owned + kNotTargets == m_stand_ins.size();
  }

  static constexpr unsigned kStatusOk = 200;
  static constexpr std::size_t kNotTargets = 4; // Store and the platform's.

  Loop m_loop;
  std::map<std::string, StandIn> m_stand_ins;
  Loop m_calls;
  std::unique_ptr<net::HttpClient> m_client;
  std::vector<std::unique_ptr<Instance>> m_instances;
};

} // namespace

std::unique_ptr<Deployment>
Deployment::Start(const DeploymentOptions& aOptions)
{
  return std::make_unique<LocalDeployment>(aOptions);
}

} // namespace jujubehead::standin
