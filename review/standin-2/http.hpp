// HTTP/1.1 over plain sockets, for the stand-ins of this review: a server with
// one thread for each connection, and a blocking client.
#ifndef REVIEW2_HTTP_HPP
#define REVIEW2_HTTP_HPP

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <strings.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kStart = Clock::now();

inline std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kStart)
    .count();
}
inline void
SleepMs(std::int64_t aMs)
{
  if (aMs > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
  }
}
inline void
SleepUntilMs(std::int64_t aAt)
{
  SleepMs(aAt - NowMs());
}

struct Message
{
  std::string method, target, path, query;
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Header(const char* aName) const
  {
    for (const auto& [name, value] : headers) {
      if (strcasecmp(name.c_str(), aName) == 0) {
        return value;
      }
    }
    return "";
  }
  std::string Query(const std::string& aName) const
  {
    std::size_t at = 0;
    while (at < query.size()) {
      const std::size_t end = std::min(query.find('&', at), query.size());
      const std::string one = query.substr(at, end - at);
      const std::size_t equals = one.find('=');
      if (equals != std::string::npos && one.substr(0, equals) == aName) {
        return Decode(one.substr(equals + 1));
      }
      at = end + 1;
    }
    return "";
  }
  static std::string Decode(const std::string& aText)
  {
    std::string text;
    for (std::size_t i = 0; i < aText.size(); ++i) {
      if (aText[i] == '%' && i + 2 < aText.size()) {
        text +=
          static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        text += aText[i];
      }
    }
    return text;
  }
};

/// One end of a connection.
class Conn
{
public:
  explicit Conn(int aFd)
    : m_fd(aFd)
  {
    const int one = 1;
    setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  ~Conn() { close(m_fd); }
  Conn(const Conn&) = delete;
  Conn& operator=(const Conn&) = delete;

  /// Reads more bytes. @return false at the end, an error or the time limit.
  bool Fill(std::int64_t aUntilMs)
  {
    pollfd one{ m_fd, POLLIN, 0 };
    const std::int64_t left = aUntilMs - NowMs();
    if (left <= 0 || poll(&one, 1, static_cast<int>(left)) <= 0) {
      is_late = left <= 0 || one.revents == 0;
      return false;
    }
    char chunk[16384];
    const ssize_t size = recv(m_fd, chunk, sizeof(chunk), 0);
    if (size <= 0) {
      was_reset = size < 0;
      return false;
    }
    m_input.append(chunk, static_cast<std::size_t>(size));
    return true;
  }
  bool ReadHead(Message& aMessage, std::int64_t aUntilMs, bool aIsReply)
  {
    std::size_t end;
    while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aUntilMs)) {
        return false;
      }
    }
    const std::string head = m_input.substr(0, end);
    m_input.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    const std::string first = head.substr(0, at);
    aMessage = {};
    const std::size_t one = first.find(' ');
    const std::size_t two = first.find(' ', one + 1);
    if (aIsReply) {
      aMessage.status = std::stoi(first.substr(one + 1, 3));
    } else {
      aMessage.method = first.substr(0, one);
      aMessage.target = first.substr(one + 1, two - one - 1);
      const std::size_t mark = aMessage.target.find('?');
      aMessage.path = aMessage.target.substr(0, mark);
      aMessage.query =
        mark == std::string::npos ? "" : aMessage.target.substr(mark + 1);
    }
    while (at != std::string::npos) {
      const std::size_t begin = at + 2;
      at = head.find("\r\n", begin);
      const std::string line = head.substr(
        begin, at == std::string::npos ? std::string::npos : at - begin);
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      const std::size_t value = line.find_first_not_of(" \t", colon + 1);
      aMessage.headers.emplace_back(
        line.substr(0, colon),
        value == std::string::npos ? "" : line.substr(value));
    }
    return true;
  }
  /// Reads a body by its length or in chunks; `aOnBytes` is told of each piece.
  /// @return whether it is complete.
  bool ReadBody(Message& aMessage,
                std::int64_t aUntilMs,
                const std::function<void(const std::string&)>& aOnBytes = {})
  {
    const auto add = [&](const std::string& aBytes) {
      aMessage.body += aBytes;
      if (aOnBytes) {
        aOnBytes(aBytes);
      }
    };
    if (strcasecmp(aMessage.Header("Transfer-Encoding").c_str(), "chunked") ==
        0) {
      for (;;) {
        std::size_t end;
        while ((end = m_input.find("\r\n")) == std::string::npos) {
          if (!Fill(aUntilMs)) {
            return false;
          }
        }
        const std::size_t size =
          std::stoul(m_input.substr(0, end), nullptr, 16);
        while (m_input.size() < end + 2 + size + 2) {
          if (!Fill(aUntilMs)) {
            return false;
          }
        }
        if (size > 0) {
          add(m_input.substr(end + 2, size));
        }
        m_input.erase(0, end + 2 + size + 2);
        if (size == 0) {
          return true;
        }
      }
    }
    const std::string text = aMessage.Header("Content-Length");
    const std::size_t length = text.empty() ? 0 : std::stoul(text);
    while (m_input.size() < length) {
      if (!Fill(aUntilMs)) {
        return false;
      }
    }
    add(m_input.substr(0, length));
    m_input.erase(0, length);
    return true;
  }
  bool ReadRequest(Message& aMessage, std::int64_t aIdleMs)
  {
    return ReadHead(aMessage, NowMs() + aIdleMs, false) &&
           ReadBody(aMessage, NowMs() + 20000);
  }
  bool Write(const std::string& aBytes)
  {
    std::size_t at = 0;
    while (at < aBytes.size()) {
      const ssize_t size =
        send(m_fd, aBytes.data() + at, aBytes.size() - at, MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      at += static_cast<std::size_t>(size);
    }
    return true;
  }
  bool Reply(int aStatus, const std::string& aHeaders, const std::string& aBody)
  {
    return Write("HTTP/1.1 " + std::to_string(aStatus) + " -\r\n" + aHeaders +
                 "Content-Length: " + std::to_string(aBody.size()) +
                 "\r\n\r\n" + aBody);
  }
  bool WriteChunk(const std::string& aBytes)
  {
    char size[32];
    snprintf(size, sizeof(size), "%zx\r\n", aBytes.size());
    return Write(size + aBytes + "\r\n");
  }
  /// @return whether the other side has closed the connection.
  bool IsGone() const
  {
    pollfd one{ m_fd, POLLIN | POLLRDHUP, 0 };
    if (poll(&one, 1, 0) <= 0) {
      return false;
    }
    if (one.revents & (POLLHUP | POLLERR | POLLRDHUP)) {
      return true;
    }
    char byte;
    return recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }
  void Reset()
  {
    const linger now{ 1, 0 };
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    shutdown(m_fd, SHUT_RDWR);
  }
  int Fd() const { return m_fd; }

  bool is_late = false;   ///< The last Fill() reached its time limit.
  bool was_reset = false; ///< It met an error.

private:
  int m_fd;
  std::string m_input;
};

