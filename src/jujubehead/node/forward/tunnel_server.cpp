#include "tunnel_server.hpp"

#include <array>      // for array
#include <functional> // for function
#include <utility>    // for move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/buffer.hpp>        // for buffer
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/use_awaitable.hpp> // for use_awaitable
#include <boost/asio/write.hpp>         // for async_write

#include "jujubehead/net/deadline.hpp"             // for Deadline
#include "jujubehead/net/http1/connection_end.hpp" // for HasEndedInOrder
#include "jujubehead/net/http1/message_parser.hpp" // for MessageParser
#include "jujubehead/net/http1/relay_frames.hpp"   // for RelayFrameHeader
#include "jujubehead/net/http1/socket_reading.hpp" // for ReadAvailable
#include "jujubehead/net/reset_on_close.hpp"       // for CloseWithReset
#include "jujubehead/net/timer.hpp"                // for Sleep
#include "jujubehead/node/endpoint.hpp"            // for ReadEndpoint

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
/// Bounds the memory and descriptors spent on other instances' requests. One
/// that is turned away asks another instance.
constexpr std::size_t kMaxTunnels = 128;
/// Connections that have asked for no tunnel yet, or wait for one.
constexpr std::size_t kMaxRequests = 2 * kMaxTunnels;
/// A request for a tunnel is one packet.
constexpr core::Duration kRequestTimeout = std::chrono::milliseconds(500);
constexpr core::Duration kAcceptPause = std::chrono::milliseconds(20);
/// As for connections to targets.
constexpr core::Duration kUnacknowledgedTimeout =
  net::OutboundOptions{}.unacknowledged_timeout;
constexpr std::size_t kChunkBytes = 8UL * 1024;

/// Relays bytes between an instance and a target until either side ends.
///
/// Without frames, the instance takes the end of its connection for that of the
/// target's reply, so that it has to be a reset unless the target ended in
/// order, also where this process is killed.
class Tunnel : public std::enable_shared_from_this<Tunnel>
{
public:
  Tunnel(tcp::socket aInstance,
         tcp::socket aTarget,
         bool aIsFramed,
         std::shared_ptr<std::atomic<std::size_t>> aCount)
    : m_instance(std::move(aInstance))
    , m_target(std::move(aTarget))
    , m_is_framed(aIsFramed)
    , m_count(std::move(aCount))
  {
    ++*m_count;
    if (!m_is_framed) {
      net::SetResetOnClose(m_instance, true);
    }
  }
  ~Tunnel() { --*m_count; }
  Tunnel(const Tunnel&) = delete;
  Tunnel& operator=(const Tunnel&) = delete;
  Tunnel(Tunnel&&) = delete;
  Tunnel& operator=(Tunnel&&) = delete;

  void Start()
  {
    const auto self = shared_from_this();
    asio::co_spawn(
      m_instance.get_executor(),
      [self]() -> asio::awaitable<void> { co_await self->PumpToTarget(); },
      asio::detached);
    asio::co_spawn(
      m_instance.get_executor(),
      [self]() -> asio::awaitable<void> { co_await self->PumpToInstance(); },
      asio::detached);
  }

private:
  asio::awaitable<void> PumpToTarget()
  {
    std::array<char, kChunkBytes> chunk{};
    error_code error;
    while (!error) {
      std::size_t size = 0;
      std::tie(error, size) =
        co_await m_instance.async_read_some(asio::buffer(chunk), kTuple);
      if (!error) {
        m_is_writing = true;
        std::tie(error, size) = co_await asio::async_write(
          m_target, asio::buffer(chunk.data(), size), kTuple);
        m_is_writing = false;
      }
    }
    Close(); // The instance has gone, so the request is cancelled.
  }

