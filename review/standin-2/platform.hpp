// The platform as far as the cases need it: its store of rows, the operator and
// the registry of servers; the instances as processes; a record of the run.
#ifndef REVIEW2_PLATFORM_HPP
#define REVIEW2_PLATFORM_HPP

#include <sys/prctl.h>
#include <sys/wait.h>

#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <map>
#include <optional>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "http.hpp"

namespace review {

using nlohmann::json;

/// record.txt: what was sent, answered and run.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : m_file(fopen(aPath.c_str(), "w"))
  {
    if (m_file == nullptr) {
      throw std::runtime_error("cannot write " + aPath);
    }
  }
  ~Record() { fclose(m_file); }
  void Line(const std::string& aText)
  {
    const std::lock_guard lock(m_mutex);
    fprintf(m_file, "%8.3f  %s\n", double(NowMs()) / 1000, aText.c_str());
    fflush(m_file);
  }

private:
  std::mutex m_mutex;
  FILE* m_file;
};

inline std::string
Base64(const std::string& aText)
{
  static const char* const kLetters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  unsigned value = 0;
  int bits = 0;
  for (const unsigned char one : aText) {
    value = value << 8 | one;
    bits += 8;
    while (bits >= 6) {
      bits -= 6;
      out += kLetters[value >> bits & 63];
    }
  }
  if (bits > 0) {
    out += kLetters[value << (6 - bits) & 63];
  }
  while (out.size() % 4 != 0) {
    out += '=';
  }
  return out;
}

/// The platform's store of rows.
class RowStore
{
public:
  RowStore()
    : m_server([this](Conn& aConn, Message& aRequest) {
      return Handle(aConn, aRequest);
    })
  {
  }
  std::string Address() const { return m_server.Address(); }

  void Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue)
  {
    const std::lock_guard lock(m_mutex);
    m_rows[{ aTable, aKey }] = { Base64(aValue), ++m_version, false };
    m_changed.notify_all();
  }
  void Remove(const std::string& aTable, const std::string& aKey)
  {
    const std::lock_guard lock(m_mutex);
    m_rows[{ aTable, aKey }] = { "", ++m_version, true };
    m_changed.notify_all();
  }

private:
  struct Row
  {
    std::string value; ///< In base64.
    std::uint64_t version = 0;
    bool is_gone = false;
  };
  using Name = std::pair<std::string, std::string>;

  json Page(const std::string& aTable, std::uint64_t aAfter, bool aWithGone)
  {
    std::map<std::uint64_t, std::vector<json>> rows;
    for (const auto& [name, row] : m_rows) {
      if (name.first != aTable || row.version <= aAfter ||
          (row.is_gone && !aWithGone)) {
        continue;
      }
      json one = { { "table", aTable },
                   { "part", "" },
                   { "key", name.second },
                   { "value", row.value },
                   { "ver", row.version } };
      if (row.is_gone) {
        one["tombstone"] = true;
      }
      rows[aAfter == 0 && !aWithGone ? 0 : row.version].push_back(one);
    }
    json list = json::array();
    for (const auto& [version, some] : rows) {
      for (const json& one : some) {
        list.push_back(one);
      }
    }
    return { { "rows", list },
             { "truncated", false },
             { "ver", m_version },
             { "now_ms", NowMs() + 50000 } };
  }
  bool Handle(Conn& aConn, Message& aRequest)
  {
    const std::string table = aRequest.Query("table");
    std::unique_lock lock(m_mutex);
    json page;
    int status = 200;
    if (aRequest.path == "/rows-get") {
      page = Page(table, 0, false);
    } else if (aRequest.path == "/rows-feed") {
      const std::uint64_t after = std::stoull("0" + aRequest.Query("after"));
      const std::int64_t wait = std::stoll("0" + aRequest.Query("wait_ms"));
      const auto until = Clock::now() + std::chrono::milliseconds(wait);
      page = Page(table, after, true);
      while (page["rows"].empty() &&
             m_changed.wait_until(lock, until) != std::cv_status::timeout) {
        page = Page(table, after, true);
      }
      page = Page(table, after, true);
    } else if (aRequest.path == "/rows-tx") {
      const json body = json::parse(aRequest.body);
      for (const json& one : body.value("expected_rev", json::array())) {
        const auto found = m_rows.find({ one.at("table"), one.at("key") });
        const bool is_there = found != m_rows.end() && !found->second.is_gone;
        const std::uint64_t version = is_there ? found->second.version : 0;
        status = version == one.at("ver").get<std::uint64_t>() ? status : 412;
      }
      if (status == 200) {
        ++m_version;
        for (const json& one : body.value("put", json::array())) {
          m_rows[{ one.at("table"), one.at("key") }] = { one.at("value"),
                                                         m_version,
                                                         false };
        }
        for (const json& one : body.value("remove", json::array())) {
          m_rows[{ one.at("table"), one.at("key") }] = { "", m_version, true };
        }
        m_changed.notify_all();
      }
      page = { { "ver", m_version },
               { "now_ms", NowMs() + 50000 },
               { "rows", json::array() } };
    } else {
      status = 404;
      page = json::object();
    }
    lock.unlock();
    return aConn.Reply(
      status, "Content-Type: application/json\r\n", page.dump());
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<Name, Row> m_rows;
  std::uint64_t m_version = 100;
  Server m_server;
};