inline sockaddr_in
Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// @return a port that was free a moment ago, below those that the system gives
/// to outgoing connections, so that a process can be started there again.
inline int
FreePort()
{
  static std::mutex mutex;
  static std::set<int> given;
  static unsigned next = unsigned(getpid()) * 37U;
  const std::lock_guard lock(mutex);
  for (int i = 0; i < 2000; ++i) {
    const int port = 12000 + int(next++ % 20000U);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    const bool is_free =
      bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) ==
      0;
    close(fd);
    if (is_free && given.insert(port).second) {
      return port;
    }
  }
  return 0;
}

/// @return a connection to a port of loopback; null if there is none.
inline std::unique_ptr<Conn>
ConnectTo(int aPort)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(aPort);
  if (connect(fd,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return nullptr;
  }
  return std::make_unique<Conn>(fd);
}

/// Listens on loopback and handles each connection in a thread of its own.
class Server
{
public:
  using Handler = std::function<bool(Conn&, Message&)>; ///< @return keep open.

  explicit Server(Handler aHandler, int aPort = 0)
    : m_handler(std::move(aHandler))
    , m_port(aPort)
  {
    Listen();
  }
  ~Server() { Stop(); }
  int Port() const { return m_port; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(m_port); }

  /// Ends as a process that is killed: no listener, all connections reset.
  void Stop()
  {
    if (m_fd < 0) {
      return;
    }
    const int fd = m_fd;
    m_fd = -1;
    shutdown(fd, SHUT_RDWR);
    if (m_acceptor.joinable()) {
      m_acceptor.join();
    }
    close(fd);
    const std::lock_guard lock(m_shared->mutex);
    for (Conn* one : m_shared->open) {
      one->Reset();
    }
  }
  void Listen()
  {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in address = Loopback(m_port);
    for (int i = 0; i < 200; ++i) {
      if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
          0) {
        break;
      }
      SleepMs(10);
    }
    listen(fd, 256);
    socklen_t size = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_fd = fd;
    m_acceptor = std::thread([this, fd] { Accept(fd); });
  }

private:
  struct Shared
  {
    std::mutex mutex;
    std::set<Conn*> open;
  };

  void Accept(int aFd)
  {
    for (;;) {
      const int fd = accept4(aFd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      std::thread([handler = m_handler, shared = m_shared, fd] {
        Conn conn(fd);
        {
          const std::lock_guard lock(shared->mutex);
          shared->open.insert(&conn);
        }
        try {
          Message request;
          while (conn.ReadRequest(request, 60000) && handler(conn, request)) {
          }
        } catch (const std::exception&) {
        }
        const std::lock_guard lock(shared->mutex);
        shared->open.erase(&conn);
      }).detach();
    }
  }

  Handler m_handler;
  std::shared_ptr<Shared> m_shared = std::make_shared<Shared>();
  int m_port;
  std::atomic<int> m_fd{ -1 };
  std::thread m_acceptor;
};

} // namespace review

#endif // REVIEW2_HTTP_HPP
