#include "jujubehead/net/http_server.hpp"

#include <algorithm> // for erase_if
#include <utility>   // for move
#include <vector>    // for vector

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/ip/tcp.hpp>        // for tcp
#include <boost/asio/use_awaitable.hpp> // for use_awaitable

#include "http_connection.hpp" // for HttpConnection

#include "jujubehead/core/overload/connection_choice.hpp" // for ConnectionChoice

#include "jujubehead/net/timer.hpp" // for Sleep

namespace jujubehead::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// More than any machine has.
constexpr std::size_t kUnlimitedBytes = std::size_t(1) << 48U;

/// The pause after a failed accept, most often for want of descriptors.
constexpr core::Duration kAcceptPause = std::chrono::milliseconds(20);

constexpr std::string_view kTooManyConnections =
  "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
  "Connection: close\r\nContent-Length: 0\r\n\r\n";

using ReusePort =
  asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

tcp::acceptor
Bind(asio::io_context& aContext, const HttpServerOptions& aOptions)
{
  const tcp::endpoint endpoint(asio::ip::make_address(aOptions.address),
                               aOptions.port);
  tcp::acceptor acceptor(aContext);
  acceptor.open(endpoint.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  if (aOptions.reuse_port) {
    acceptor.set_option(ReusePort(true));
  }
  if (aOptions.receive_buffer_bytes != 0) {
    // Inherited by the connections that are accepted.
    acceptor.set_option(asio::socket_base::receive_buffer_size(
      static_cast<int>(aOptions.receive_buffer_bytes)));
  }
  acceptor.bind(endpoint);
  acceptor.listen();
  return acceptor;
}

/// @brief The accepting side, kept alive by its own coroutine.
class Listener : public std::enable_shared_from_this<Listener>
{
public:
  Listener(tcp::acceptor aAcceptor, std::shared_ptr<HttpServerShared> aShared)
    : m_acceptor(std::move(aAcceptor))
    , m_shared(std::move(aShared))
    , m_port(m_acceptor.local_endpoint().port())
  {
  }

  asio::awaitable<void> Run()
  {
    while (m_acceptor.is_open()) {
      auto [error, socket] =
        co_await m_acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
      if (!error) {
        Serve(std::move(socket));
      } else if (m_acceptor.is_open()) {
        co_await Sleep(kAcceptPause);
      }
    }
  }

  void StopAccepting()
  {
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_shared->stopping = true;
    for (const auto& connection : Open()) {
      connection->Drain();
    }
  }

  void CloseAll()
  {
    StopAccepting();
    for (const auto& connection : Open()) {
      connection->Close();
    }
  }

  [[nodiscard]] std::size_t OpenCount() const { return *m_open; }
  [[nodiscard]] std::uint16_t Port() const { return m_port; }

private:
  void Serve(tcp::socket aSocket)
  {
    boost::system::error_code ignored;
    aSocket.set_option(tcp::no_delay(true), ignored);
    if (!MakeRoom()) {
      Refuse(std::move(aSocket));
      return;
    }
    const auto executor = aSocket.get_executor();
    const auto& tls = m_shared->options.tls;
    auto connection = std::make_shared<HttpConnection>(
      tls ? ByteStream(std::move(aSocket), tls->Current())
          : ByteStream(std::move(aSocket)),
      m_shared);
    Remember(connection);
    asio::co_spawn(
      executor, RunCounted(std::move(connection), m_open), asio::detached);
  }

  /// @return whether one more connection may be served.
  bool MakeRoom()
  {
    const HttpServerOptions& options = m_shared->options;
    if (*m_open < options.max_connections) {
      return true;
    }
    core::ConnectionChoice<HttpConnection> choice(core::RuntimeClock::now(),
                                                  options.idle_timeout);
    const auto open = Open();
    for (const auto& connection : open) {
      choice.Consider(*connection, connection->State());
    }
    HttpConnection* const chosen = choice.Chosen();
    options.on_limit(chosen != nullptr ? ServerLimit::kIdleConnection
                                       : ServerLimit::kConnectionCount);
    if (chosen != nullptr) {
      chosen->Yield();
    }
    return chosen != nullptr;
  }

  void Refuse(tcp::socket aSocket)
  {
    boost::system::error_code ignored;
    if (!m_shared->options.tls) {
      aSocket.non_blocking(true, ignored);
      aSocket.write_some(asio::buffer(kTooManyConnections), ignored);
    }
    aSocket.shutdown(tcp::socket::shutdown_send, ignored);
  }

  static asio::awaitable<void> RunCounted(
    std::shared_ptr<HttpConnection> aConnection,
    std::shared_ptr<std::size_t> aOpen)
  {
    ++*aOpen;
    co_await aConnection->Run();
    --*aOpen;
  }

  /// Ended connections are forgotten when the list has doubled since.
  void Remember(const std::shared_ptr<HttpConnection>& aConnection)
  {
    if (m_connections.size() >= m_sweep_at) {
      std::erase_if(m_connections,
                    [](const auto& aEntry) { return aEntry.expired(); });
      m_sweep_at = 2 * m_connections.size() + kFirstSweep;
    }
    m_connections.push_back(aConnection);
  }

  [[nodiscard]] std::vector<std::shared_ptr<HttpConnection>> Open() const
  {
    std::vector<std::shared_ptr<HttpConnection>> open;
    for (const auto& entry : m_connections) {
      if (auto connection = entry.lock()) {
        open.push_back(std::move(connection));
      }
    }
    return open;
  }

  static constexpr std::size_t kFirstSweep = 64;

  tcp::acceptor m_acceptor;
  std::shared_ptr<HttpServerShared> m_shared;
  std::uint16_t m_port;
  std::shared_ptr<std::size_t> m_open = std::make_shared<std::size_t>(0);
  std::vector<std::weak_ptr<HttpConnection>> m_connections;
  std::size_t m_sweep_at = kFirstSweep;
};

class Server final : public HttpServer
{
public:
  explicit Server(std::shared_ptr<Listener> aListener)
    : m_listener(std::move(aListener))
  {
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  Server(Server&&) = delete;
  Server& operator=(Server&&) = delete;
  ~Server() override { m_listener->CloseAll(); }

  [[nodiscard]] std::uint16_t Port() const override
  {
    return m_listener->Port();
  }
  void StopAccepting() override { m_listener->StopAccepting(); }
  [[nodiscard]] std::size_t OpenConnections() const override
  {
    return m_listener->OpenCount();
  }

private:
  std::shared_ptr<Listener> m_listener;
};

} // namespace

std::unique_ptr<HttpServer>
HttpServer::Create(asio::io_context& aContext,
                   HttpServerOptions aOptions,
                   HttpHandler aHandler)
{
  tcp::acceptor acceptor = Bind(aContext, aOptions);
  auto shared = std::make_shared<HttpServerShared>();
  shared->options = std::move(aOptions);
  if (!shared->options.memory) {
    shared->options.memory =
      std::make_shared<core::MemoryBudget>(kUnlimitedBytes);
  }
  shared->handler = std::move(aHandler);
  auto listener =
    std::make_shared<Listener>(std::move(acceptor), std::move(shared));
  asio::co_spawn(
    aContext,
    [listener]() -> asio::awaitable<void> { co_await listener->Run(); },
    asio::detached);
  return std::make_unique<Server>(std::move(listener));
}

} // namespace jujubehead::net
