// Small stand-ins for the scripts of the review: the platform's store of rows
// (`store`) and a server of a service (`server`).
// They follow PROTOCOL.md. One thread for each connection, blocking calls.

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

using nlohmann::json;
using Clock = std::chrono::steady_clock;

namespace {

std::int64_t
UnixMs()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
    .count();
}
std::int64_t
SteadyMs()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
}
void
SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

// ---------------------------------------------------------------- HTTP

struct Request
{
  std::string method, path;
  std::string status; ///< Of an answer that is read in the same way.
  std::map<std::string, std::string> query, headers;
  std::string body;
};

std::string
Decoded(const std::string& aText)
{
  std::string out;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      out += static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += aText[i];
    }
  }
  return out;
}

/// Reads one request; what follows it stays in `aInput`.
bool
ReadRequest(int aSocket, std::string& aInput, Request& aRequest)
{
  const auto more = [&] {
    char buffer[16384];
    const ssize_t size = ::recv(aSocket, buffer, sizeof buffer, 0);
    if (size <= 0) {
      return false;
    }
    aInput.append(buffer, static_cast<std::size_t>(size));
    return true;
  };
  std::size_t end = 0;
  while ((end = aInput.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return false;
    }
  }
  std::istringstream head(aInput.substr(0, end));
  aInput.erase(0, end + 4);
  aRequest = {};
  std::string line, target;
  std::getline(head, line);
  std::istringstream(line) >> aRequest.method >> target;
  aRequest.status = target;
  const std::size_t mark = target.find('?');
  aRequest.path = target.substr(0, mark);
  if (mark != std::string::npos) {
    std::istringstream query(target.substr(mark + 1));
    for (std::string one; std::getline(query, one, '&');) {
      const std::size_t is = one.find('=');
      aRequest.query[one.substr(0, is)] =
        is == std::string::npos ? "" : Decoded(one.substr(is + 1));
    }
  }
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    for (char& c : name) {
      c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    const std::size_t begin = line.find_first_not_of(' ', colon + 1);
    aRequest.headers[name] =
      begin == std::string::npos ? "" : line.substr(begin);
  }
  std::size_t length = 0;
  if (aRequest.headers.count("content-length") != 0) {
    length = std::stoul(aRequest.headers["content-length"]);
  }
  while (aInput.size() < length) {
    if (!more()) {
      return false;
    }
  }
  aRequest.body = aInput.substr(0, length);
  aInput.erase(0, length);
  return true;
}