/// Writes the entries of servers, again every 1.2 s.
class Registry
{
public:
  explicit Registry(RowStore& aStore)
    : m_store(aStore)
    , m_thread([this] { Run(); })
  {
  }
  ~Registry()
  {
    m_ends = true;
    m_thread.join();
  }
  /// `aEntry` gives the fields, without `sequence`, each time.
  void Add(const std::string& aId, std::function<json()> aEntry)
  {
    const std::lock_guard lock(m_mutex);
    m_entries[aId] = { std::move(aEntry), 0 };
    Write(aId);
  }
  void Remove(const std::string& aId)
  {
    const std::lock_guard lock(m_mutex);
    m_entries.erase(aId);
    m_store.Remove("servers", aId);
  }
  /// Stops writing; the entry stays until Remove().
  void Silence(const std::string& aId)
  {
    const std::lock_guard lock(m_mutex);
    m_entries.erase(aId);
  }
  void Refresh(const std::string& aId)
  {
    const std::lock_guard lock(m_mutex);
    if (m_entries.count(aId) != 0) {
      Write(aId);
    }
  }

private:
  void Write(const std::string& aId)
  {
    auto& [entry, sequence] = m_entries.at(aId);
    json row = entry();
    row["sequence"] = ++sequence;
    m_store.Put("servers", aId, row.dump());
  }
  void Run()
  {
    while (!m_ends) {
      for (int i = 0; i < 12 && !m_ends; ++i) {
        SleepMs(100);
      }
      const std::lock_guard lock(m_mutex);
      for (auto& [id, entry] : m_entries) {
        Write(id);
      }
    }
  }

  RowStore& m_store;
  std::mutex m_mutex;
  std::map<std::string, std::pair<std::function<json()>, int>> m_entries;
  std::atomic<bool> m_ends{ false };
  std::thread m_thread;
};

/// An instance, started with the command line of deploy/system.toml.
class Instance
{
public:
  struct Options
  {
    std::string id, zone, regions, seeds, store, log;
    int front = FreePort(), ready = FreePort(), control = FreePort(),
        tunnel = FreePort(), metrics = FreePort();
  };

  explicit Instance(Options aOptions)
    : options(std::move(aOptions))
  {
  }
  ~Instance() { Kill(); }

