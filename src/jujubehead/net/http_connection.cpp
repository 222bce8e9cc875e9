#include "http_connection.hpp"

#include <algorithm> // for max, min
#include <iterator>  // for distance
#include <utility>   // for exchange, move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/use_awaitable.hpp> // for use_awaitable
#include <boost/beast/core/string.hpp>  // for iequals

#include "jujubehead/net/http1/message_parser.hpp" // for kMaxFramingFactor

#include "http_fields.hpp"  // for FromFields
#include "http_refusal.hpp" // for RefusalOf

namespace jujubehead::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Bytes that one read asks for, and that a connection at rest keeps.
constexpr std::size_t kReadBytes = 1024;
/// A large body is read in steps of this size.
constexpr std::size_t kBodyReadBytes = 64UL * 1024;
/// Bytes of pipelined requests that are read while a handler runs.
constexpr std::size_t kPipelineBytes = 8UL * 1024;
/// Input that is thrown away after a refusal, so that the caller reads the
/// refusal before its connection is reset.
constexpr std::size_t kDiscardBytes = 1024UL * 1024;
constexpr core::Duration kDiscardTime = std::chrono::seconds(1);
/// How long a connection at rest stays open once the server stops accepting.
constexpr core::Duration kDrainTime = std::chrono::seconds(1);

/// Memory of a header line besides its text.
constexpr std::size_t kHeaderLineBytes = 128;
/// Memory to handle a request, besides its header and body.
constexpr std::size_t kHandlingBytes = 32UL * 1024;

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

} // namespace

HttpConnection::HttpConnection(ByteStream aStream,
                               std::shared_ptr<HttpServerShared> aShared)
  : m_stream(std::move(aStream))
  , m_shared(std::move(aShared))
  , m_deadline(m_stream.get_executor(), [this] { OnDeadline(); })
  , m_watch_done(m_stream.get_executor(), core::Instant::max())
{
}

asio::awaitable<void>
HttpConnection::Run()
{
  try {
    co_await ShakeHands();
    while (co_await ServeOne()) {
    }
  } catch (const std::exception&) {
    // The connection broke in the middle of a write: nothing left to tell.
    m_caller_gone = true;
  }
  Close();
}

void
HttpConnection::Close()
{
  m_closed = true;
  m_deadline.Clear();
  Error ignored;
  m_stream.Socket().close(ignored);
}

void
HttpConnection::Drain()
{
  if (m_phase == Phase::kIdle) {
    m_deadline.Set(std::min(kDrainTime, m_shared->options.idle_timeout));
  }
}

asio::awaitable<void>
HttpConnection::ShakeHands()
{
  if (ByteStream::Secure* const tls = m_stream.Tls()) {
    m_deadline.Set(m_shared->options.header_timeout);
    co_await tls->async_handshake(asio::ssl::stream_base::server,
                                  asio::use_awaitable);
  }
}

asio::awaitable<bool>
HttpConnection::ServeOne()
{
  m_phase = Phase::kIdle;
  m_idle_since = core::RuntimeClock::now();
  m_held.reset();
  std::optional<ApiError> refusal = co_await ReadRequest();
  m_deadline.Clear();
  if (m_closed) {
    co_return false;
  }
  m_phase = Phase::kHandling;
  m_started = false;
  m_complete = false;
  if (refusal) {
    co_await Refuse(std::move(*refusal));
    co_return false;
  }
  Watch();
  co_await Handle();
  co_return m_keep_alive&& m_complete && !m_caller_gone && !m_closed;
}

