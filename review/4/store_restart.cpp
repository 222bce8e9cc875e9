// A store of KV cache restarts empty while requests that are to read from it
// wait in their server's queue. See claim.txt.
#include "engine.hpp"

using namespace review;

namespace {

constexpr int kInstances = 4;
constexpr int kServers = 6;
/// Sessions with a long prompt, then those with a short one.
constexpr int kLongSessions = 60;
constexpr int kSessions = 84;
constexpr std::int64_t kTimeoutMs = 12000;
constexpr std::int64_t kDownMs = 300;
/// Tokens of the parts: one for all requests, that of a session, the request's
/// own.
constexpr long kSystemTokens = 2520;
constexpr long kSessionTokens = 13000;
constexpr long kShortSessionTokens = 96;
constexpr long kDigestTokens = 1670;
constexpr long kDocumentTokens = 14500;
constexpr long kQueryTokens = 300;

json
Route(const std::string& aName, int aPriority)
{
  return { { "name", "r-" + aName },
           { "host", "a.example" },
           { "path_prefix", "/" + aName + "/" },
           { "kind", "streaming" },
           { "timeout_ms", kTimeoutMs },
           { "target_latency_ms", 1500 },
           { "priority", aPriority },
           { "service", "models" },
           { "max_attempts", 2 },
           { "anonymous", false },
           { "sticky", true },
           { "resumable", true },
           { "gap_target_ms", 300 } };
}

class Case
{
public:
  Case(const std::string& aDir, const std::string& aLogs)
    : m_record(aDir + "/record.txt")
    , m_logs(aLogs)
    , m_store("cache-1", "zone-b", m_figures)
    , m_registry(m_rows)
  {
    m_hooks.on_line = [this](const std::string& aLine) {
      m_record.Line(aLine);
    };
    m_hooks.on_not_whole = [this](const Message& aRequest,
                                  const PartName& aPart) {
      ++m_broken;
      m_record.Line("MIXED: " + aRequest.Header("X-Attempt-Id") + " took " +
                    aPart.second +
                    " from the store while it was being written there");
    };
    m_hooks.on_run = [this](const Message& aRequest,
                            const std::string& aServer) {
      const std::lock_guard lock(m_mutex);
      m_server_of[aRequest.Header("X-Attempt-Id")] = aServer;
    };
    for (int i = 0; i < kServers; ++i) {
      m_servers.push_back(
        std::make_unique<Engine>("i-" + std::to_string(i + 1),
                                 "zone-a",
                                 m_figures,
                                 std::vector<KvStore*>{ &m_store },
                                 m_hooks));
    }
  }

  int Run()
  {
    m_rows.Put("op", "config", Configuration().dump());
    m_rows.Put("op", "version/m0", R"({"model":"m0","version":1})");
    for (const auto& one : m_servers) {
      m_registry.Add(one->id,
                     [&server = *one] { return server.Entry("models"); });
    }
    m_instances = StartInstances(kInstances, m_rows.Address(), m_logs);
    if (!AwaitReady(m_instances)) {
      m_record.Line("the instances did not become ready");
      return 2;
    }
    m_record.Line("all instances are ready");
    SleepMs(2000);
    FindHomes();
    int number = 0;
    for (const auto& [server, sessions] : m_homes) {
      Round(++number, server);
    }
    bool has_ended = false;
    for (auto& one : m_instances) {
      has_ended = has_ended || one->Ended();
      one->Kill();
    }
    m_record.Line("answered " + std::to_string(m_answered) + ", refused " +
                  std::to_string(m_refused) + ", failed " +
                  std::to_string(m_failed) + "; MIXED broken " +
                  std::to_string(m_broken) + " times");
    return m_broken > 0 ? 1 : has_ended || m_answered < 50 ? 2 : 0;
  }
  Record& TheRecord() { return m_record; }

private:
  json Configuration() const
  {
    return {
      { "version", 7 },
      { "routes", json::array({ Route("digest", 2), Route("query", 0) }) },
      { "services",
        json::array(
          { { { "name", "models" },
              { "health_path", "/healthz" },
              { "max_connections", 370 },
              { "engine",
                { { "slots", m_figures.slots },
                  { "kv_capacity_tokens", m_figures.kv_tokens },
                  { "kv_token_bytes", m_figures.token_bytes },
                  { "link_mbps", 1100000.0 },
                  { "managed", true },
                  { "max_inflight", 12 },
                  { "models", json::array({ { { "name", "m0" } } }) } } } },
            { { "name", "cache-1" },
              { "kv_store_addr", m_store.Address() },
              { "zone", "zone-b" },
              { "kv_capacity_tokens", m_figures.store_tokens },
              { "link_mbps", m_figures.store_mbps },
              { "max_inflight", 12 },
              { "managed", true },
              { "first_ms", m_figures.first_ms } } }) },
      { "limits",
        { { "max_header_bytes", 16384 },
          { "max_body_bytes", 4194304 },
          { "header_timeout_ms", 3000 },
          { "idle_timeout_ms", 15000 } } },
      { "tenants",
        json::array({ { { "name", "acme" },
                        { "api_keys", json::array({ "key-1" }) } } }) }
    };
  }

