#include "caller_session.hpp"

#include <array>    // for array
#include <charconv> // for to_chars
#include <utility>  // for move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/buffer.hpp>        // for buffer
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/use_awaitable.hpp> // for use_awaitable
#include <boost/asio/write.hpp>         // for async_write
#include <boost/beast/core/string.hpp>  // for iequals
#include <boost/beast/http/status.hpp>  // for obsolete_reason

#include "jujubehead/net/deadline.hpp"             // for Deadline
#include "jujubehead/net/http1/socket_reading.hpp" // for ReadAvailable
#include "jujubehead/net/reset_on_close.hpp"       // for SetResetOnClose

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

constexpr unsigned kHttp10 = 10;
constexpr unsigned kRequestTimeout = 408;
constexpr int kHexadecimal = 16;
/// Bytes read from a caller during a response; more stays in the socket.
constexpr std::size_t kMaxReadAhead = 64UL * 1024;
/// A caller that has not accepted written data for this long counts as
/// disconnected.
constexpr core::Duration kWriteTimeout = std::chrono::seconds(20);
/// Time for a caller to read a rejection before the connection is closed.
constexpr core::Duration kLingerTime = std::chrono::milliseconds(500);
/// Longest wait for more of a body: callers send bodies within a few round
/// trips.
constexpr core::Duration kBodyTimeout = std::chrono::seconds(10);

bool
DeclaresBody(const net::HttpHeaders& aHeaders)
{
  return aHeaders.Find("Content-Length") || aHeaders.Find("Transfer-Encoding");
}

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
  m_handler.OnSessionBegin(*this);
}

CallerSession::~CallerSession()
{
  m_handler.OnSessionEnd(*this);
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
  }
  error_code ignored;
  m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  m_socket.close(ignored);
}

asio::awaitable<bool>
CallerSession::ReadMore(core::Duration aTimeout)
{
  const auto self = shared_from_this();
  net::Deadline deadline(Executor(), [self] {
    error_code ignored;
    self->m_socket.cancel(ignored);
  });
  deadline.Set(aTimeout);
  for (;;) {
    const error_code now = net::ReadAvailable(m_socket, m_input);
    if (now != asio::error::would_block) {
      co_return !now;
    }
    const auto [error] =
      co_await m_socket.async_wait(tcp::socket::wait_read, kTuple);
    if (error) {
      // Data that arrived just before is still used.
      co_return !net::ReadAvailable(m_socket, m_input);
    }
  }
}

void
CallerSession::CloseIfIdle()
{
  if (!m_is_handling && m_request.received_at == core::Instant{}) {
    error_code ignored;
    m_socket.cancel(ignored);
  }
}

asio::awaitable<bool>
CallerSession::AllowBody(const net::MessageParser& aParser)
{
  const auto expects = aParser.Head().headers.Find("Expect");
  if (!expects || !boost::beast::iequals(*expects, "100-continue")) {
    co_return true;
  }
  std::string line = "HTTP/1.1 100 Continue\r\n\r\n";
  co_return co_await Write(std::move(line));
}

asio::awaitable<bool>
CallerSession::ReadRequest()
{
  const core::CallerLimits limits = m_handler.Limits();
  const auto parser =
    net::MessageParser::ForRequest({ limits.header_bytes, limits.body_bytes });
  std::string fault;
  unsigned status = 0;
  bool has_head = false;
  while (!parser->IsWhole()) {
    try {
      if (!m_input.empty()) {
        if (m_request.received_at == core::Instant{}) {
          m_request.received_at = core::RuntimeClock::now();
        }
        m_input.erase(0, parser->Put(m_input, m_request.body));
      }
    } catch (const net::MessageError& error) {
      fault = error.what();
      status = error.Status();
    }
    if (status != 0) {
      co_await Reject(status, fault);
      co_return false;
    }
    if (parser->IsWhole()) {
      break;
    }
    if (parser->HasHead() && !has_head) {
      has_head = true;
      const bool allowed = co_await AllowBody(*parser);
      if (!allowed) {
        co_return false;
      }
    }
    const bool has_begun = m_request.received_at != core::Instant{};
    const core::Duration timeout = parser->HasHead() ? kBodyTimeout
                                   : has_begun       ? limits.header_timeout
                                                     : limits.idle_timeout;
    const bool more = co_await ReadMore(timeout);
    if (!more) {
      if (has_begun && m_socket.is_open()) {
        co_await Reject(kRequestTimeout, "request not received in time");
      }
      co_return false;
    }
  }
  m_request.head = parser->Head();
  m_request.has_body = DeclaresBody(m_request.head.headers);
  m_keep_alive = parser->KeepsAlive();
  co_return true;
}

asio::awaitable<void>
CallerSession::Reject(unsigned aStatus, std::string aDetail)
{
  m_handler.OnRejected(aDetail, aStatus);
  m_keep_alive = false;
  FullResponse response;
  response.status = aStatus;
  response.headers.Add("Content-Type", "text/plain");
  response.body = std::move(aDetail) + '\n';
  const bool written = co_await SendResponse(std::move(response));
  if (written) {
    co_await Linger();
  }
}

asio::awaitable<void>
CallerSession::Linger()
{
  error_code ignored;
  m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  bool more = true;
  const auto until = core::RuntimeClock::now() + kLingerTime;
  while (more && core::RuntimeClock::now() < until) {
    m_input.clear();
    more = co_await ReadMore(kLingerTime);
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
CallerSession::SendResponse(FullResponse aResponse)
{
  std::string text =
    FormatHead(aResponse.status, aResponse.reason, aResponse.headers);
  const bool sends_body = m_request.head.method != "HEAD";
  text.append("Content-Length: ")
    .append(std::to_string(aResponse.body.size()))
    .append("\r\n\r\n");
  if (sends_body) {
    text.append(aResponse.body);
  }
  co_return co_await Write(std::move(text));
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
CallerSession::Write(std::string aBytes)
{
  if (m_disconnected || !m_socket.is_open()) {
    co_return false;
  }
  error_code error;
  std::size_t written = m_socket.write_some(asio::buffer(aBytes), error);
  if (!error && written == aBytes.size()) {
    co_return true;
  }
  if (error && error != asio::error::would_block) {
    NotifyDisconnect();
    co_return false;
  }
  const auto self = shared_from_this();
  net::Deadline deadline(Executor(), [self] { self->Abort(); });
  deadline.Set(kWriteTimeout);
  const auto [failure, rest] = co_await asio::async_write(
    m_socket,
    asio::buffer(aBytes.data() + written, aBytes.size() - written),
    kTuple);
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
