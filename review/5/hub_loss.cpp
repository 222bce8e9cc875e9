// The instances that read the operators' store for the others lose power as the
// configuration changes. See claim.txt.
#include "platform.hpp"

using namespace review;

namespace {

constexpr int kInstances = 13;
constexpr int kLost = 2; ///< `node_kill` takes a share of 0.16 to 0.2.
constexpr int kRounds = 3;
constexpr std::int64_t kApplyMs = 2000;
constexpr std::int64_t kDarkMs = 2500;
constexpr std::int64_t kContactMs = 3000;

json
Configuration(int aVersion, int aRoutes, bool aHasKey)
{
  json routes = json::array();
  for (int i = 0; i <= aRoutes; ++i) {
    routes.push_back({ { "name", "r-" + std::to_string(i) },
                       { "host", "a.example" },
                       { "path_prefix", "/n" + std::to_string(i) + "/" },
                       { "kind", "idempotent" },
                       { "timeout_ms", 1500 },
                       { "target_latency_ms", 300 },
                       { "priority", 2 },
                       { "service", "desk" },
                       { "max_attempts", 2 },
                       { "anonymous", false } });
  }
  json tenants = json::array(
    { { { "name", "acme" }, { "api_keys", json::array({ "key-1" }) } },
      { { "name", "brook" },
        { "api_keys",
          aHasKey ? json::array({ "key-2", "key-3" })
                  : json::array({ "key-3" }) } } });
  return { { "version", aVersion },
           { "routes", routes },
           { "services",
             json::array({ { { "name", "desk" },
                             { "health_path", "/healthz" },
                             { "max_connections", 110 } } }) },
           { "limits",
             { { "max_header_bytes", 16384 },
               { "max_body_bytes", 4194304 },
               { "header_timeout_ms", 3000 },
               { "idle_timeout_ms", 15000 } } },
           { "tenants", tenants } };
}

/// @return a gauge of an instance; -1 if it cannot be read.
int
Gauge(const Instance& aInstance, const std::string& aName)
{
  const Outcome page = SendRequest(
    aInstance.options.metrics, "GET", "/metrics", "Host: m\r\n", "", 1000);
  const std::size_t at = page.body.find("\n" + aName + " ");
  return at == std::string::npos
           ? -1
           : std::stoi(page.body.substr(at + aName.size() + 2));
}

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
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < 4; ++i) {
    const std::string id = "p-" + std::to_string(i + 1);
    servers.push_back(
      std::make_unique<Server>([&record, id](Conn& aConn, Message& aRequest) {
        const std::string attempt = aRequest.Header("X-Attempt-Id");
        if (aRequest.Header("X-Expect-Instance") != id) {
          return aConn.Reply(421, "X-Instance-Id: " + id + "\r\n", "");
        }
        record.Line("server " + id + " runs " + attempt + " of tenant " +
                    aRequest.Header("X-Tenant"));
        SleepMs(10);
        return aConn.Reply(200,
                           "X-Attempt-Id: " + attempt +
                             "\r\nX-Response-Seal: seal." + id +
                             "\r\nX-Server-Load: 1,0,6\r\n",
                           std::string(800, 'x'));
      }));
    registry.Add(id, [address = servers.back()->Address(), i] {
      return json{ { "service", "desk" },
                   { "address", address },
                   { "zone", i % 2 == 0 ? "zone-a" : "zone-b" },
                   { "version", "v1" },
                   { "slots", 6 },
                   { "state", "ready" },
                   { "cold_remaining_ms", 0 } };
    });
  }
  int version = 7;
  rows.Put("op", "config", Configuration(version, 0, true).dump());
  auto instances = StartInstances(kInstances, rows.Address(), aWords[2]);
  if (!AwaitReady(instances)) {
    record.Line("the instances did not become ready");
    return 2;
  }
  record.Line("all instances are ready");
  std::atomic<int> number{ 0 }, broken{ 0 }, answered{ 0 };
  // One request with a key to an instance. @return its status.
  const auto send = [&](int aInstance, int aRoute, const char* aKey) {
    char attempt[32];
    snprintf(attempt,
             sizeof(attempt),
             "%016llx",
             static_cast<unsigned long long>(++number) * 0x9e3779b97f4aULL);
    const Outcome outcome = SendRequest(
      instances[std::size_t(aInstance)]->options.front,
      "GET",
      "/n" + std::to_string(aRoute) + "/x",
      std::string("Host: a.example\r\nX-Attempt-Id: ") + attempt +
        "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token " + aKey + "\r\n",
      "",
      1500);
    record.Line(std::string("client: ") + attempt + " with " + aKey +
                " for route " + std::to_string(aRoute) + " to front-" +
                std::to_string(aInstance + 1) + ", sent at " +
                std::to_string(outcome.sent) + " ms: status " +
                std::to_string(outcome.status));
    answered += outcome.status == 200 ? 1 : 0;
    return std::make_pair(outcome.status, outcome.sent);
  };
  for (int round = 1; round <= kRounds; ++round) {
    rows.Put("op", "config", Configuration(++version, round - 1, true).dump());
    SleepMs(round == 1 ? 12000 : 7000);
    std::map<int, std::vector<int>> by_level;
    std::string levels;
    for (int i = 0; i < kInstances; ++i) {
      const int level =
        Gauge(*instances[std::size_t(i)], "jujubehead_hub_level");
      by_level[level].push_back(i);
      levels += " " + std::to_string(level);
    }
    record.Line("round " + std::to_string(round) +
                "; levels of the instances (0 reader, 1 standby, 2 relay, 3 "
                "follower):" +
                levels);
    if (by_level[0].size() != kLost) {
      record.Line("the instances have not agreed who reads the store");
      return 2;
    }
    const std::vector<int> lost = by_level[0]; // Both readers.
    std::vector<int> left;
    for (int i = 0; i < kInstances; ++i) {
      if (std::find(lost.begin(), lost.end(), i) == lost.end()) {
        left.push_back(i);
      }
    }
    if (HasTrouble()) {
      std::string names;
      for (const int i : lost) {
        instances[std::size_t(i)]->Signal(SIGSTOP);
        names += " front-" + std::to_string(i + 1);
      }
      record.Line("TROUBLE: these lose power:" + names);
    }
    SleepMs(30);
    rows.Put("op", "config", Configuration(++version, round, false).dump());
    const std::int64_t acknowledged = NowMs();
    record.Line("version " + std::to_string(version) +
                " is acknowledged: route " + std::to_string(round) +
                " is new, key-2 is gone");
    std::vector<std::thread> threads;
    for (const int i : left) {
      threads.emplace_back([&, i] {
        while (NowMs() < acknowledged + kDarkMs + 1500) {
          const auto [status, sent] = send(i, round, "key-1");
          if (status == 404 && sent > acknowledged + kApplyMs) {
            ++broken;
            record.Line("CONFIG: front-" + std::to_string(i + 1) +
                        " refuses the new route with 404, " +
                        std::to_string(sent - acknowledged) +
                        " ms after the acknowledgement");
          }
          const auto [run, at] = send(i, 0, "key-2");
          if (run == 200 && at > acknowledged + kApplyMs) {
            ++broken;
            record.Line("CONFIG: front-" + std::to_string(i + 1) +
                        " lets a request with a key that is gone run, " +
                        std::to_string(at - acknowledged) +
                        " ms after the acknowledgement");
          }
          SleepMs(60);
        }
      });
    }
    SleepUntilMs(acknowledged + kDarkMs);
    if (HasTrouble()) {
      for (const int i : lost) {
        instances[std::size_t(i)]->Kill();
        instances[std::size_t(i)]->Start();
      }
      record.Line("they are started again");
    }
    for (std::thread& one : threads) {
      one.join();
    }
    AwaitReady(instances);
    SleepMs(kContactMs);
  }
  bool has_ended = false;
  for (auto& one : instances) {
    has_ended = has_ended || one->Ended();
    one->Kill();
  }
  record.Line("answered " + std::to_string(answered) + "; CONFIG broken " +
              std::to_string(broken) + " times");
  const int status = broken > 0 ? 1 : has_ended || answered < 50 ? 2 : 0;
  record.Line("exit status " + std::to_string(status));
  _exit(status);
}