bool
SendAll(int aSocket, const std::string& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const ssize_t size =
      ::send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

std::string
Answer(unsigned aStatus, const std::string& aHeaders, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// Listens at a loopback address; -1 if the port is taken there.
int
ListenAt(const char* aAddress, std::uint16_t& aPort)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  ::inet_pton(AF_INET, aAddress, &address.sin_addr);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  aPort = ntohs(address.sin_port);
  return fd;
}

/// Takes the listener's index, the connection and a request.
/// @return whether the connection stays open.
using Handler = std::function<bool(std::size_t, int, const Request&)>;

/// The connections that came in at each listener.
class Connections
{
public:
  void Add(std::size_t aListener, int aSocket)
  {
    const std::lock_guard lock(m_mutex);
    m_open[aListener].insert(aSocket);
  }
  void Close(std::size_t aListener, int aSocket)
  {
    const std::lock_guard lock(m_mutex);
    m_open[aListener].erase(aSocket);
    ::close(aSocket);
  }
  void EndAll(std::size_t aListener)
  {
    const std::lock_guard lock(m_mutex);
    for (const int fd : m_open[aListener]) {
      ::shutdown(fd, SHUT_RDWR);
    }
  }

private:
  std::mutex m_mutex;
  std::map<std::size_t, std::set<int>> m_open;
};

/// Serves at several listeners, for ever.
void
Serve(const std::vector<int>& aListeners,
      const Handler& aHandler,
      Connections& aConnections)
{
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < aListeners.size(); ++i) {
    threads.emplace_back([&, i] {
      for (;;) {
        const int fd = ::accept(aListeners[i], nullptr, nullptr);
        if (fd < 0) { // Its path is cut.
          SleepMs(20);
          continue;
        }
        aConnections.Add(i, fd);
        std::thread([fd, i, &aHandler, &aConnections] {
          const int on = 1;
          ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
          std::string input;
          Request request;
          while (ReadRequest(fd, input, request) && aHandler(i, fd, request)) {
          }
          aConnections.Close(i, fd);
        }).detach();
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void
WriteFile(const std::string& aPath, const std::string& aText)
{
  std::ofstream(aPath + ".draft") << aText;
  std::rename((aPath + ".draft").c_str(), aPath.c_str());
}

std::string
Base64(const std::string& aText)
{
  static const char* const kLetters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    std::uint32_t bits = 0;
    const std::size_t count = std::min<std::size_t>(3, aText.size() - i);
    for (std::size_t j = 0; j < 3; ++j) {
      bits = bits << 8U |
             (j < count ? static_cast<unsigned char>(aText[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += j <= count ? kLetters[bits >> (18 - 6 * j) & 63U] : '=';
    }
  }
  return out;
}

std::string
FromBase64(const std::string& aText)
{
  static const std::string kLetters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char letter : aText) {
    const std::size_t value = kLetters.find(letter);
    if (value == std::string::npos) {
      continue;
    }
    bits = bits << 6U | static_cast<std::uint32_t>(value);
    count += 6;
    if (count >= 8) {
      count -= 8;
      out += static_cast<char>(bits >> static_cast<unsigned>(count) & 255U);
    }
  }
  return out;
}

// ---------------------------------------------------------------- store

constexpr std::size_t kPageRows = 500;
constexpr std::size_t kPageBytes = 1000000;
constexpr std::int64_t kAnswerMs = 4;
constexpr std::int64_t kMaxWaitMs = 30000;

class Store
{
public:
  /// @param aView the network as one machine sees it: the servers are at
  /// 127.0.2.VIEW; 0: at 127.0.0.1.
  std::string Handle(const Request& aRequest, std::size_t aView)
  {
    std::string body;
    unsigned status = 200;
    if (aRequest.path == "/rows-get") {
      SleepMs(kAnswerMs);
      body = Get(aRequest, aView);
    } else if (aRequest.path == "/rows-feed") {
      SleepMs(kAnswerMs);
      body = Feed(aRequest, aView);
    } else if (aRequest.path == "/rows-tx") {
      body = Transact(aRequest, status);
      SleepMs(kAnswerMs);
    } else {
      status = 404;
    }
    return Answer(status, "Content-Type: application/json\r\n", body);
  }

  /// Entries of servers that wrote nothing for so long are removed.
  void RemoveSilentServers(std::int64_t aLapseMs)
  {
    const std::lock_guard lock(m_mutex);
    for (auto& [name, row] : m_rows) {
      if (name.first == "servers" && !row.gone &&
          SteadyMs() - row.written_ms > aLapseMs) {
        row = { "", ++m_ver, true, SteadyMs() };
        m_changed.notify_all();
      }
    }
  }

private:
  struct Row
  {
    std::string value;
    std::uint64_t ver = 0;
    bool gone = false;
    std::int64_t written_ms = 0;
  };
  using Name = std::pair<std::string, std::string>;

  static std::string Find(const Request& aRequest, const char* aName)
  {
    const auto found = aRequest.query.find(aName);
    return found == aRequest.query.end() ? "" : found->second;
  }
  static json ToJson(const Name& aName, const Row& aRow, std::size_t aView)
  {
    json one = { { "table", aName.first },
                 { "part", "" },
                 { "key", aName.second },
                 { "ver", aRow.ver } };
    if (aRow.gone) {
      one["tombstone"] = true;
    } else {
      one["value"] = aRow.value;
      if (aView > 0 && aName.first == "servers") {
        std::string value = FromBase64(aRow.value);
        const std::string from = "\"127.0.0.1:";
        if (const auto at = value.find(from); at != std::string::npos) {
          value.replace(
            at, from.size(), "\"127.0.2." + std::to_string(aView) + ":");
        }
        one["value"] = Base64(value);
      }
    }
    return one;
  }

  std::string Get(const Request& aRequest, std::size_t aView)
  {
    const std::lock_guard lock(m_mutex);
    const std::string table = Find(aRequest, "table");
    json rows = json::array();
    std::size_t bytes = 0;
    bool truncated = false;
    for (auto it = m_rows.lower_bound({ table, Find(aRequest, "from") });
         it != m_rows.end() && it->first.first == table;
         ++it) {
      if (it->second.gone) {
        continue;
      }
      if (rows.size() == kPageRows || bytes > kPageBytes) {
        truncated = true;
        break;
      }
      bytes += it->second.value.size();
      rows.push_back(ToJson(it->first, it->second, aView));
    }
    return json{
      { "rows", rows },
      { "truncated", truncated },
      { "ver", m_ver },
      { "now_ms", SteadyMs() }
    }.dump();
  }

  std::string Feed(const Request& aRequest, std::size_t aView)
  {
    const std::string table = Find(aRequest, "table");
    const std::uint64_t after =
      std::strtoull(Find(aRequest, "after").c_str(), nullptr, 10);
    const std::int64_t wait = std::min<std::int64_t>(
      std::strtoll(Find(aRequest, "wait_ms").c_str(), nullptr, 10), kMaxWaitMs);
    const auto until = Clock::now() + std::chrono::milliseconds(wait);
    std::unique_lock lock(m_mutex);
    std::vector<std::pair<std::uint64_t, Name>> changed;
    const auto look = [&] {
      changed.clear();
      for (auto it = m_rows.lower_bound({ table, "" });
           it != m_rows.end() && it->first.first == table;
           ++it) {
        if (it->second.ver > after) {
          changed.emplace_back(it->second.ver, it->first);
        }
      }
      return !changed.empty();
    };
    while (!look() &&
           m_changed.wait_until(lock, until) != std::cv_status::timeout) {
    }
    look();
    std::sort(changed.begin(), changed.end());
    json rows = json::array();
    for (const auto& [ver, name] : changed) {
      rows.push_back(ToJson(name, m_rows[name], aView));
    }
    return json{
      { "rows", rows }, { "ver", m_ver }, { "now_ms", SteadyMs() }
    }.dump();
  }

  std::string Transact(const Request& aRequest, unsigned& aStatus)
  {
    const json body = json::parse(aRequest.body, nullptr, false);
    const std::lock_guard lock(m_mutex);
    const auto name_of = [](const json& aRow) {
      return Name(aRow.value("table", ""), aRow.value("key", ""));
    };
    json current = json::array();
    for (const json& one : body.value("expected_rev", json::array())) {
      const auto found = m_rows.find(name_of(one));
      const bool there = found != m_rows.end() && !found->second.gone;
      if ((there ? found->second.ver : 0) != one.value("ver", 0ULL)) {
        aStatus = 412;
      }
      if (there) {
        current.push_back(ToJson(found->first, found->second, 0));
      }
    }
    if (aStatus == 412) {
      return json{
        { "rows", current }, { "ver", m_ver }, { "now_ms", SteadyMs() }
      }.dump();
    }
    ++m_ver;
    for (const json& one : body.value("put", json::array())) {
      m_rows[name_of(one)] = {
        one.value("value", ""), m_ver, false, SteadyMs()
      };
    }
    for (const json& one : body.value("remove", json::array())) {
      m_rows[name_of(one)] = { "", m_ver, true, SteadyMs() };
    }
    m_changed.notify_all();
    return json{ { "ver", m_ver }, { "now_ms", SteadyMs() } }.dump();
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<Name, Row> m_rows;
  std::uint64_t m_ver = 0;
};

// ---------------------------------------------------------------- servers

/// One kept connection to the store, for writes.
class StoreWriter
{
public:
  explicit StoreWriter(std::uint16_t aPort)
    : m_port(aPort)
  {
  }
  void Put(const json& aPuts)
  {
    const std::string body = json{ { "put", aPuts } }.dump();
    const std::string text = "POST /rows-tx HTTP/1.1\r\nHost: s\r\n"
                             "Content-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body;
    for (int i = 0; i < 2; ++i) {
      if (m_fd < 0) {
        Connect();
      }
      if (SendAll(m_fd, text) && ReadAnswer()) {
        return;
      }
      ::close(m_fd);
      m_fd = -1;
    }
  }

private:
  void Connect()
  {
    m_fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::connect(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
    const int on = 1;
    ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  bool ReadAnswer()
  {
    std::string input;
    Request answer; // The same form, but for its first line.
    return ReadRequest(m_fd, input, answer);
  }

  std::uint16_t m_port;
  int m_fd = -1;
};

/// One server: registers itself, answers requests, and ends like a crashed
/// process when it begins to run a request with POISON in its body. A request
/// for a path with `/stream/` gets EVENTS events, one in EVENT_MS, in an answer
/// without a length that ends with its connection.
[[noreturn]] void
RunServer(char** argv)
{
  // server STORE_PORT SERVICE ZONE ID WORK_MS BEAT_MS DIRECTORY POISON EVENTS
  // VIEWS. In DIRECTORY, `runs` is the log, and the file cut-ID-N cuts the
  // path of machine N for as long as it is there: its connections are ended and
  // refused. While the file spoil-ID is there, one answer in 20 to requests for
  // streams is bytes without an end.
  const auto store = static_cast<std::uint16_t>(std::stoi(argv[2]));
  const std::string service = argv[3];
  const std::string zone = argv[4];
  const std::string id = argv[5];
  const std::int64_t work_ms = std::stoll(argv[6]);
  const std::int64_t beat_ms = std::stoll(argv[7]);
  const std::string directory = argv[8];
  std::ofstream log(directory + "/runs", std::ios::app);
  const std::string poison = argv[9];
  const int events = std::stoi(argv[10]);
  const std::size_t views = std::stoul(argv[11]);
  constexpr std::int64_t kEventMs = 200;
  constexpr int kCrashStatus = 70;
  constexpr std::int64_t kCrashAfterMs = 20;
  // One answer in 20, bytes as fast as a link of 1,000 Mbit/s carries.
  constexpr int kSpoiltOf = 20;
  constexpr std::size_t kBytesAMs = 125000;
  constexpr std::int64_t kSpoilStepMs = 2;
  std::atomic<int> spoilt{ kSpoiltOf / 2 };
  std::uint16_t port = 0;
  std::vector<int> listeners;
  while (listeners.empty()) { // Until a port is free at all addresses.
    port = 0;
    listeners.push_back(ListenAt("127.0.0.1", port));
    for (std::size_t i = 1; i <= views; ++i) {
      listeners.push_back(
        ListenAt(("127.0.2." + std::to_string(i)).c_str(), port));
    }
    if (std::count(listeners.begin(), listeners.end(), -1) > 0) {
      std::for_each(listeners.begin(), listeners.end(), ::close);
      listeners.clear();
    }
  }
  std::mutex mutex;
  const auto write = [&](const std::string& aLine) {
    const std::lock_guard lock(mutex);
    log << UnixMs() << ' ' << aLine << std::endl;
  };
  Connections connections;
  std::thread([&] {
    std::set<std::size_t> cut;
    for (;; SleepMs(20)) {
      for (std::size_t i = 1; i <= views; ++i) {
        const std::string name =
          directory + "/cut-" + id + "-" + std::to_string(i);
        const bool is_cut = std::ifstream(name).good();
        if (is_cut && cut.insert(i).second) {
          ::shutdown(listeners[i], SHUT_RDWR); // New connections are refused.
          connections.EndAll(i);
        } else if (!is_cut && cut.erase(i) > 0) {
          ::listen(listeners[i], 512);
        }
      }
    }
  }).detach();
  std::thread([&] {
    StoreWriter writer(store);
    for (std::uint64_t sequence = 1;; ++sequence) {
      const json value = { { "service", service },
                           { "address", "127.0.0.1:" + std::to_string(port) },
                           { "zone", zone },
                           { "version", "v1" },
                           { "slots", 8 },
                           { "state", "ready" },
                           { "cold_remaining_ms", 0 },
                           { "sequence", sequence } };
      writer.Put(json::array({ { { "table", "servers" },
                                 { "part", "" },
                                 { "key", id },
                                 { "value", Base64(value.dump()) } } }));
      SleepMs(beat_ms);
    }
  }).detach();
  const Handler handle = [&](
                           std::size_t, int aSocket, const Request& aRequest) {
    const auto header = [&](const char* aName) {
      const auto found = aRequest.headers.find(aName);
      return found == aRequest.headers.end() ? std::string() : found->second;
    };
    const std::string attempt = header("x-attempt-id");
    const std::string echo =
      "X-Attempt-Id: " + attempt + "\r\nX-Instance-Id: " + id + "\r\n";
    const std::string sealed = echo + "X-Response-Seal: 1." + attempt + "\r\n";
    const std::string expected = header("x-expect-instance");
    if (!expected.empty() && expected != id) {
      return SendAll(aSocket, Answer(421, echo + "X-Not-Executed: 1\r\n", ""));
    }
    write("run " + attempt + " at " + id + " for " + header("x-tenant") + ' ' +
          aRequest.path);
    if (!poison.empty() && aRequest.body.find(poison) != std::string::npos) {
      SleepMs(kCrashAfterMs);
      write("crash " + attempt + " at " + id);
      std::_Exit(kCrashStatus);
    }
    const bool is_stream = aRequest.path.find("/stream/") != std::string::npos;
    if (is_stream && std::ifstream(directory + "/spoil-" + id).good() &&
        ++spoilt % kSpoiltOf == 0) {
      write("spoils its answer to " + attempt + " at " + id);
      bool is_read = SendAll(aSocket,
                             "HTTP/1.1 200 OK\r\n" + sealed +
                               "Content-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n5;");
      const std::string bytes(kBytesAMs * kSpoilStepMs, 'a');
      const auto begun = Clock::now();
      std::size_t sent = 0;
      for (int step = 1; is_read; ++step) {
        is_read = SendAll(aSocket, bytes);
        sent += bytes.size();
        std::this_thread::sleep_until(
          begun + std::chrono::milliseconds(step * kSpoilStepMs));
      }
      write("its connection has ended after " + std::to_string(sent) +
            " bytes to " + attempt + " at " + id);
      return false;
    }
    if (is_stream) {
      bool is_read = SendAll(aSocket,
                             "HTTP/1.1 200 OK\r\n" + sealed +
                               "Content-Type: text/event-stream\r\n"
                               "Connection: close\r\n\r\n");
      int made = 0;
      while (is_read && made < events) {
        SleepMs(kEventMs);
        ++made;
        const std::string number = std::to_string(made);
        is_read = SendAll(aSocket,
                          "id: " + number + "\ndata: piece " + number + " of " +
                            std::to_string(events) + "\n\n");
      }
      write("sent " + std::to_string(made) + " of " + std::to_string(events) +
            " events to " + attempt + " at " + id);
      return false;
    }
    SleepMs(work_ms);
    return SendAll(aSocket,
                   Answer(200, sealed + "X-Server-Load: 1,0,8\r\n", "done\n"));
  };
  Serve(listeners, handle, connections);
  std::exit(2);
}

/// A caller that keeps its connection: sends one request after the other until
/// the file STOP is there, and logs how each ended.
[[noreturn]] void
RunClient(char** argv)
{
  // client ADDRESS PORT PATH KEY NAME LOG STOP
  const auto port = static_cast<std::uint16_t>(std::stoi(argv[3]));
  const std::string path = argv[4];
  const std::string key = argv[5];
  const std::string name = argv[6];
  std::ofstream log(argv[7], std::ios::app);
  const std::string stop = argv[8];
  constexpr std::int64_t kAgainMs = 100;
  int number = 0;
  while (!std::ifstream(stop).good()) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, argv[2], &address.sin_addr);
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
        0) {
      ::close(fd);
      SleepMs(kAgainMs);
      continue;
    }
    for (int on_connection = 1; !std::ifstream(stop).good(); ++on_connection) {
      const std::string id = name + "-" + std::to_string(++number);
      const std::string text = "POST " + path +
                               " HTTP/1.1\r\nHost: a.example\r\n"
                               "X-Attempt-Id: " +
                               id +
                               "\r\nX-Deadline-Ms: 12000\r\n"
                               "Authorization: Token " +
                               key + "\r\nContent-Length: 4\r\n\r\ndata";
      Request answer; // Its first line is `HTTP/1.1 STATUS ...`.
      std::string input;
      const bool is_answered =
        SendAll(fd, text) && ReadRequest(fd, input, answer);
      log << UnixMs() << ' ' << id << " request " << on_connection
          << " of its connection: "
          << (is_answered ? answer.status : "closed without an answer")
          << std::endl;
      if (!is_answered || answer.headers.count("transfer-encoding") != 0 ||
          answer.headers["connection"] == "close") {
        break;
      }
      if (answer.status != "200") {
        SleepMs(kAgainMs);
      }
    }
    ::close(fd);
  }
  std::exit(0);
}

} // namespace

int
main(int argc, char** argv)
{
  std::signal(SIGPIPE, SIG_IGN);
  const std::string kind = argc > 1 ? argv[1] : "";
  if (kind == "store" && argc == 5) { // store READY LAPSE_MS VIEWS
    // One port for the operator and the servers, one for each machine.
    const std::size_t views = std::stoul(argv[4]);
    std::vector<int> listeners;
    std::string ports;
    for (std::size_t i = 0; i <= views; ++i) {
      std::uint16_t port = 0;
      listeners.push_back(ListenAt("127.0.0.1", port));
      ports += std::to_string(port) + (i == views ? "\n" : " ");
    }
    WriteFile(argv[2], ports);
    Store store;
    std::thread([&store, lapse_ms = std::stoll(argv[3])] {
      for (;;) {
        SleepMs(100);
        store.RemoveSilentServers(lapse_ms);
      }
    }).detach();
    Connections connections;
    Serve(
      listeners,
      [&](std::size_t aView, int aSocket, const Request& aRequest) {
        return SendAll(aSocket, store.Handle(aRequest, aView));
      },
      connections);
  } else if (kind == "server" && argc == 12) {
    RunServer(argv);
  } else if (kind == "client" && argc == 9) {
    RunClient(argv);
  }
  std::cerr << "usage: review_standin store READY LAPSE_MS VIEWS | server ... "
               "| client ...\n";
  return 2;
}
