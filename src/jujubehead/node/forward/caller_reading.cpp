#include "caller_session.hpp"

#include <charconv> // for from_chars
#include <utility>  // for exchange, move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/post.hpp>          // for post
#include <boost/asio/use_awaitable.hpp> // for use_awaitable
#include <boost/beast/core/string.hpp>  // for iequals

#include "jujubehead/net/deadline.hpp"             // for Deadline
#include "jujubehead/net/http1/socket_reading.hpp" // for ReadAvailable

// The half of a connection that reads requests.

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Phase = core::MemoryBudget::Phase;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

constexpr unsigned kRequestTimeout = 408;
/// A caller that sends without a pause yields to the others after this.
constexpr std::size_t kBurstBytes = 64UL * 1024;
/// Added to the callers' time for a header, for delays of the network.
constexpr core::Duration kHeaderTransit = std::chrono::seconds(1);
/// Longest wait for more of a body: callers send bodies within a few round
/// trips.
constexpr core::Duration kBodyTimeout = std::chrono::seconds(10);
/// Least rate of a whole body, beyond the time above: far below any link's.
constexpr std::uint64_t kMinBodyBytesPerSecond = 1024;
/// Time for a caller to read a rejection before the connection is closed, and
/// bytes of its request that are dropped meanwhile.
constexpr core::Duration kLingerTime = std::chrono::milliseconds(500);
constexpr std::size_t kMaxLingerBytes = 1024UL * 1024;
/// Memory to handle a request, besides its header and body: its coroutines,
/// a connection to a target, a piece of the reply.
constexpr std::size_t kHandlingBytes = 24UL * 1024;
/// What is derived from a header, such as the parts of a prompt, takes up to
/// this many times its text.
constexpr std::size_t kHeaderFactor = 16;

bool
DeclaresBody(const net::HttpHeaders& aHeaders)
{
  return aHeaders.Find("Content-Length") || aHeaders.Find("Transfer-Encoding");
}

/// @return the length of the body, if it is declared.
std::optional<std::size_t>
DeclaredLength(const net::HttpHeaders& aHeaders)
{
  const auto text = aHeaders.Find("Content-Length");
  if (!text) {
    return std::nullopt;
  }
  std::size_t length = 0;
  std::from_chars(text->data(), text->data() + text->size(), length);
  return length;
}

} // namespace

asio::awaitable<bool>
CallerSession::ReadMore(core::Instant aUntil)
{
  const auto self = shared_from_this();
  if (m_burst >= kBurstBytes) {
    m_burst = 0;
    co_await asio::post(Executor(), asio::use_awaitable);
  }
  std::size_t received = 0;
  // A revocation empties m_input while this waits.
  const auto read = [&] {
    const std::size_t before = m_input.size();
    const error_code result = net::ReadAvailable(m_socket, m_input);
    received = m_input.size() - before;
    return result;
  };
  error_code result = read();
  if (result == asio::error::would_block) {
    m_burst = 0;
    net::Deadline deadline(Executor(), [self] {
      error_code ignored;
      self->m_socket.cancel(ignored);
    });
    deadline.Set(aUntil - core::RuntimeClock::now());
    while (result == asio::error::would_block) {
      const auto [error] =
        co_await m_socket.async_wait(tcp::socket::wait_read, kTuple);
      result = read();
      if (error && received == 0) {
        co_return false;
      }
    }
  }
  m_burst += received;
  m_new_bytes += received;
  co_return received > 0;
}

core::Instant
CallerSession::ReadDeadline(const net::MessageParser& aParser,
                            const core::CallerLimits& aLimits) const
{
  const core::Instant now = core::RuntimeClock::now();
  if (m_request.received_at == core::Instant{}) {
    return now + aLimits.idle_timeout;
  }
  if (!aParser.HasHead()) {
    return m_request.received_at + aLimits.header_timeout + kHeaderTransit;
  }
  const core::Duration whole =
    kBodyTimeout + std::chrono::seconds(m_body.size() / kMinBodyBytesPerSecond);
  return std::min(now + kBodyTimeout, m_head_at + whole);
}

asio::awaitable<bool>
CallerSession::ReadRequest()
{
  const core::CallerLimits limits = m_handler.Limits();
  const auto parser =
    net::MessageParser::ForRequest({ limits.header_bytes, limits.body_bytes });
  while (!parser->IsWhole()) {
    const bool had_head = parser->HasHead();
    std::optional<FullResponse> rejection = Parse(*parser);
    if (rejection) {
      co_await Reject(std::move(*rejection));
      co_return false;
    }
    if (parser->IsWhole()) {
      break;
    }
    if (parser->HasHead() && !had_head) {
      const bool allowed = co_await AllowBody(*parser);
      if (!allowed) {
        co_return false;
      }
    }
    const bool more =
      co_await ReadMore(m_is_shut_down ? core::RuntimeClock::now()
                                       : ReadDeadline(*parser, limits));
    if (m_held && m_held->IsRevoked()) {
      FullResponse overload =
        m_handler.OnOverload(parser->Head(), m_revoked_bytes);
      co_await Reject(std::move(overload));
      co_return false;
    }
    if (!more) {
      const bool has_begun = m_request.received_at != core::Instant{};
      if (has_begun && m_socket.is_open()) {
        FullResponse late =
          m_is_shut_down
            ? m_handler.OnShutdown(parser->Head())
            : MakeRejection(kRequestTimeout, "request not received in time");
        co_await Reject(std::move(late));
      }
      co_return false;
    }
  }
  if (!TakeRequest(*parser)) {
    FullResponse overload =
      m_handler.OnOverload(parser->Head(), HandledBytes());
    co_await Reject(std::move(overload));
    co_return false;
  }
  co_return true;
}

