#ifndef JUJUBEHEAD_NET_HTTP_SERVER_HPP
#define JUJUBEHEAD_NET_HTTP_SERVER_HPP

#include <cstddef>    // for size_t
#include <cstdint>    // for uint8_t, uint16_t
#include <functional> // for function
#include <memory>     // for unique_ptr, shared_ptr
#include <string>     // for string

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/overload/memory_budget.hpp" // for MemoryBudget
#include "jujubehead/core/runtime_clock.hpp"          // for Duration
#include "jujubehead/net/http_message.hpp" // for HttpRequest, HttpResponse
#include "jujubehead/net/tls.hpp"          // for TlsCredentials

namespace jujubehead::net {

/// @brief One request and its reply, on the thread of its connection.
///
/// Either Send() once, or StartStream(), any number of WriteChunk(), and
/// EndStream(). Writes complete only when the caller's socket took the bytes,
/// so that a slow reader holds its writer back. All of them throw
/// boost::system::system_error when the caller is gone.
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;

  [[nodiscard]] virtual const HttpRequest& Request() const = 0;
  /// @brief Moves the request's body out, so that it is not kept for as long as
  /// the reply lasts. @return the body; empty the next time.
  virtual std::string TakeBody() = 0;
  virtual boost::asio::awaitable<void> Send(HttpResponse aResponse) = 0;
  virtual boost::asio::awaitable<void> StartStream(unsigned aStatus,
                                                   HttpHeaders aHeaders) = 0;
  virtual boost::asio::awaitable<void> WriteChunk(std::string_view aBytes) = 0;
  virtual boost::asio::awaitable<void> EndStream() = 0;
  /// @return whether Send() or StartStream() was called.
  [[nodiscard]] virtual bool HasStarted() const = 0;
  /// @brief Called once, on this thread, when the caller closes its connection
  /// before the reply is complete. An empty function removes it.
  virtual void OnCallerGone(std::function<void()> aCallback) = 0;
  /// @brief Closes the connection now, without (the rest of) a reply.
  virtual void Close() = 0;
  /// @brief Reserves memory for what the handler holds for the request, its
  /// body included, in place of what was reserved before.
  /// @return whether there is room.
  virtual bool Reserve(std::size_t aBytes) = 0;
};

/// @brief A limit that a server met.
enum class ServerLimit : std::uint8_t
{
  kMemory,          ///< A request was refused for want of memory.
  kIdleConnection,  ///< A connection was closed to make room for another.
  kConnectionCount, ///< A new connection was refused.
};

using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;

/// @brief Limits and address of a server. Zero port: the system picks one.
struct HttpServerOptions
{
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  std::size_t header_limit = 16UL * 1024;     ///< Bytes.
  std::size_t body_limit = 8UL * 1024 * 1024; ///< Bytes.
  core::Duration header_timeout = std::chrono::seconds(10);
  core::Duration body_timeout = std::chrono::seconds(30);
  core::Duration idle_timeout = std::chrono::seconds(60);
  /// A write that makes no progress for this long closes the connection.
  core::Duration write_timeout = std::chrono::seconds(120);
  /// Several servers on one port, one a traffic thread.
  bool reuse_port = false;
  /// Bounds what the connections hold together; null: no limit.
  std::shared_ptr<core::MemoryBudget> memory = nullptr;
  std::size_t max_connections = 65536;
  /// What the kernel keeps of a connection's bytes until they are read; 0: its
  /// default.
  std::size_t receive_buffer_bytes = 0;
  /// Called for each request or connection that a limit concerns.
  std::function<void(ServerLimit)> on_limit = [](ServerLimit) {};
  /// Speaks TLS with these; null: plain.
  std::shared_ptr<const TlsCredentials> tls = nullptr;
};

/// @brief An HTTP/1.1 server on one io_context.
class HttpServer
{
public:
  /// @brief Binds and starts accepting.
  /// @throws boost::system::system_error when the address cannot be bound.
  static std::unique_ptr<HttpServer> Create(boost::asio::io_context& aContext,
                                            HttpServerOptions aOptions,
                                            HttpHandler aHandler);
  virtual ~HttpServer() = default;

  [[nodiscard]] virtual std::uint16_t Port() const = 0;
  /// @brief Stops accepting; open exchanges go on to their end, and a
  /// connection closes after the reply it is at.
  virtual void StopAccepting() = 0;
  /// @return connections that are open now.
  [[nodiscard]] virtual std::size_t OpenConnections() const = 0;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_HTTP_SERVER_HPP
