// A client sends a request that crashes its servers several times at once, and
// again. See claim.txt.
#include "platform.hpp"

using namespace review;

namespace {

constexpr int kInstances = 3;
constexpr int kServers = 6; ///< In one zone.
constexpr int kCopies = 4;  ///< The request and three repeats.
constexpr std::int64_t kContactMs = 3000;
constexpr std::int64_t kBackAfterMs = 2000; ///< "back after some seconds"
constexpr std::int64_t kPauseMs = 3300;
constexpr std::int64_t kRunMs = 50; ///< From the begin of the run to the end.
constexpr const char* kPoison = "the request that crashes its server";

/// A server of a plain service; it ends when it begins to run the poison, and
/// starts again under a new id.
class PlainServer
{
public:
  PlainServer(int aNumber, Registry& aRegistry, Record& aRecord)
    : m_number(aNumber)
    , m_registry(aRegistry)
    , m_record(aRecord)
    , m_server([this](Conn& aConn, Message& aRequest) {
      return Handle(aConn, aRequest);
    })
    , m_keeper([this] { Keep(); })
  {
    Register();
  }

  std::function<void()> on_poison; ///< It begins to run the poison.
  std::function<void()> on_crash;

private:
  std::string Id() const
  {
    return "p-" + std::to_string(m_number) + "-" + std::to_string(m_start);
  }
  void Register()
  {
    m_registry.Add(Id(), [this] {
      return json{ { "service", "desk" },
                   { "address", m_server.Address() },
                   { "zone", "zone-a" },
                   { "version", "v1" },
                   { "slots", 6 },
                   { "state", "ready" },
                   { "cold_remaining_ms", 0 } };
    });
  }
  bool Handle(Conn& aConn, Message& aRequest)
  {
    const std::string attempt = aRequest.Header("X-Attempt-Id");
    if (aRequest.Header("X-Expect-Instance") != Id()) {
      return aConn.Reply(421, "X-Instance-Id: " + Id() + "\r\n", "");
    }
    m_record.Line("server " + Id() + " runs " + attempt);
    if (aRequest.body == kPoison) {
      on_poison();
      SleepMs(kRunMs);
      m_has_crashed = true;
      SleepMs(10000); // The connection ends with the process.
      return false;
    }
    SleepMs(60);
    return aConn.Reply(200,
                       "X-Attempt-Id: " + attempt +
                         "\r\nX-Response-Seal: seal." + Id() +
                         "\r\nX-Server-Load: 1,0,6\r\n",
                       std::string(800, 'x'));
  }
  void Keep()
  {
    for (;;) {
      SleepMs(2);
      if (!m_has_crashed) {
        continue;
      }
      m_record.Line("server " + Id() + " crashes");
      on_crash();
      m_server.Stop();
      m_registry.Silence(Id());
      const std::string old = Id();
      std::thread([this, old] {
        SleepMs(3600); // Three heartbeats.
        m_registry.Remove(old);
      }).detach();
      SleepMs(kBackAfterMs);
      ++m_start;
      m_has_crashed = false;
      m_server.Listen();
      Register();
    }
  }

  int m_number;
  std::atomic<int> m_start{ 1 };
  Registry& m_registry;
  Record& m_record;
  std::atomic<bool> m_has_crashed{ false };
  Server m_server;
  std::thread m_keeper;
};

} // namespace

