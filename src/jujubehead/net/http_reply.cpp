#include "http_connection.hpp"

#include <array>    // for array
#include <charconv> // for to_chars
#include <utility>  // for exchange

#include <boost/asio/as_tuple.hpp>       // for as_tuple
#include <boost/asio/use_awaitable.hpp>  // for use_awaitable
#include <boost/asio/write.hpp>          // for async_write
#include <boost/beast/http/status.hpp>   // for obsolete_reason
#include <boost/system/system_error.hpp> // for system_error

#include "jujubehead/net/reset_on_close.hpp" // for SetResetOnClose
#include "jujubehead/net/write_progress.hpp" // for WriteProgress

#include "http_fields.hpp" // for AppendLines

// The half of a connection that writes replies.

namespace jujubehead::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Room for output that a connection keeps between writes.
constexpr std::size_t kKeptOutBytes = 4UL * 1024;
constexpr std::string_view kLastChunk = "0\r\n\r\n";

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

void
AppendChunk(std::string& aText, std::string_view aBytes)
{
  std::array<char, 2 * sizeof(std::size_t)> size{};
  constexpr int kHexadecimal = 16;
  const auto end = std::to_chars(
    size.data(), size.data() + size.size(), aBytes.size(), kHexadecimal);
  aText.append(size.data(), end.ptr)
    .append("\r\n")
    .append(aBytes)
    .append("\r\n");
}

} // namespace

asio::awaitable<void>
HttpConnection::WriteOut(const std::string& aBody)
{
  if (m_caller_gone || m_closed) {
    throw boost::system::system_error(asio::error::connection_reset);
  }
  m_deadline.Set(m_shared->options.write_timeout);
  const std::array<asio::const_buffer, 2> buffers = { asio::buffer(m_out),
                                                      asio::buffer(aBody) };
  const WriteProgress progress(m_held ? &*m_held : nullptr);
  const auto [error, bytes] =
    co_await asio::async_write(m_stream, buffers, progress, kTuple);
  m_deadline.Clear();
  m_out.clear();
  if (m_out.capacity() > kKeptOutBytes) {
    m_out.shrink_to_fit();
  }
  if (error) {
    m_keep_alive = false;
    throw boost::system::system_error(error);
  }
}

const HttpRequest&
HttpConnection::Request() const
{
  return m_request;
}

void
HttpConnection::BeginHead(unsigned aStatus, const HttpHeaders& aHeaders)
{
  const std::string_view reason =
    http::obsolete_reason(static_cast<http::status>(aStatus));
  m_out.append(m_http_1_0 ? "HTTP/1.0 " : "HTTP/1.1 ")
    .append(std::to_string(aStatus))
    .append(" ")
    .append(reason)
    .append("\r\n");
  AppendLines(m_out, aHeaders);
  if (!m_keep_alive) {
    AppendLine(m_out, "Connection", "close");
  } else if (m_http_1_0) {
    AppendLine(m_out, "Connection", "keep-alive");
  }
}

std::string
HttpConnection::TakeBody()
{
  return std::exchange(m_request.body, {});
}

void
HttpConnection::HoldReply(std::size_t aBytes)
{
  m_request.body = std::string();
  if (!m_held) {
    return; // A refusal, which is short.
  }
  const core::Instant now = core::RuntimeClock::now();
  m_held->Resize(0, now);
  m_held->SetPhase(core::MemoryBudget::Phase::kSendingReply, now);
  if (!m_held->Resize(aBytes, now)) {
    m_shared->options.on_limit(ServerLimit::kMemory);
    Close();
  }
}

asio::awaitable<void>
HttpConnection::Send(HttpResponse aResponse)
{
  m_started = true;
  m_keep_alive = m_keep_alive && !m_shared->stopping;
  BeginHead(aResponse.status, aResponse.headers);
  AppendLine(m_out, "Content-Length", std::to_string(aResponse.body.size()));
  m_out.append("\r\n");
  if (m_request.method == "HEAD") {
    aResponse.body.clear();
  }
  HoldReply(aResponse.body.capacity());
  co_await WriteOut(aResponse.body);
  FinishReply();
}

asio::awaitable<void>
HttpConnection::StartStream(unsigned aStatus, HttpHeaders aHeaders)
{
  m_started = true;
  m_keep_alive = m_keep_alive && !m_shared->stopping && !m_http_1_0;
  BeginHead(aStatus, aHeaders);
  // HTTP/1.0 has no chunks: there the end of the connection ends the body.
  if (m_http_1_0) {
    SetResetOnClose(m_stream.Socket(), true);
  } else {
    AppendLine(m_out, "Transfer-Encoding", "chunked");
  }
  m_out.append("\r\n");
  co_await WriteOut();
}

asio::awaitable<void>
HttpConnection::WriteChunk(std::string_view aBytes)
{
  if (aBytes.empty()) {
    co_return; // An empty chunk would end the body.
  }
  if (m_http_1_0) {
    m_out.append(aBytes);
  } else {
    AppendChunk(m_out, aBytes);
  }
  co_await WriteOut();
}

asio::awaitable<void>
HttpConnection::EndStream()
{
  if (m_http_1_0) {
    SetResetOnClose(m_stream.Socket(), false);
  } else {
    m_out.append(kLastChunk);
    co_await WriteOut();
  }
  FinishReply();
}

bool
HttpConnection::HasStarted() const
{
  return m_started;
}

void
HttpConnection::OnCallerGone(std::function<void()> aCallback)
{
  if (m_caller_gone && aCallback) {
    aCallback();
    return;
  }
  m_on_caller_gone = std::move(aCallback);
}

void
HttpConnection::FinishReply()
{
  m_complete = true;
  m_on_caller_gone = nullptr;
}

} // namespace jujubehead::net
