#include "jujubehead/net/http1/outbound_connection.hpp"

#include <netinet/tcp.h> // for TCP_USER_TIMEOUT
#include <sys/socket.h>  // for setsockopt

#include <array>      // for array
#include <functional> // for function
#include <utility>    // for move, exchange

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/buffer.hpp>        // for buffer
#include <boost/asio/use_awaitable.hpp> // for use_awaitable
#include <boost/asio/write.hpp>         // for async_write

#include "jujubehead/net/deadline.hpp"             // for Deadline
#include "jujubehead/net/http1/connection_end.hpp" // for HasEndedInOrder
#include "jujubehead/net/http1/socket_reading.hpp" // for ReadAvailable

namespace jujubehead::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

/// A target that fell silent after it took a request is asked for a sign of
/// life after a second, then each second; two in vain end the connection.
constexpr int kProbeAfterSeconds = 1;
constexpr int kProbeEverySeconds = 1;
constexpr int kProbesInVain = 2;
/// Room for input that a connection at rest keeps.
constexpr std::size_t kMaxRestingInput = 4UL * 1024;

void
SetTcpOption(int aSocket, int aName, int aValue)
{
  // The connection works without it too, only notices silence later.
  (void)::setsockopt(aSocket, IPPROTO_TCP, aName, &aValue, sizeof(aValue));
}

} // namespace

void
DetectSilence(tcp::socket& aSocket, core::Duration aUnacknowledged)
{
  error_code ignored;
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  const int handle = aSocket.native_handle();
  SetTcpOption(handle, TCP_KEEPIDLE, kProbeAfterSeconds);
  SetTcpOption(handle, TCP_KEEPINTVL, kProbeEverySeconds);
  SetTcpOption(handle, TCP_KEEPCNT, kProbesInVain);
  const auto timeout =
    std::chrono::duration_cast<std::chrono::milliseconds>(aUnacknowledged);
  SetTcpOption(handle, TCP_USER_TIMEOUT, static_cast<int>(timeout.count()));
}

OutboundConnection::OutboundConnection(const asio::any_io_executor& aExecutor,
                                       const OutboundOptions& aOptions)
  : m_options(aOptions)
  , m_socket(aExecutor)
{
}

std::shared_ptr<OutboundConnection>
OutboundConnection::Create(const asio::any_io_executor& aExecutor,
                           const OutboundOptions& aOptions)
{
  return std::shared_ptr<OutboundConnection>(
    new OutboundConnection(aExecutor, aOptions));
}

asio::awaitable<error_code>
OutboundConnection::Connect(tcp::endpoint aEndpoint)
{
  const auto self = shared_from_this();
  bool is_late = false;
  Deadline deadline(m_socket.get_executor(), [self, &is_late] {
    is_late = true;
    self->Close();
  });
  deadline.Set(m_options.connect_timeout);
  const auto [error] = co_await m_socket.async_connect(aEndpoint, kTuple);
  deadline.Clear();
  if (!error) {
    error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    DetectSilence(m_socket, m_options.unacknowledged_timeout);
  }
  co_return is_late ? error_code(asio::error::timed_out) : error;
}

void
OutboundConnection::Send(std::string aMessage,
                         std::shared_ptr<const std::string> aBody)
{
  m_unsent = std::move(aMessage);
  m_unsent_body = std::move(aBody);
  m_is_sent = false;
  std::array<asio::const_buffer, 2> buffers{ asio::buffer(m_unsent), {} };
  if (m_unsent_body) {
    buffers[1] = asio::buffer(*m_unsent_body);
  }
  asio::async_write(
    m_socket,
    buffers,
    [self = shared_from_this()](const error_code& aError, std::size_t) {
      self->m_unsent = std::string();
      self->m_unsent_body.reset();
      self->m_is_sent = !aError;
    });
}

asio::awaitable<error_code>
OutboundConnection::Read()
{
  const auto self = shared_from_this();
  for (;;) {
    if (m_frames.HasEnded()) {
      co_return co_await EndOfInput();
    }
    const auto [error] =
      co_await m_socket.async_wait(tcp::socket::wait_read, kTuple);
    if (error) {
      co_return error;
    }
    const error_code result = ReadAvailable();
    if (result == asio::error::eof) {
      co_return co_await EndOfInput();
    }
    if (result != asio::error::would_block) {
      co_return result;
    }
  }
}

asio::awaitable<error_code>
OutboundConnection::EndOfInput()
{
  // With frames, the relaying instance has examined the target's end.
  if (m_frames.HasEnded() && IsSent()) {
    co_return asio::error::eof;
  }
  const std::function<bool()> is_sent = [this] { return IsSent(); };
  const bool is_orderly = co_await HasEndedInOrder(m_socket, is_sent);
  if (is_orderly) {
    co_return asio::error::eof;
  }
  co_return asio::error::connection_reset;
}

error_code
OutboundConnection::ReadAvailable()
{
  if (m_relay_mode != RelayMode::kFramed) {
    const error_code result = net::ReadAvailable(m_socket, m_input);
    const bool is_cut =
      m_relay_mode == RelayMode::kRaw && result == asio::error::eof;
    return is_cut ? asio::error::connection_reset : result;
  }
  std::string received;
  const std::size_t size = m_input.size();
  const error_code result = net::ReadAvailable(m_socket, received);
  m_frames.Put(received, m_input);
  if (result == asio::error::eof) {
    return asio::error::connection_reset;
  }
  const bool has_bytes = m_input.size() > size;
  return result || has_bytes ? result : asio::error::would_block;
}

void
OutboundConnection::SetRelayMode(RelayMode aMode)
{
  m_relay_mode = aMode;
  if (aMode == RelayMode::kFramed) {
    const std::string received = std::exchange(m_input, std::string());
    m_frames.Put(received, m_input);
  }
}

tcp::socket
OutboundConnection::Release()
{
  return std::move(m_socket);
}

void
OutboundConnection::ShrinkInput()
{
  if (m_input.empty() && m_input.capacity() > kMaxRestingInput) {
    m_input = std::string();
  }
}

void
OutboundConnection::Close()
{
  error_code ignored;
  m_socket.close(ignored);
}

bool
OutboundConnection::IsAtRest()
{
  return m_input.empty() && IsSent() && !m_frames.HasEnded() &&
         IsSilent(m_socket);
}

} // namespace jujubehead::net