  void Start()
  {
    const auto at = [](int aPort) {
      return "127.0.0.1:" + std::to_string(aPort);
    };
    const char* root = getenv("REVIEW_ROOT");
    const std::string program =
      std::string(root == nullptr ? "." : root) + "/target/bin/jujubehead";
    const std::vector<std::string> words = { program,
                                             "entry",
                                             "--instance_id=" + options.id,
                                             "--data_centre=" + options.zone,
                                             "--callers=" + at(options.front),
                                             "--ready=" + at(options.ready),
                                             "--metrics=" + at(options.metrics),
                                             "--table_service=" + options.store,
                                             "--relay=" + at(options.control),
                                             "--relay_seeds=" + options.seeds,
                                             "--tunnel=" + at(options.tunnel),
                                             "--regions=" + options.regions,
                                             "--capacity=0.25",
                                             "--memory=260",
                                             "--descriptors=4100",
                                             "--retry_share=0.2",
                                             "--retry_fixed=58",
                                             "--retry_window=10",
                                             "--stop_grace=8",
                                             "--lease_time=3000",
                                             "--weights_time=10000",
                                             "--weights_time_in_all=14000" };
    std::vector<char*> argv;
    for (const std::string& word : words) {
      argv.push_back(const_cast<char*>(word.c_str()));
    }
    argv.push_back(nullptr);
    const int log = open(
      options.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    m_pid = fork();
    if (m_pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with the case.
      dup2(log, 1);
      dup2(log, 2);
      execv(argv[0], argv.data());
      _exit(127);
    }
    close(log);
  }
  void Signal(int aSignal) const
  {
    if (m_pid > 0) {
      kill(m_pid, aSignal);
    }
  }
  void Kill()
  {
    if (m_pid > 0) {
      kill(m_pid, SIGKILL);
      waitpid(m_pid, nullptr, 0);
      m_pid = -1;
    }
  }
  /// @return the status of the process if it has ended by itself.
  std::optional<int> Ended()
  {
    int status = 0;
    if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
      m_pid = -1;
      return status;
    }
    return std::nullopt;
  }
  bool IsReady() const
  {
    const auto conn = ConnectTo(options.ready);
    Message reply;
    return conn && conn->Write("GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n") &&
           conn->ReadHead(reply, NowMs() + 500, true) && reply.status == 200;
  }

  Options options;

private:
  pid_t m_pid = -1;
};

/// Some instances in two zones, or in one of them.
inline std::vector<std::unique_ptr<Instance>>
StartInstances(int aCount,
               const std::string& aStore,
               const std::string& aDir,
               bool aIsOneZone = false)
{
  std::vector<std::unique_ptr<Instance>> all;
  std::string seeds;
  for (int i = 0; i < aCount; ++i) {
    Instance::Options options;
    options.id = "front-" + std::to_string(i + 1);
    options.zone = i % 2 == 0 || aIsOneZone ? "zone-a" : "zone-b";
    options.regions = "zone-a=north,zone-b=north";
    options.store = aStore;
    options.log = aDir + "/" + options.id + ".log";
    all.push_back(std::make_unique<Instance>(options));
    if (i < 3) {
      seeds += (i == 0 ? "" : ",") + std::string("127.0.0.1:") +
               std::to_string(all.back()->options.control);
    }
  }
  for (auto& one : all) {
    one->options.seeds = seeds;
    one->Start();
  }
  return all;
}

inline bool
AwaitReady(const std::vector<std::unique_ptr<Instance>>& aAll)
{
  for (int i = 0; i < 300; ++i) {
    bool all = true;
    for (const auto& one : aAll) {
      all = all && one->IsReady();
    }
    if (all) {
      return true;
    }
    SleepMs(100);
  }
  return false;
}

/// How a request of a client ended.
struct Outcome
{
  int status = 0; ///< 0: no answer.
  bool complete = false;
  bool connected = true;
  std::string body;
  std::string seal;
  Message head;
  std::int64_t sent = 0, ended = 0;
};

/// Sends one request on a new connection, and reads its answer.
inline Outcome
SendRequest(int aPort,
            const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aHeaders,
            const std::string& aBody,
            std::int64_t aTimeoutMs,
            const std::function<void(const std::string&)>& aOnBytes = {})
{
  Outcome outcome;
  outcome.sent = NowMs();
  const auto conn = ConnectTo(aPort);
  outcome.connected = conn != nullptr;
  std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\n" + aHeaders;
  if (aMethod != "GET") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  text += "\r\n" + aBody;
  if (conn && conn->Write(text)) {
    const std::int64_t until = outcome.sent + aTimeoutMs;
    Message reply;
    if (conn->ReadHead(reply, until, true)) {
      outcome.status = reply.status;
      outcome.seal = reply.Header("X-Response-Seal");
      outcome.complete = conn->ReadBody(reply, until, aOnBytes);
      outcome.body = reply.body;
      outcome.head = reply;
    }
  }
  outcome.ended = NowMs();
  return outcome;
}

inline bool
HasTrouble()
{
  const char* text = getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

} // namespace review

#endif // REVIEW2_PLATFORM_HPP
