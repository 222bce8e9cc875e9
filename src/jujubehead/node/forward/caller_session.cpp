#include "caller_session.hpp"

#include <algorithm> // for min
#include <array>     // for array
#include <charconv>  // for to_chars
#include <utility>   // for move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/buffer.hpp>        // for buffer
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/use_awaitable.hpp> // for use_awaitable
#include <boost/asio/write.hpp>         // for async_write
#include <boost/beast/http/status.hpp>  // for obsolete_reason

#include "jujubehead/net/deadline.hpp"             // for Deadline
#include "jujubehead/net/http1/socket_reading.hpp" // for ReadAvailable
#include "jujubehead/net/reset_on_close.hpp"       // for SetResetOnClose
#include "jujubehead/net/write_progress.hpp"       // for WriteProgress

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

constexpr unsigned kHttp10 = 10;
constexpr int kHexadecimal = 16;
/// Bytes read from a caller during a response; more stays in the socket.
constexpr std::size_t kMaxReadAhead = 16UL * 1024;
/// A connection between two requests keeps no more room for input.
constexpr std::size_t kMaxIdleInput = 4UL * 1024;
/// A caller that has not accepted written data for this long counts as
/// disconnected.
constexpr core::Duration kWriteTimeout = std::chrono::seconds(20);
void
AppendHexadecimal(std::string& aText, std::size_t aNumber)
{
  std::array<char, 2 * sizeof(aNumber)> digits{};
  const auto end = std::to_chars(
    digits.data(), digits.data() + digits.size(), aNumber, kHexadecimal);
  aText.append(digits.data(), end.ptr);
}

} // namespace

CallerSession::CallerSession(tcp::socket aSocket, RequestHandler& aHandler)
  : m_socket(std::move(aSocket))
  , m_handler(aHandler)
{
  error_code ignored;
  m_socket.set_option(tcp::no_delay(true), ignored);
  m_socket.non_blocking(true, ignored);
  m_handler.Connections().Add(*this);
}

CallerSession::~CallerSession()
{
  m_handler.Connections().Remove(*this);
}

void
CallerSession::Start(tcp::socket aSocket, RequestHandler& aHandler)
{
  const std::shared_ptr<CallerSession> session(
    new CallerSession(std::move(aSocket), aHandler));
  asio::co_spawn(
    session->Executor(),
    [session]() -> asio::awaitable<void> { co_await session->Run(); },
    asio::detached);
}

asio::any_io_executor
CallerSession::Executor()
{
  return m_socket.get_executor();
}

asio::awaitable<void>
CallerSession::Run()
{
  while (m_keep_alive && !m_disconnected) {
    const bool has_request = co_await ReadRequest();
    if (!has_request) {
      break;
    }
    m_is_handling = true;
    WatchForDisconnect();
    co_await m_handler.Handle(shared_from_this());
    m_is_handling = false;
    m_on_disconnect = nullptr;
    m_stream_begun = false;
    m_request = {};
    m_held.reset();
    m_idle_since = core::RuntimeClock::now();
    if (m_input.empty() && m_input.capacity() > kMaxIdleInput) {
      m_input = std::string();
    }
  }
  co_await Close();
}

asio::awaitable<void>
CallerSession::Close()
{
  error_code ignored;
  m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  // With unread input the kernel resets the connection, which can destroy a
  // response that its caller has not read.
  if (!m_disconnected && HasUnreadInput() &&
      m_handler.Connections().BeginLinger()) {
    co_await Linger();
    m_handler.Connections().EndLinger();
  }
  m_socket.close(ignored);
}

bool
CallerSession::HasUnreadInput() const
{
  error_code ignored;
  return m_socket.is_open() && m_socket.available(ignored) > 0;
}

core::ConnectionState
CallerSession::State() const
{
  const bool is_receiving = !m_is_handling && m_held && !m_held->IsRevoked();
  core::ConnectionState state;
  state.is_idle =
    !m_is_closing && !m_is_handling && m_request.received_at == core::Instant{};
  state.has_sent_request = m_has_sent_request;
  state.is_slow = is_receiving && m_held->IsSlow(core::RuntimeClock::now());
  state.idle_since = m_idle_since;
  return state;
}

void
CallerSession::Yield()
{
  if (m_held) {
    m_held->Revoke();
  } else {
    CloseIfIdle();
  }
}

void
CallerSession::CloseIfIdle(core::Duration aMinIdle)
{
  const bool is_idle =
    !m_is_handling && m_request.received_at == core::Instant{};
  if (is_idle && core::RuntimeClock::now() - m_idle_since >= aMinIdle) {
    m_is_closing = true;
    error_code ignored;
    m_socket.cancel(ignored);
  }
}

void
CallerSession::RejectIncomplete()
{
  if (!m_is_handling && m_request.received_at != core::Instant{}) {
    m_is_shut_down = true;
    error_code ignored;
    m_socket.cancel(ignored);
  }
}

void
CallerSession::OnDisconnect(std::function<void()> aCallback)
{
  m_on_disconnect = std::move(aCallback);
  if (m_disconnected) {
    NotifyDisconnect();
  }
}

void
CallerSession::NotifyDisconnect()
{
  m_disconnected = true;
  if (const auto callback = std::exchange(m_on_disconnect, nullptr)) {
    callback();
  }
}