asio::awaitable<std::optional<ApiError>>
HttpConnection::ReadRequest()
{
  const HttpServerOptions& options = m_shared->options;
  Parser parser;
  m_body_bytes = 0;
  m_header_lines = 0;
  parser.header_limit(static_cast<std::uint32_t>(options.header_limit));
  parser.body_limit(options.body_limit);
  parser.eager(true);
  m_deadline.Set(m_shared->stopping ? kDrainTime : options.idle_timeout);
  bool needs_bytes = m_buffer.size() == 0;
  bool body_begun = false;
  while (!parser.is_done()) {
    const Error error = co_await ParseMore(parser, needs_bytes);
    if (m_held && (m_held->IsRevoked() || !ReserveReceived(parser))) {
      m_caller_gone = false; // It was this side that ended the read.
      m_shared->options.on_limit(ServerLimit::kMemory);
      co_return OverloadError();
    }
    if (error) {
      const bool between_requests = m_phase == Phase::kIdle;
      if (between_requests || m_caller_gone) {
        Close();
        co_return std::nullopt;
      }
      co_return RefusalOf(error, m_timed_out);
    }
    if (!body_begun && parser.is_header_done()) {
      body_begun = true;
      co_await BeginBody(parser);
    }
  }
  TakeRequest(parser);
  m_held->SetPhase(core::MemoryBudget::Phase::kHandling,
                   core::RuntimeClock::now());
  if (!Reserve(m_request.body.capacity())) {
    co_return OverloadError();
  }
  co_return std::nullopt;
}

bool
HttpConnection::ReserveReceived(const Parser& aParser)
{
  const core::Instant now = core::RuntimeClock::now();
  if (m_header_lines == 0 && aParser.is_header_done()) {
    const auto& message = aParser.get();
    m_header_lines =
      static_cast<std::size_t>(std::distance(message.begin(), message.end()));
  }
  return m_held->Resize(aParser.get().body().capacity() + m_buffer.capacity() +
                          m_header_lines * kHeaderLineBytes,
                        now);
}

bool
HttpConnection::Reserve(std::size_t aBytes)
{
  const HttpHeaders& headers = m_request.headers;
  const bool has_room = m_held->Resize(
    kHandlingBytes + headers.HeldBytes() + aBytes, core::RuntimeClock::now());
  if (!has_room) {
    m_shared->options.on_limit(ServerLimit::kMemory);
  }
  return has_room;
}

core::ConnectionState
HttpConnection::State() const
{
  const bool is_receiving =
    m_phase == Phase::kReading && m_held && !m_held->IsRevoked();
  core::ConnectionState state;
  state.is_idle = m_phase == Phase::kIdle && !m_closed;
  state.has_sent_request = m_has_sent_request;
  state.is_slow = is_receiving && m_held->IsSlow(core::RuntimeClock::now());
  state.idle_since = m_idle_since;
  return state;
}

void
HttpConnection::Yield()
{
  if (m_held) {
    m_held->Revoke();
  } else {
    Close();
  }
}

void
HttpConnection::OnRevoked()
{
  if (m_phase == Phase::kHandling) {
    Close();
    return;
  }
  Error ignored;
  m_stream.Socket().cancel(ignored);
}

asio::awaitable<HttpConnection::Error>
HttpConnection::ParseMore(Parser& aParser, bool& aNeedsBytes)
{
  if (aNeedsBytes) {
    if (const Error error = co_await Fill()) {
      m_caller_gone = !m_timed_out;
      co_return error;
    }
  }
  if (m_phase == Phase::kIdle) {
    m_phase = Phase::kReading;
    m_has_sent_request = true;
    m_held.emplace(m_shared->options.memory,
                   core::MemoryBudget::Phase::kReceiving,
                   [this] { OnRevoked(); });
    m_deadline.Set(m_shared->options.header_timeout);
  }
  Error error;
  const std::size_t used = aParser.put(m_buffer.data(), error);
  m_buffer.consume(used);
  m_body_bytes += used;
  if (error == http::error::need_more) {
    error = {};
  }
  // What is left of a body cannot be read yet: a chunk's line, or the trailer.
  if (!error && aParser.is_header_done() && !aParser.is_done() &&
      m_buffer.size() > m_shared->options.header_limit) {
    error = http::error::header_limit;
  }
  const HttpServerOptions& options = m_shared->options;
  if (!error && m_body_bytes > kMaxFramingFactor * options.body_limit +
                                 2 * options.header_limit) {
    error = http::error::body_limit;
  }
  aNeedsBytes = !aParser.is_done();
  co_return error;
}

