#include "standin/crowd.hpp"

#include <linux/sockios.h> // for SIOCOUTQ
#include <sys/ioctl.h>     // for ioctl
#include <sys/socket.h>    // for getsockopt

#include <algorithm> // for min
#include <array>     // for array
#include <charconv>  // for to_chars
#include <ostream>   // for ostream
#include <stdexcept> // for invalid_argument
#include <utility>   // for move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/buffer.hpp>        // for buffer
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/use_awaitable.hpp> // for use_awaitable
#include <boost/asio/write.hpp>         // for async_write

#include "standin/face.hpp" // for EndpointOf, Wait

namespace jujubehead::standin {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kCut = 5;
constexpr std::size_t kChunkBytes = 64UL * 1024;
constexpr std::size_t kPieceBytes = 16UL * 1024;
constexpr std::chrono::milliseconds kPiecePause{ 4 };
constexpr std::size_t kFarTooLong = 1000UL * 1000 * 1000;
constexpr std::size_t kHeadBytes = 14UL * 1024;
constexpr std::chrono::milliseconds kLookTime{ 10 };
/// Of the status line's beginning.
constexpr std::size_t kStatusBytes = sizeof("HTTP/1.1 200") - 1;

std::string
Head(const CrowdOptions& aOptions, const std::string& aMore)
{
  return "POST " + aOptions.path + " HTTP/1.1\r\n" + aOptions.lines + aMore +
         "\r\n";
}

std::string
WithLength(const CrowdOptions& aOptions, std::size_t aBytes)
{
  return Head(aOptions, "Content-Length: " + std::to_string(aBytes) + "\r\n");
}

std::string
Chunk(std::size_t aBytes)
{
  std::array<char, 2 * sizeof(aBytes)> digits{};
  const auto end =
    std::to_chars(digits.data(), digits.data() + digits.size(), aBytes, 16);
  return std::string(digits.data(), end.ptr) + "\r\n" +
         std::string(aBytes, 'a') + "\r\n";
}

CrowdScript
BodyWithLength(const CrowdOptions& aOptions)
{
  CrowdScript script;
  script.head = WithLength(aOptions, aOptions.body_bytes);
  script.unit = "a";
  script.units = aOptions.body_bytes;
  return script;
}

CrowdScript
BodyInChunks(const CrowdOptions& aOptions, std::size_t aChunkBytes)
{
  CrowdScript script;
  script.head = Head(aOptions, "Transfer-Encoding: chunked\r\n");
  script.unit = Chunk(aChunkBytes);
  script.units = aOptions.body_bytes / aChunkBytes;
  script.end = "0\r\n\r\n";
  return script;
}

/// An array of empty arrays: small as text, large once parsed.
CrowdScript
ManyValues(const CrowdOptions& aOptions)
{
  CrowdScript script;
  const std::string begin = "{\"model\":\"demo-large\",\"messages\":[{\"role\":"
                            "\"user\",\"content\":\"a\"}],\"x\":[";
  script.unit = "[],";
  script.units = aOptions.body_bytes / script.unit.size();
  script.end = "0]}";
  script.head = WithLength(aOptions,
                           begin.size() + script.units * script.unit.size() +
                             script.end.size()) +
                begin;
  return script;
}

/// @return whether the server reset a connection, which a client that does not
/// read learns in no other way.
bool
WasReset(tcp::socket& aSocket)
{
  int error = 0;
  socklen_t size = sizeof(error);
  ::getsockopt(aSocket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
  return error != 0;
}

CrowdScript
InPieces(CrowdScript aScript)
{
  aScript.piece_bytes = kPieceBytes;
  aScript.pause = kPiecePause;
  return aScript;
}

CrowdScript
StoppedShort(CrowdScript aScript)
{
  aScript.cut = kCut;
  return aScript;
}

CrowdScript
Whole(CrowdScript aScript)
{
  aScript.expects_reply = true;
  return aScript;
}

} // namespace

CrowdScript
MakeCrowdScript(const CrowdOptions& aOptions)
{
  const std::string& kind = aOptions.kind;
  if (kind == "whole") {
    return Whole(BodyWithLength(aOptions));
  }
  if (kind == "pieces") {
    return Whole(InPieces(BodyWithLength(aOptions)));
  }
  if (kind == "short") {
    return StoppedShort(BodyWithLength(aOptions));
  }
  if (kind == "pieces_short") {
    return StoppedShort(InPieces(BodyWithLength(aOptions)));
  }
  if (kind == "chunks") {
    return Whole(BodyInChunks(aOptions, kChunkBytes));
  }
  if (kind == "chunks_short") {
    return StoppedShort(BodyInChunks(aOptions, kChunkBytes));
  }
  if (kind == "tiny_chunks_short") {
    return StoppedShort(BodyInChunks(aOptions, 1));
  }
  if (kind == "values") {
    return Whole(ManyValues(aOptions));
  }
  if (kind == "unread") { // The replies stay unread.
    CrowdScript script = BodyWithLength(aOptions);
    script.reads = false;
    return script;
  }
  if (kind == "behind") { // Behind a request that is served.
    CrowdScript script = StoppedShort(BodyWithLength(aOptions));
    script.head = WithLength(aOptions, 0) + script.head;
    script.reads = false; // The first reply does not end the sending.
    return script;
  }
  if (kind == "too_long_announced") {
    CrowdScript script = StoppedShort(BodyWithLength(aOptions));
    script.head = WithLength(aOptions, kFarTooLong);
    return script;
  }
  if (kind == "too_long") {
    return Whole(InPieces(BodyInChunks(aOptions, kChunkBytes)));
  }
  if (kind == "heads") {
    CrowdScript script;
    script.head = Head(aOptions, "X-Line: ");
    script.head.resize(script.head.size() - 2); // Without its end.
    script.unit = "a";
    script.units = kHeadBytes;
    return script;
  }
  if (kind == "lines") { // Many short header lines, small as text.
    CrowdScript script = StoppedShort(BodyWithLength(aOptions));
    std::string lines;
    while (lines.size() < kHeadBytes) {
      lines += "a:b\r\n";
    }
    script.head.insert(script.head.find("\r\n") + 2, lines);
    return script;
  }
  if (kind == "silent") {
    return {};
  }
  throw std::invalid_argument("no kind of a crowd: " + kind);
}

Crowd::Crowd(asio::io_context& aContext,
             const CrowdOptions& aOptions,
             std::ostream& aLog)
  : m_context(aContext)
  , m_clients(aOptions.clients)
  , m_server(aOptions.server)
  , m_script(MakeCrowdScript(aOptions))
  , m_log(aLog)
{
  const std::string& unit = m_script.unit;
  while (!unit.empty() && m_tape.size() < m_script.piece_bytes + unit.size()) {
    m_tape += unit;
  }
}

void
Crowd::Start()
{
  asio::co_spawn(m_context, Run(), asio::detached);
}

asio::awaitable<void>
Crowd::Run()
{
  for (std::size_t i = 0; i < m_clients; ++i) {
    asio::co_spawn(m_context, RunClient(), asio::detached);
  }
  while (m_at_rest < m_clients) {
    co_await Wait(kLookTime);
  }
  m_log << "at_rest";
  for (const auto& [outcome, count] : m_outcomes) {
    m_log << ' ' << outcome << '=' << count;
  }
  m_log << std::endl;
}

asio::awaitable<void>
Crowd::RunClient()
{
  tcp::socket socket(m_context);
  const tcp::endpoint server = EndpointOf(m_server);
  const auto [error] = co_await socket.async_connect(server, kTuple);
  bool is_open = !error;
  bool is_sent = false;
  if (is_open) {
    socket.non_blocking(true);
    is_sent = co_await Send(socket);
    is_open = is_sent || m_script.reads;
  }
  std::string reply;
  bool is_at_rest = false;
  while (is_open || !is_at_rest) {
    is_open = is_open && Read(socket, reply) && !WasReset(socket);
    const bool has_reply = reply.size() >= kStatusBytes;
    int unacknowledged = 0;
    ::ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledged);
    const bool has_sent =
      is_sent && unacknowledged == 0 && !m_script.expects_reply;
    if (!is_at_rest && (!is_open || has_reply || has_sent)) {
      is_at_rest = true;
      ++m_at_rest;
      ++m_outcomes[has_reply ? reply.substr(kStatusBytes - 3, 3)
                   : is_open ? std::string("open")
                             : std::string("closed")];
    }
    co_await Wait(kLookTime);
  }
}