  /// Sends a request of a session. @return the server that ran it.
  std::string Send(const std::string& aRoute, int aSession, int aInstance)
  {
    char attempt[32];
    snprintf(attempt,
             sizeof(attempt),
             "%016llx",
             static_cast<unsigned long long>(++m_number) * 0x9e3779b97f4aULL);
    const bool is_long = aSession < kLongSessions;
    const long kept = is_long ? kSessionTokens : kShortSessionTokens;
    const long own = aRoute != "digest" ? kQueryTokens
                     : is_long          ? kDigestTokens
                                        : kDocumentTokens;
    const std::string headers =
      std::string("Host: a.example\r\nX-Attempt-Id: ") + attempt +
      "\r\nX-Model: m0\r\nX-Token-Usage: " +
      std::to_string(kSystemTokens + kept + own) +
      ",10\r\nX-Prompt-Prefix: 5c1e07a2:" + std::to_string(kSystemTokens) +
      ",5e55" + std::to_string(1000 + aSession) + ":" + std::to_string(kept) +
      ",0a" + attempt + ":" + std::to_string(own) +
      "\r\nX-Deadline-Ms: " + std::to_string(kTimeoutMs) +
      "\r\nAuthorization: Token key-1\r\n";
    const Outcome outcome =
      SendRequest(m_instances[std::size_t(aInstance)]->options.front,
                  "POST",
                  "/" + aRoute + "/x",
                  headers,
                  "{}",
                  kTimeoutMs);
    const bool is_answer = outcome.status == 200 && outcome.complete;
    ++(is_answer ? m_answered : outcome.status == 503 ? m_refused : m_failed);
    m_record.Line("client: " + aRoute + " " + attempt + " of session " +
                  std::to_string(1000 + aSession) + ", sent at " +
                  std::to_string(outcome.sent) + " ms to front-" +
                  std::to_string(aInstance + 1) + ": status " +
                  std::to_string(outcome.status) +
                  (outcome.complete ? ", complete" : ", not complete") +
                  ", after " + std::to_string(outcome.ended - outcome.sent) +
                  " ms");
    const std::lock_guard lock(m_mutex);
    return m_server_of[attempt];
  }

  /// Finds the server to which each session's requests go while all are idle.
  void FindHomes()
  {
    std::atomic<int> next{ 0 };
    std::vector<std::thread> threads;
    for (int i = 0; i < kInstances; ++i) {
      threads.emplace_back([&, i] {
        for (int s = next++; s < kSessions; s = next++) {
          const std::string server = Send("query", s, i);
          const std::lock_guard lock(m_homes_mutex);
          m_homes[server].push_back(s);
        }
      });
    }
    for (std::thread& one : threads) {
      one.join();
    }
    m_homes.erase("");
  }

