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

int
Listen(std::uint16_t& aPort)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, 512) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  aPort = ntohs(address.sin_port);
  return fd;
}

using Handler = std::function<std::string(std::size_t, const Request&)>;

/// Accepts at several listeners; the handler gets the listener's index.
void
Serve(const std::vector<int>& aListeners, const Handler& aHandler)
{
  std::vector<pollfd> polled;
  for (const int fd : aListeners) {
    polled.push_back({ fd, POLLIN, 0 });
  }
  for (;;) {
    if (::poll(polled.data(), polled.size(), -1) <= 0) {
      continue;
    }
    for (std::size_t i = 0; i < polled.size(); ++i) {
      if ((polled[i].revents & POLLIN) == 0) {
        continue;
      }
      const int fd = ::accept(polled[i].fd, nullptr, nullptr);
      if (fd < 0) {
        continue;
      }
      std::thread([fd, i, &aHandler] {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::string input;
        Request request;
        while (ReadRequest(fd, input, request)) {
          if (!SendAll(fd, aHandler(i, request))) {
            break;
          }
        }
        ::close(fd);
      }).detach();
    }
  }
}

void
WriteFile(const std::string& aPath, const std::string& aText)
{
  std::ofstream(aPath + ".draft") << aText;
  std::rename((aPath + ".draft").c_str(), aPath.c_str());
}

// ---------------------------------------------------------------- store

constexpr std::size_t kPageRows = 500;
constexpr std::size_t kPageBytes = 1000000;
constexpr std::int64_t kAnswerMs = 4;
constexpr std::int64_t kMaxWaitMs = 30000;

class Store
{
public:
  std::string Handle(const Request& aRequest)
  {
    std::string body;
    unsigned status = 200;
    if (aRequest.path == "/rows-get") {
      SleepMs(kAnswerMs);
      body = Get(aRequest);
    } else if (aRequest.path == "/rows-feed") {
      SleepMs(kAnswerMs);
      body = Feed(aRequest);
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
  static json ToJson(const Name& aName, const Row& aRow)
  {
    json one = { { "table", aName.first },
                 { "part", "" },
                 { "key", aName.second },
                 { "ver", aRow.ver } };
    if (aRow.gone) {
      one["tombstone"] = true;
    } else {
      one["value"] = aRow.value;
    }
    return one;
  }

  std::string Get(const Request& aRequest)
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
      rows.push_back(ToJson(it->first, it->second));
    }
    return json{ { "rows", rows },
                 { "truncated", truncated },
                 { "ver", m_ver },
                 { "now_ms", SteadyMs() } }
      .dump();
  }

  std::string Feed(const Request& aRequest)
  {
    const std::string table = Find(aRequest, "table");
    const std::uint64_t after = std::strtoull(
      Find(aRequest, "after").c_str(), nullptr, 10);
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
    while (!look() && m_changed.wait_until(lock, until) !=
                        std::cv_status::timeout) {
    }
    look();
    std::sort(changed.begin(), changed.end());
    json rows = json::array();
    for (const auto& [ver, name] : changed) {
      rows.push_back(ToJson(name, m_rows[name]));
    }
    return json{ { "rows", rows }, { "ver", m_ver }, { "now_ms", SteadyMs() } }
      .dump();
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
        current.push_back(ToJson(found->first, found->second));
      }
    }
    if (aStatus == 412) {
      return json{ { "rows", current },
                   { "ver", m_ver },
                   { "now_ms", SteadyMs() } }
        .dump();
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
/// process when it begins to run a request with POISON in its body.
[[noreturn]] void
RunServer(char** argv)
{
  // server STORE_PORT SERVICE ZONE ID WORK_MS BEAT_MS LOG POISON
  const auto store = static_cast<std::uint16_t>(std::stoi(argv[2]));
  const std::string service = argv[3];
  const std::string zone = argv[4];
  const std::string id = argv[5];
  const std::int64_t work_ms = std::stoll(argv[6]);
  const std::int64_t beat_ms = std::stoll(argv[7]);
  std::ofstream log(argv[8], std::ios::app);
  const std::string poison = argv[9];
  constexpr int kCrashStatus = 70;
  constexpr std::int64_t kCrashAfterMs = 20;
  std::uint16_t port = 0;
  const int listener = Listen(port);
  std::mutex mutex;
  const auto write = [&](const std::string& aLine) {
    const std::lock_guard lock(mutex);
    log << UnixMs() << ' ' << aLine << std::endl;
  };
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
  Serve({ listener }, [&](std::size_t, const Request& aRequest) {
    const auto header = [&](const char* aName) {
      const auto found = aRequest.headers.find(aName);
      return found == aRequest.headers.end() ? std::string() : found->second;
    };
    const std::string attempt = header("x-attempt-id");
    const std::string echo =
      "X-Attempt-Id: " + attempt + "\r\nX-Instance-Id: " + id + "\r\n";
    const std::string expected = header("x-expect-instance");
    if (!expected.empty() && expected != id) {
      return Answer(421, echo + "X-Not-Executed: 1\r\n", "");
    }
    write("run " + attempt + " at " + id + " for " + header("x-tenant") + ' ' +
          aRequest.path);
    if (aRequest.body.find(poison) != std::string::npos) {
      SleepMs(kCrashAfterMs);
      write("crash " + attempt + " at " + id);
      std::_Exit(kCrashStatus);
    }
    SleepMs(work_ms);
    return Answer(200,
                  echo + "X-Response-Seal: 1." + attempt +
                    "\r\nX-Server-Load: 1,0,8\r\n",
                  "done\n");
  });
  std::exit(2);
}

} // namespace

int
main(int argc, char** argv)
{
  std::signal(SIGPIPE, SIG_IGN);
  const std::string kind = argc > 1 ? argv[1] : "";
  if (kind == "store" && argc == 4) { // store READY LAPSE_MS
    std::uint16_t port = 0;
    const int fd = Listen(port);
    WriteFile(argv[2], std::to_string(port) + "\n");
    Store store;
    std::thread([&store, lapse_ms = std::stoll(argv[3])] {
      for (;;) {
        SleepMs(100);
        store.RemoveSilentServers(lapse_ms);
      }
    }).detach();
    Serve({ fd }, [&](std::size_t, const Request& aRequest) {
      return store.Handle(aRequest);
    });
  } else if (kind == "server" && argc == 10) {
    RunServer(argv);
  }
  std::cerr << "usage: review_standin store READY LAPSE_MS | server ...\n";
  return 2;
}