std::optional<FullResponse>
CallerSession::Parse(net::MessageParser& aParser)
{
  if (m_input.empty()) {
    return std::nullopt;
  }
  const core::Instant now = core::RuntimeClock::now();
  if (m_request.received_at == core::Instant{}) {
    m_request.received_at = now;
    m_has_sent_request = true;
    m_is_closing = false;
    m_held.emplace(
      m_handler.Memory(), Phase::kReceiving, [this] { OnRevoked(); });
  }
  const auto overload = [&] {
    return m_handler.OnOverload(aParser.Head(),
                                m_held->Bytes() + m_input.size());
  };
  if (!ReserveBody(aParser)) {
    return overload();
  }
  const bool had_head = aParser.HasHead();
  try {
    m_input.erase(0, aParser.Put(m_input, m_body));
  } catch (const net::MessageError& error) {
    return MakeRejection(error.Status(), error.what());
  }
  if (aParser.HasHead() && !had_head) {
    m_head_at = now;
  }
  if (!aParser.IsWhole() && !ReserveBody(aParser)) {
    return overload();
  }
  m_held->OnProgress(std::exchange(m_new_bytes, 0), now);
  return std::nullopt;
}

bool
CallerSession::ReserveBody(const net::MessageParser& aParser)
{
  std::size_t room = m_body.capacity();
  if (aParser.HasHead()) {
    const auto length = DeclaredLength(aParser.Head().headers);
    const std::size_t needed = length.value_or(m_body.size() + m_input.size());
    if (needed > room) {
      room = length ? needed : std::max(needed, 2 * m_body.size());
    }
  }
  const bool has_room =
    Resize(room + m_input.capacity() + aParser.Head().headers.HeldBytes());
  if (has_room) {
    m_body.reserve(room);
  }
  return has_room;
}

bool
CallerSession::Resize(std::size_t aBytes)
{
  return m_held->Resize(aBytes, core::RuntimeClock::now());
}

std::size_t
CallerSession::HandledBytes() const
{
  const net::HttpHeaders& headers = m_request.head.headers;
  return kHandlingBytes + headers.HeldBytes() +
         kHeaderFactor * headers.TextBytes() + m_request.body->capacity() +
         m_input.capacity();
}

bool
CallerSession::TakeRequest(const net::MessageParser& aParser)
{
  m_request.head = aParser.Head();
  m_request.has_body = DeclaresBody(m_request.head.headers);
  m_request.body =
    std::make_shared<const std::string>(std::exchange(m_body, std::string()));
  m_keep_alive = aParser.KeepsAlive();
  const bool has_room = Resize(HandledBytes());
  m_held->SetPhase(Phase::kHandling, core::RuntimeClock::now());
  return has_room;
}

void
CallerSession::OnRevoked()
{
  m_revoked_bytes = m_body.size();
  m_body = std::string();
  m_input = std::string();
  error_code ignored;
  m_socket.cancel(ignored);
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

FullResponse
CallerSession::MakeRejection(unsigned aStatus, std::string aDetail)
{
  m_handler.OnRejected(aDetail, aStatus);
  FullResponse response;
  response.status = aStatus;
  response.headers.Add("Content-Type", "text/plain");
  response.body = std::move(aDetail) + '\n';
  return response;
}

asio::awaitable<void>
CallerSession::Reject(FullResponse aResponse)
{
  m_keep_alive = false;
  m_request.body = std::make_shared<const std::string>();
  m_body = std::string();
  m_input = std::string();
  m_held.reset();
  const bool written = co_await SendResponse(std::move(aResponse));
  if (written && m_handler.Connections().BeginLinger()) {
    co_await Linger();
    m_handler.Connections().EndLinger();
  }
}

asio::awaitable<void>
CallerSession::Linger()
{
  error_code ignored;
  m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  const auto until = core::RuntimeClock::now() + kLingerTime;
  bool more = true;
  for (std::size_t dropped = 0; more && dropped < kMaxLingerBytes;) {
    more = co_await ReadMore(until);
    more = more && core::RuntimeClock::now() < until;
    dropped += m_input.size();
    m_input.clear();
  }
}

} // namespace jujubehead::node