  asio::awaitable<void> PumpToInstance()
  {
    const std::function<bool()> is_sent = [this] { return HasRelayedInput(); };
    std::array<char, kChunkBytes> chunk{};
    error_code error;
    while (!error) {
      std::size_t size = 0;
      std::tie(error, size) =
        co_await m_target.async_read_some(asio::buffer(chunk), kTuple);
      if (!error) {
        error = co_await WriteToInstance({ chunk.data(), size });
      } else if (error == asio::error::eof) {
        const bool is_orderly =
          co_await net::HasEndedInOrder(m_target, is_sent);
        if (is_orderly) {
          error = co_await WriteEnd();
        }
        if (is_orderly && !error) {
          co_return;
        }
      }
    }
    Close();
  }

  /// @return whether all that has come from the instance was written.
  [[nodiscard]] bool HasRelayedInput()
  {
    error_code ignored;
    return !m_is_writing && m_instance.available(ignored) == 0;
  }

  asio::awaitable<error_code> WriteToInstance(std::string_view aBytes)
  {
    net::RelayFrameHeader header{};
    std::size_t header_size = 0;
    if (m_is_framed) {
      header =
        net::FormatRelayFrameHeader(static_cast<std::uint32_t>(aBytes.size()));
      header_size = header.size();
    }
    const std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(header.data(), header_size), asio::buffer(aBytes)
    };
    const auto [error, size] =
      co_await asio::async_write(m_instance, buffers, kTuple);
    co_return error;
  }

  /// The target's reply has ended in order, which completes one without a
  /// length.
  asio::awaitable<error_code> WriteEnd()
  {
    error_code error;
    if (m_is_framed) {
      error = co_await WriteToInstance({});
    }
    error_code ignored;
    m_instance.shutdown(tcp::socket::shutdown_send, ignored);
    co_return error;
  }

  void Close()
  {
    net::CloseWithReset(m_instance);
    net::CloseWithReset(m_target);
  }

  tcp::socket m_instance;
  tcp::socket m_target;
  bool m_is_framed;
  bool m_is_writing = false; ///< To the target.
  std::shared_ptr<std::atomic<std::size_t>> m_count;
};

std::string
FormatReply(TunnelStatus aStatus, bool aIsFramed)
{
  std::string text = "HTTP/1.1 ";
  text.append(std::to_string(static_cast<unsigned>(aStatus)))
    .append(" Tunnel\r\n");
  if (aIsFramed) {
    text.append(kTunnelFramingHeader)
      .append(": ")
      .append(kTunnelFraming)
      .append("\r\n");
  }
  return text.append("Content-Length: 0\r\n\r\n");
}

} // namespace

TunnelServer::TunnelServer(asio::io_context& aContext,
                           const std::string& aAddress,
                           ForwardState& aState)
  : m_state(aState)
  , m_acceptor(aContext)
  , m_tunnels(std::make_shared<std::atomic<std::size_t>>(0))
{
  if (!aAddress.empty()) {
    m_acceptor = tcp::acceptor(aContext, ReadEndpoint(aAddress));
  }
}

void
TunnelServer::Start()
{
  if (m_acceptor.is_open()) {
    asio::co_spawn(
      m_acceptor.get_executor(),
      [this]() -> asio::awaitable<void> { co_await Accept(); },
      asio::detached);
  }
}

void
TunnelServer::Stop()
{
  error_code ignored;
  m_acceptor.close(ignored);
}

std::uint16_t
TunnelServer::Port() const
{
  return m_acceptor.is_open() ? m_acceptor.local_endpoint().port() : 0;
}

asio::awaitable<void>
TunnelServer::Accept()
{
  while (m_acceptor.is_open()) {
    auto [error, socket] = co_await m_acceptor.async_accept(kTuple);
    if (!error) {
      asio::co_spawn(
        m_acceptor.get_executor(), Serve(std::move(socket)), asio::detached);
    } else if (m_acceptor.is_open()) {
      co_await net::Sleep(kAcceptPause);
    }
  }
}

