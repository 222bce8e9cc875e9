// A tenant becomes dedicated by a change of the configuration. See claim.txt.
#include "engine.hpp"

using namespace review;

namespace {

constexpr int kInstances = 3;
constexpr int kServers = 3;
/// `config_apply_ms`, and as much again.
constexpr std::int64_t kApplyMs = 2 * 2000;

json
Configuration(int aVersion, bool aIsDedicated, const EngineFigures& aFigures)
{
  const auto tenant = [](const char* aName, const char* aKey, bool aIs) {
    return json{ { "name", aName },
                 { "api_keys", json::array({ aKey }) },
                 { "priority", 1 },
                 { "dedicated", aIs } };
  };
  return {
    { "version", aVersion },
    { "routes",
      json::array({ { { "name", "r-digest" },
                      { "host", "a.example" },
                      { "path_prefix", "/digest/" },
                      { "kind", "streaming" },
                      { "timeout_ms", 5000 },
                      { "target_latency_ms", 600 },
                      { "priority", 1 },
                      { "service", "models" },
                      { "max_attempts", 2 },
                      { "anonymous", false },
                      { "sticky", true },
                      { "resumable", true },
                      { "gap_target_ms", 300 } } }) },
    { "services",
      json::array(
        { { { "name", "models" },
            { "health_path", "/healthz" },
            { "max_connections", 370 },
            { "engine",
              { { "slots", aFigures.slots },
                { "kv_capacity_tokens", aFigures.kv_tokens },
                { "kv_token_bytes", aFigures.token_bytes },
                { "link_mbps", 1100000.0 },
                { "managed", true },
                { "max_inflight", 12 },
                { "models", json::array({ { { "name", "m0" } } }) } } } } }) },
    { "limits",
      { { "max_header_bytes", 16384 },
        { "max_body_bytes", 4194304 },
        { "header_timeout_ms", 3000 },
        { "idle_timeout_ms", 15000 } } },
    { "tenants",
      json::array({ tenant("clinic", "key-1", aIsDedicated),
                    tenant("brewery", "key-2", false) }) }
  };
}

} // namespace

int
main(int aCount, char** aWords)
{
  if (aCount < 3) {
    return 2;
  }
  Record record(std::string(aWords[1]) + "/record.txt");
  EngineFigures figures;
  RowStore rows;
  Registry registry(rows);
  std::atomic<bool> is_dedicated{ false }; ///< By all versions in force.
  std::atomic<int> broken{ 0 }, answered{ 0 }, failed{ 0 };
  EngineHooks hooks;
  hooks.on_line = [&](const std::string& aLine) { record.Line(aLine); };
  hooks.on_use = [&](const Message& aRequest,
                     const PartName& aPart,
                     const std::string& aMaker) {
    const std::string user = aRequest.Header("X-Tenant");
    const bool is_other = aMaker != user;
    if (is_dedicated && is_other && (aMaker == "clinic" || user == "clinic")) {
      ++broken;
      record.Line("WALL: " + aRequest.Header("X-Attempt-Id") + " of " + user +
                  " uses the memory of part " + aPart.second + ", salt " +
                  aPart.first + ", which a request of " + aMaker + " made");
    }
  };
  std::vector<std::unique_ptr<Engine>> servers;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<Engine>("i-" + std::to_string(i + 1),
                                               i % 2 == 0 ? "zone-a" : "zone-b",
                                               figures,
                                               std::vector<KvStore*>{},
                                               hooks));
    registry.Add(servers.back()->id,
                 [&one = *servers.back()] { return one.Entry("models"); });
  }
  rows.Put("op", "config", Configuration(7, false, figures).dump());
  rows.Put("op", "version/m0", R"({"model":"m0","version":1})");
  auto instances = StartInstances(kInstances, rows.Address(), aWords[2]);
  if (!AwaitReady(instances)) {
    record.Line("the instances did not become ready");
    return 2;
  }
  record.Line("all instances are ready");
  int number = 0;
  const auto send = [&](const std::string& aTenant, int aDocument) {
    ++number;
    char attempt[32];
    snprintf(attempt,
             sizeof(attempt),
             "%016llx",
             static_cast<unsigned long long>(number) * 0x9e3779b97f4aULL);
    const std::string headers =
      std::string("Host: a.example\r\nX-Attempt-Id: ") + attempt +
      "\r\nX-Model: m0\r\nX-Token-Usage: 5000,10\r\nX-Prompt-Prefix: "
      "5c1e07a2:2520,d0c" +
      std::to_string(aDocument) + ":2000,0a" + attempt +
      ":480\r\nX-Deadline-Ms: 5000\r\nAuthorization: Token " +
      (aTenant == "clinic" ? "key-1" : "key-2") + "\r\n";
    const Outcome outcome =
      SendRequest(instances[std::size_t(number) % kInstances]->options.front,
                  "POST",
                  "/digest/x",
                  headers,
                  "{}",
                  5000);
    ++(outcome.status == 200 && outcome.complete ? answered : failed);
    record.Line(std::string("client: ") + attempt + " of " + aTenant +
                ", sent at " + std::to_string(outcome.sent) + " ms: status " +
                std::to_string(outcome.status) +
                (outcome.complete ? ", complete" : ", not complete"));
  };
  record.Line("requests of clinic, which is not dedicated");
  for (int i = 0; i < 12; ++i) {
    send("clinic", i % 4);
  }
  record.Line(HasTrouble()
                ? "TROUBLE: version 8 makes the tenant clinic dedicated"
                : "version 8 changes nothing");
  rows.Put("op", "config", Configuration(8, HasTrouble(), figures).dump());
  record.Line("version 8 is acknowledged");
  SleepMs(kApplyMs);
  is_dedicated = HasTrouble();
  record.Line("requests of both tenants");
  for (int i = 0; i < 24; ++i) {
    send(i % 2 == 0 ? "brewery" : "clinic", i % 4);
  }
  bool has_ended = false;
  for (auto& one : instances) {
    has_ended = has_ended || one->Ended();
    one->Kill();
  }
  record.Line("answered " + std::to_string(answered) + ", failed " +
              std::to_string(failed) + "; WALL broken " +
              std::to_string(broken) + " times");
  const int status = broken > 0 ? 1 : has_ended || answered < 20 ? 2 : 0;
  record.Line("exit status " + std::to_string(status));
  _exit(status);
}