asio::awaitable<bool>
Crowd::Send(tcp::socket& aSocket)
{
  auto [error, size] =
    co_await asio::async_write(aSocket, asio::buffer(m_script.head), kTuple);
  const std::size_t total =
    m_script.unit.size() * m_script.units - m_script.cut;
  for (std::size_t sent = 0; sent < total && !error;) {
    const std::size_t piece = std::min(m_script.piece_bytes, total - sent);
    const std::size_t begin = sent % m_script.unit.size();
    std::tie(error, size) = co_await asio::async_write(
      aSocket, asio::buffer(m_tape.data() + begin, piece), kTuple);
    sent += size;
    // A server that has replied may read no more.
    char byte = 0;
    error_code peeked;
    aSocket.receive(
      asio::buffer(&byte, 1), asio::socket_base::message_peek, peeked);
    if (m_script.reads && peeked != asio::error::would_block) {
      co_return false;
    }
    if (m_script.pause.count() > 0) {
      co_await Wait(m_script.pause);
    }
  }
  if (!error && m_script.cut == 0) {
    std::tie(error, size) =
      co_await asio::async_write(aSocket, asio::buffer(m_script.end), kTuple);
  }
  co_return !error;
}

bool
Crowd::Read(tcp::socket& aSocket, std::string& aReply)
{
  std::array<char, kChunkBytes> bytes{};
  error_code error;
  while (m_script.reads && !error) {
    const std::size_t size = aSocket.read_some(asio::buffer(bytes), error);
    aReply.append(bytes.data(), aReply.size() < kStatusBytes ? size : 0);
  }
  return !error || error == asio::error::would_block;
}

} // namespace jujubehead::standin
