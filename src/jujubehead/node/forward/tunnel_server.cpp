#include "tunnel_server.hpp"

#include <array>   // for array
#include <utility> // for move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/buffer.hpp>        // for buffer
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/use_awaitable.hpp> // for use_awaitable
#include <boost/asio/write.hpp>         // for async_write

#include "jujubehead/net/deadline.hpp"             // for Deadline
#include "jujubehead/net/http1/message_parser.hpp" // for MessageParser
#include "jujubehead/net/http1/socket_reading.hpp" // for ReadAvailable
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
/// A request for a tunnel is one packet.
constexpr core::Duration kRequestTimeout = std::chrono::milliseconds(500);
constexpr core::Duration kAcceptPause = std::chrono::milliseconds(20);
/// As for connections to targets.
constexpr core::Duration kUnacknowledgedTimeout =
  net::OutboundOptions{}.unacknowledged_timeout;
constexpr std::size_t kChunkBytes = 8UL * 1024;

void
Reset(tcp::socket& aSocket)
{
  error_code ignored;
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

/// Relays bytes between an instance and a target until either side ends.
class Tunnel : public std::enable_shared_from_this<Tunnel>
{
public:
  Tunnel(tcp::socket aInstance,
         tcp::socket aTarget,
         std::shared_ptr<std::atomic<std::size_t>> aCount)
    : m_instance(std::move(aInstance))
    , m_target(std::move(aTarget))
    , m_count(std::move(aCount))
  {
    ++*m_count;
  }
  ~Tunnel() { --*m_count; }
  Tunnel(const Tunnel&) = delete;
  Tunnel& operator=(const Tunnel&) = delete;
  Tunnel(Tunnel&&) = delete;
  Tunnel& operator=(Tunnel&&) = delete;

  void Start()
  {
    for (const bool is_to_target : { true, false }) {
      asio::co_spawn(
        m_instance.get_executor(),
        [self = shared_from_this(), is_to_target]() -> asio::awaitable<void> {
          co_await self->Pump(is_to_target);
        },
        asio::detached);
    }
  }

private:
  asio::awaitable<void> Pump(bool aIsToTarget)
  {
    tcp::socket& from = aIsToTarget ? m_instance : m_target;
    tcp::socket& to = aIsToTarget ? m_target : m_instance;
    std::array<char, kChunkBytes> chunk{};
    error_code error;
    while (!error) {
      std::size_t size = 0;
      std::tie(error, size) =
        co_await from.async_read_some(asio::buffer(chunk), kTuple);
      if (!error) {
        std::tie(error, size) = co_await asio::async_write(
          to, asio::buffer(chunk.data(), size), kTuple);
      }
    }
    if (error == asio::error::eof && !aIsToTarget) {
      // The end of a reply without a length: only an orderly one completes it.
      error_code ignored;
      m_instance.shutdown(tcp::socket::shutdown_send, ignored);
    } else {
      // The instance has gone, so the request is cancelled; or the reply broke.
      Reset(m_instance);
      Reset(m_target);
    }
  }

  tcp::socket m_instance;
  tcp::socket m_target;
  std::shared_ptr<std::atomic<std::size_t>> m_count;
};

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

asio::awaitable<std::string>
TunnelServer::ReadRequest(tcp::socket& aInstance)
{
  net::Deadline deadline(aInstance.get_executor(), [&aInstance] {
    error_code ignored;
    aInstance.cancel(ignored);
  });
  deadline.Set(kRequestTimeout);
  const auto parser = net::MessageParser::ForRequest({});
  std::string input;
  std::string body;
  while (!parser->IsWhole()) {
    const auto [error] =
      co_await aInstance.async_wait(tcp::socket::wait_read, kTuple);
    const error_code failure =
      error ? error : net::ReadAvailable(aInstance, input);
    if (failure && failure != asio::error::would_block) {
      co_return std::string();
    }
    try {
      input.erase(0, parser->Put(input, body));
    } catch (const net::MessageError&) {
      co_return std::string();
    }
  }
  const auto target = parser->Head().headers.Find(kTunnelTargetHeader);
  const bool is_valid = parser->Head().method == "CONNECT" && input.empty();
  co_return is_valid ? std::string(target.value_or("")) : std::string();
}

asio::awaitable<TunnelStatus>
TunnelServer::Connect(const std::string& aTarget,
                      std::shared_ptr<net::OutboundConnection>& aConnection)
{
  const auto target = m_state.fleet.Find(core::TargetId(aTarget));
  if (!target) {
    co_return TunnelStatus::kUnknownTarget;
  }
  if (m_state.is_stopping || Tunnels() >= kMaxTunnels ||
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
  error_code ignored;
  aInstance.set_option(tcp::no_delay(true), ignored);
  aInstance.non_blocking(true, ignored);
  net::DetectSilence(aInstance, kUnacknowledgedTimeout);
  const std::string target = co_await ReadRequest(aInstance);
  if (target.empty()) {
    co_return;
  }
  std::shared_ptr<net::OutboundConnection> connection;
  const TunnelStatus status = co_await Connect(target, connection);
  const auto code = static_cast<unsigned>(status);
  const std::string reply =
    "HTTP/1.1 " + std::to_string(code) + " Tunnel\r\nContent-Length: 0\r\n\r\n";
  const auto [error, size] =
    co_await asio::async_write(aInstance, asio::buffer(reply), kTuple);
  if (error || status != TunnelStatus::kOpen) {
    co_return;
  }
  m_state.metrics.Add(Counter::kTunnelsServed);
  std::make_shared<Tunnel>(
    std::move(aInstance), connection->Release(), m_tunnels)
    ->Start();
}

} // namespace jujubehead::node