  /// The sessions of one server: some return, the others fill its queue.
  void Round(int aNumber, const std::string& aHome)
  {
    const std::vector<int>& sessions = m_homes.at(aHome);
    std::vector<int> kept, others;
    for (const int s : sessions) {
      if (s >= kLongSessions || kept.size() < 5) {
        (s >= kLongSessions ? others : kept).push_back(s);
      }
    }
    if (kept.size() < 5 || others.empty()) {
      return;
    }
    m_record.Line("round " + std::to_string(aNumber) + ", server " + aHome);
    // Their parts lie in the store, and not in the server's memory any more.
    for (const int s : kept) {
      Send("query", s, s % kInstances);
      SleepMs(300);
    }
    for (int i = 0; i < 3; ++i) {
      Send("digest", others.front(), i);
    }
    SleepMs(800);
    std::vector<std::thread> threads;
    const auto send = [&](const char* aRoute, int aSession, int aInstance) {
      threads.emplace_back([this, aRoute, aSession, aInstance] {
        Send(aRoute, aSession, aInstance);
      });
      SleepMs(4);
    };
    const std::int64_t begun = NowMs();
    // Some requests of sessions of the other servers, all the while.
    std::atomic<bool> ends{ false };
    std::thread usual([&] { SendUsual(ends, aHome); });
    for (int i = 0; i < 5; ++i) {
      send("digest", others[std::size_t(i) % others.size()], i % kInstances);
    }
    for (std::size_t i = 0; i < kept.size(); ++i) {
      send("digest", kept[i], int(i + 2) % kInstances);
    }
    SleepUntilMs(begun + 100);
    if (HasTrouble()) {
      m_record.Line("TROUBLE: the store restarts, down for " +
                    std::to_string(kDownMs) + " ms");
      m_store.Restart(kDownMs);
      m_record.Line("the store is back, empty");
    }
    SleepUntilMs(begun + 1500);
    for (std::size_t i = 0; i < kept.size(); ++i) {
      send("query", kept[i], int(i) % kInstances);
    }
    for (std::thread& one : threads) {
      one.join();
    }
    ends = true;
    usual.join();
  }
  void SendUsual(const std::atomic<bool>& aEnds, const std::string& aHome)
  {
    std::vector<int> others;
    for (const auto& [server, some] : m_homes) {
      if (server != aHome) {
        others.push_back(some.back());
      }
    }
    std::vector<std::thread> threads;
    for (int i = 0; !aEnds; ++i) {
      threads.emplace_back(
        [this, i, session = others[std::size_t(i) % others.size()]] {
          Send("query", session, i % kInstances);
        });
      SleepMs(60);
    }
    for (std::thread& one : threads) {
      one.join();
    }
  }

  Record m_record;
  std::string m_logs;
  EngineFigures m_figures;
  RowStore m_rows;
  KvStore m_store;
  EngineHooks m_hooks;
  std::vector<std::unique_ptr<Engine>> m_servers;
  Registry m_registry;
  std::vector<std::unique_ptr<Instance>> m_instances;
  std::mutex m_mutex;
  std::map<std::string, std::string> m_server_of; ///< By attempt.
  std::mutex m_homes_mutex;
  std::map<std::string, std::vector<int>> m_homes; ///< Sessions by server.
  std::atomic<std::uint64_t> m_number{ 0 };
  std::atomic<int> m_answered{ 0 }, m_refused{ 0 }, m_failed{ 0 },
    m_broken{ 0 };
};

} // namespace

int
main(int aCount, char** aWords)
{
  if (aCount < 3) {
    return 2;
  }
  Case run(aWords[1], aWords[2]);
  const int status = run.Run();
  run.TheRecord().Line("exit status " + std::to_string(status));
  _exit(status);
}