asio::awaitable<HttpConnection::Error>
HttpConnection::Fill()
{
  if (m_watching) {
    // The read that watched the caller during the last reply goes on as the
    // first read of the next request.
    co_await m_watch_done.async_wait(kTuple);
    co_return std::exchange(m_watch_error, {});
  }
  const std::size_t room = m_buffer.capacity() - m_buffer.size();
  const auto space = m_buffer.prepare(std::max(kReadBytes, room));
  const auto [error, bytes] = co_await m_stream.async_read_some(space, kTuple);
  m_buffer.commit(bytes);
  if (m_held) {
    m_held->OnProgress(bytes, core::RuntimeClock::now());
  }
  co_return error;
}

asio::awaitable<void>
HttpConnection::BeginBody(Parser& aParser)
{
  const bool expects =
    boost::beast::iequals(aParser.get()[http::field::expect], "100-continue");
  if (expects && !aParser.is_done()) {
    m_out.append(kContinue);
    co_await WriteOut();
  }
  m_deadline.Set(m_shared->options.body_timeout);
  if (aParser.is_done()) {
    co_return;
  }
  if (aParser.content_length().value_or(kBodyReadBytes) > kReadBytes) {
    m_buffer.reserve(kBodyReadBytes);
  }
}

void
HttpConnection::TakeRequest(Parser& aParser)
{
  auto message = aParser.release();
  m_keep_alive = message.keep_alive();
  m_http_1_0 = message.version() < 11;
  m_request.method = message.method_string();
  m_request.target = message.target();
  m_request.headers = FromFields(message);
  m_request.body = std::move(message.body());
  if (m_request.body.capacity() > kBodyReadBytes + m_request.body.size()) {
    m_request.body.shrink_to_fit(); // Chunks leave up to its length unused.
  }
  if (m_buffer.capacity() > kReadBytes) {
    m_buffer.shrink_to_fit();
  }
}

asio::awaitable<void>
HttpConnection::Handle()
{
  try {
    co_await m_shared->handler(*this);
  } catch (const std::exception&) {
    // What failed is the handler's to count. Its caller gets an error below,
    // or a cut connection if the reply has begun.
    m_keep_alive = false;
  }
  m_on_caller_gone = nullptr;
  if (!m_started && !m_caller_gone && !m_closed) {
    m_keep_alive = false;
    ApiError failure;
    failure.message = "The request failed here.";
    co_await Send(Render(failure));
  }
}

asio::awaitable<void>
HttpConnection::Refuse(ApiError aRefusal)
{
  m_keep_alive = false;
  m_http_1_0 = false;
  m_request = {};
  m_buffer = {};
  m_held.reset();
  co_await Send(Render(aRefusal));
  co_await DiscardInput();
}

asio::awaitable<void>
HttpConnection::DiscardInput()
{
  Error error;
  m_stream.Socket().shutdown(asio::socket_base::shutdown_send, error);
  m_deadline.Set(kDiscardTime);
  m_buffer.clear();
  std::size_t discarded = 0;
  while (!error && discarded < kDiscardBytes) {
    const auto space = m_buffer.prepare(kReadBytes);
    std::size_t bytes = 0;
    std::tie(error, bytes) =
      co_await m_stream.Socket().async_read_some(space, kTuple);
    discarded += bytes;
  }
}

void
HttpConnection::Watch()
{
  if (m_watching || m_closed || m_buffer.size() >= kPipelineBytes) {
    return;
  }
  m_watching = true;
  m_stream.async_read_some(
    m_buffer.prepare(kReadBytes),
    [self = shared_from_this()](const Error& aError, std::size_t aBytes) {
      self->OnWatched(aError, aBytes);
    });
}

void
HttpConnection::OnWatched(const Error& aError, std::size_t aBytes)
{
  m_watching = false;
  m_buffer.commit(aBytes);
  if (m_phase != Phase::kHandling) {
    m_watch_error = aError;
    m_watch_done.cancel();
    return;
  }
  if (!aError) {
    Watch();
    return;
  }
  m_caller_gone = true;
  if (auto callback = std::exchange(m_on_caller_gone, nullptr)) {
    callback();
  }
}

void
HttpConnection::OnDeadline()
{
  m_timed_out = true;
  if (m_phase == Phase::kHandling) {
    Close();
    return;
  }
  // The read that is pending ends; a request that has begun is answered 408.
  Error ignored;
  m_stream.Socket().cancel(ignored);
}

} // namespace jujubehead::net