void
CallerSession::WatchForDisconnect()
{
  if (m_is_watching || m_input.size() >= kMaxReadAhead) {
    return;
  }
  m_is_watching = true;
  m_socket.async_wait(tcp::socket::wait_read,
                      [self = shared_from_this()](const error_code& aError) {
                        self->m_is_watching = false;
                        if (!aError && self->m_is_handling) {
                          self->OnReadable();
                        }
                      });
}

void
CallerSession::OnReadable()
{
  const error_code error = net::ReadAvailable(m_socket, m_input);
  if (error && error != asio::error::would_block) {
    NotifyDisconnect();
    return;
  }
  // What is not read stays in the socket's buffer, up to its size.
  const std::size_t unread =
    m_input.size() < kMaxReadAhead ? 0 : kReceiveBufferBytes;
  if (m_held && !Resize(HandledBytes() + unread)) {
    Cancel();
    return;
  }
  WatchForDisconnect();
}

std::string
CallerSession::FormatHead(unsigned aStatus,
                          std::string_view aReason,
                          const net::HttpHeaders& aHeaders)
{
  const std::string_view reason =
    aReason.empty() ? std::string_view(boost::beast::http::obsolete_reason(
                        static_cast<boost::beast::http::status>(aStatus)))
                    : aReason;
  std::string text = "HTTP/1.1 ";
  text.append(std::to_string(aStatus)).append(" ").append(reason);
  text.append("\r\n");
  for (const net::HttpHeader& line : aHeaders.Lines()) {
    text.append(line.name).append(": ").append(line.value).append("\r\n");
  }
  if (m_handler.IsStopping()) {
    m_keep_alive = false;
  }
  if (!m_keep_alive) {
    text.append("Connection: close\r\n");
  } else if (m_request.head.version == kHttp10) {
    text.append("Connection: keep-alive\r\n");
  }
  return text;
}

asio::awaitable<bool>
CallerSession::SendResponse(FullResponse aResponse,
                            core::MemoryBudget::Reservation* aHeld)
{
  std::string text =
    FormatHead(aResponse.status, aResponse.reason, aResponse.headers);
  text.append("Content-Length: ")
    .append(std::to_string(aResponse.body.size()))
    .append("\r\n\r\n");
  if (m_request.head.method == "HEAD") {
    aResponse.body.clear();
  }
  co_return co_await Write(std::move(text), aResponse.body, aHeld);
}

void
CallerSession::BeginStream(unsigned aStatus,
                           std::string_view aReason,
                           const net::HttpHeaders& aHeaders)
{
  m_stream_begun = true;
  m_is_chunked = m_request.head.version != kHttp10;
  if (!m_is_chunked) {
    m_keep_alive = false;
    net::SetResetOnClose(m_socket, true);
  }
  m_pending_head = FormatHead(aStatus, aReason, aHeaders);
  if (m_is_chunked) {
    m_pending_head.append("Transfer-Encoding: chunked\r\n");
  }
  m_pending_head.append("\r\n");
}

asio::awaitable<bool>
CallerSession::WriteChunk(std::string_view aBytes)
{
  std::string text = std::exchange(m_pending_head, std::string());
  if (m_is_chunked) {
    AppendHexadecimal(text, aBytes.size());
    text.append("\r\n").append(aBytes).append("\r\n");
  } else {
    text.append(aBytes);
  }
  co_return co_await Write(std::move(text));
}

asio::awaitable<bool>
CallerSession::EndStream()
{
  std::string text = std::exchange(m_pending_head, std::string());
  if (m_is_chunked) {
    text.append("0\r\n\r\n");
  }
  const bool written = co_await Write(std::move(text));
  if (written && !m_is_chunked) {
    net::SetResetOnClose(m_socket, false);
  }
  co_return written;
}

asio::awaitable<bool>
CallerSession::Write(std::string aBytes,
                     const std::string& aBody,
                     core::MemoryBudget::Reservation* aHeld)
{
  if (m_disconnected || !m_socket.is_open()) {
    co_return false;
  }
  const auto rest = [&](std::size_t aWritten) {
    const std::size_t first = std::min(aWritten, aBytes.size());
    const std::size_t second = aWritten - first;
    return std::array<asio::const_buffer, 2>{ asio::buffer(aBytes) + first,
                                              asio::buffer(aBody) + second };
  };
  error_code error;
  const std::size_t written = m_socket.write_some(rest(0), error);
  if (!error && written == aBytes.size() + aBody.size()) {
    co_return true;
  }
  if (error && error != asio::error::would_block) {
    NotifyDisconnect();
    co_return false;
  }
  const auto self = shared_from_this();
  net::Deadline deadline(Executor(), [self] { self->Abort(); });
  deadline.Set(kWriteTimeout);
  const net::WriteProgress progress(aHeld);
  const auto buffers = rest(written);
  const auto [failure, size] =
    co_await asio::async_write(m_socket, buffers, progress, kTuple);
  if (failure) {
    NotifyDisconnect();
  }
  co_return !failure;
}

void
CallerSession::Cancel()
{
  Abort();
  NotifyDisconnect();
}

void
CallerSession::Abort()
{
  m_keep_alive = false;
  // So that a response without a length does not look complete.
  net::CloseWithReset(m_socket);
}

} // namespace jujubehead::node