int
main(int aCount, char** aWords)
{
  if (aCount < 3) {
    return 2;
  }
  Record record(std::string(aWords[1]) + "/record.txt");
  RowStore rows;
  Registry registry(rows);
  std::mutex mutex;
  std::vector<std::int64_t> crashes;
  int retries = 0;
  std::vector<std::unique_ptr<PlainServer>> servers;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<PlainServer>(i + 1, registry, record));
    servers.back()->on_poison = [&] {
      const std::lock_guard lock(mutex);
      const bool counts =
        crashes.size() >= 3 && NowMs() > crashes[2] + kContactMs;
      if (counts) {
        ++retries;
        record.Line("BUDGET: retry " + std::to_string(retries) +
                    " later than contact_ms after the third crash");
      }
    };
    servers.back()->on_crash = [&] {
      const std::lock_guard lock(mutex);
      crashes.push_back(NowMs());
    };
  }
  const json config = {
    { "version", 7 },
    { "routes",
      json::array({ { { "name", "r-book" },
                      { "host", "a.example" },
                      { "path_prefix", "/book/" },
                      { "kind", "non_idempotent" },
                      { "timeout_ms", 1500 },
                      { "target_latency_ms", 300 },
                      { "priority", 2 },
                      { "service", "desk" },
                      { "max_attempts", 1 },
                      { "anonymous", false } } }) },
    { "services",
      json::array({ { { "name", "desk" },
                      { "health_path", "/healthz" },
                      { "max_connections", 110 } } }) },
    { "limits",
      { { "max_header_bytes", 16384 },
        { "max_body_bytes", 4194304 },
        { "header_timeout_ms", 3000 },
        { "idle_timeout_ms", 15000 } } },
    { "tenants",
      json::array(
        { { { "name", "acme" }, { "api_keys", json::array({ "key-1" }) } } }) }
  };
  rows.Put("op", "config", config.dump());
  auto instances = StartInstances(kInstances, rows.Address(), aWords[2], true);
  if (!AwaitReady(instances)) {
    record.Line("the instances did not become ready");
    return 2;
  }
  record.Line("all instances are ready");
  std::atomic<int> answered{ 0 }, number{ 0 };
  const auto send = [&](const std::string& aBody, int aInstance) {
    char attempt[32];
    snprintf(attempt,
             sizeof(attempt),
             "%016llx",
             static_cast<unsigned long long>(++number) * 0x9e3779b97f4aULL);
    const Outcome outcome =
      SendRequest(instances[std::size_t(aInstance)]->options.front,
                  "POST",
                  "/book/x",
                  std::string("Host: a.example\r\nX-Attempt-Id: ") + attempt +
                    "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Token key-1\r\n",
                  aBody,
                  3000);
    answered += outcome.status == 200 && outcome.complete ? 1 : 0;
    if (aBody == kPoison || outcome.status != 200) {
      record.Line(std::string("client: ") +
                  (aBody == kPoison ? "POISON " : "usual ") + attempt +
                  " to front-" + std::to_string(aInstance + 1) + ", sent at " +
                  std::to_string(outcome.sent) + " ms: status " +
                  std::to_string(outcome.status));
    }
  };
  std::atomic<bool> ends{ false };
  std::thread usual([&] {
    for (int i = 0; !ends; ++i) {
      send("usual " + std::to_string(i), i % kInstances);
      SleepMs(40);
    }
  });
  SleepMs(2000);
  for (int i = 0; i < 5; ++i) {
    const int copies = HasTrouble() ? kCopies : 1;
    record.Line(HasTrouble() ? "TROUBLE: a client repeats at once and often"
                             : "a client sends its request");
    std::vector<std::thread> threads;
    for (int k = 0; k < copies; ++k) {
      threads.emplace_back([&, k] { send(kPoison, k % kInstances); });
    }
    SleepMs(kPauseMs);
    for (std::thread& one : threads) {
      one.join();
    }
  }
  ends = true;
  usual.join();
  bool has_ended = false;
  for (auto& one : instances) {
    has_ended = has_ended || one->Ended();
    one->Kill();
  }
  record.Line("answered " + std::to_string(answered) + "; the poison crashed " +
              std::to_string(crashes.size()) +
              " servers; retries that count: " + std::to_string(retries) +
              ", 3 are allowed");
  const int status = retries > 3                                        ? 1
                     : has_ended || answered < 50 || crashes.size() < 3 ? 2
                                                                        : 0;
  record.Line("exit status " + std::to_string(status));
  _exit(status);
}