asio::awaitable<TunnelServer::TunnelRequest>
TunnelServer::ReadRequest(tcp::socket& aInstance)
{
  net::Deadline deadline(aInstance.get_executor(), [&aInstance] {
    error_code ignored;
    aInstance.cancel(ignored);
  });
  deadline.Set(kRequestTimeout);
  net::MessageLimits limits;
  limits.body_bytes = 0;
  const auto parser = net::MessageParser::ForRequest(limits);
  std::string input;
  std::string body;
  while (!parser->IsWhole()) {
    const auto [error] =
      co_await aInstance.async_wait(tcp::socket::wait_read, kTuple);
    const error_code failure =
      error ? error : net::ReadAvailable(aInstance, input);
    if (failure && failure != asio::error::would_block) {
      co_return TunnelRequest();
    }
    try {
      input.erase(0, parser->Put(input, body));
    } catch (const net::MessageError&) {
      co_return TunnelRequest();
    }
  }
  const net::MessageHead& head = parser->Head();
  TunnelRequest request;
  if (head.method == "CONNECT" && input.empty()) {
    request.target = head.headers.Find(kTunnelTargetHeader).value_or("");
    request.wants_frames =
      head.headers.Find(kTunnelFramingHeader) == kTunnelFraming;
  }
  co_return request;
}

asio::awaitable<TunnelStatus>
TunnelServer::Connect(const std::string& aTarget,
                      std::shared_ptr<net::OutboundConnection>& aConnection)
{
  const auto target = m_state.fleet.Find(core::TargetId(aTarget));
  if (!target) {
    co_return TunnelStatus::kUnknownTarget;
  }
  if (m_state.IsStopping() || Tunnels() >= kMaxTunnels ||
      m_state.connector.Paths().IsLost(target->target.id)) {
    co_return TunnelStatus::kRejected;
  }
  net::OutboundOptions options;
  options.connect_timeout = kTunnelConnectTimeout;
  aConnection =
    net::OutboundConnection::Create(m_acceptor.get_executor(), options);
  const error_code error = co_await aConnection->Connect(target->endpoint);
  if (!error) {
    co_return TunnelStatus::kOpen;
  }
  // It may be this instance that has lost its path.
  m_state.connector.Check(m_acceptor.get_executor(), target);
  if (error != asio::error::connection_refused) {
    co_return TunnelStatus::kTargetSilent;
  }
  const bool is_known = co_await m_state.connector.ReachesOthers(
    m_acceptor.get_executor(), target->target.id);
  co_return is_known ? TunnelStatus::kTargetRefused : TunnelStatus::kRejected;
}

asio::awaitable<void>
TunnelServer::Serve(tcp::socket aInstance)
{
  if (m_requests >= kMaxRequests) {
    m_state.metrics.Add(Counter::kConnectionsRefused);
    m_state.log.Write(LogLine("tunnels_full")
                        .Add("requests", std::uint64_t(m_requests))
                        .Add("tunnels", std::uint64_t(Tunnels())));
    co_return;
  }
  ++m_requests;
  co_await ServeRequest(std::move(aInstance));
  --m_requests;
}

asio::awaitable<void>
TunnelServer::ServeRequest(tcp::socket aInstance)
{
  error_code ignored;
  aInstance.set_option(tcp::no_delay(true), ignored);
  aInstance.non_blocking(true, ignored);
  net::DetectSilence(aInstance, kUnacknowledgedTimeout);
  const TunnelRequest request = co_await ReadRequest(aInstance);
  if (request.target.empty()) {
    co_return;
  }
  std::shared_ptr<net::OutboundConnection> connection;
  const TunnelStatus status = co_await Connect(request.target, connection);
  const std::string reply = FormatReply(status, request.wants_frames);
  const auto [error, size] =
    co_await asio::async_write(aInstance, asio::buffer(reply), kTuple);
  if (error || status != TunnelStatus::kOpen) {
    co_return;
  }
  m_state.metrics.Add(Counter::kTunnelsServed);
  std::make_shared<Tunnel>(std::move(aInstance),
                           connection->Release(),
                           request.wants_frames,
                           m_tunnels)
    ->Start();
}

} // namespace jujubehead::node
