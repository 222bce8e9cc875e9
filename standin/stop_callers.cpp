#include "standin/stop_callers.hpp"

#include <csignal> // for kill, SIGTERM

#include <array>   // for array
#include <memory>  // for unique_ptr
#include <ostream> // for ostream
#include <utility> // for move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/buffer.hpp>        // for buffer
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/use_awaitable.hpp> // for use_awaitable
#include <boost/asio/write.hpp>         // for async_write

#include "jujubehead/net/http1/message_parser.hpp" // for MessageParser
#include "standin/face.hpp"                        // for EndpointOf, Wait

namespace jujubehead::standin {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::array<const char*, 3> kKinds = { "chat", "calls", "once" };
constexpr std::array<const char*, 4> kManners = { "kept",
                                                  "new",
                                                  "chunks",
                                                  "waiting" };
constexpr std::array<const char*, 3> kChunks = { "4\r\nrice\r\n",
                                                 "5\r\nbeans\r\n",
                                                 "0\r\n\r\n" };
constexpr std::size_t kReadBytes = 16UL * 1024;
constexpr int kMaxPauseMs = 200;      ///< Between two requests.
constexpr int kMaxChunkPauseMs = 300; ///< Before each chunk.
constexpr int kMaxWaitMs = 3000;      ///< On an open connection.

/// @return whether the server has closed a connection between two requests.
bool
WasClosed(tcp::socket& aSocket)
{
  char byte = 0;
  boost::system::error_code error;
  aSocket.non_blocking(true, error);
  aSocket.receive(
    asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error != asio::error::would_block;
}

milliseconds
Pause(std::mt19937_64& aRandom, int aMaxMs)
{
  return milliseconds(std::uniform_int_distribution<>(0, aMaxMs)(aRandom));
}

} // namespace

StopCallers::StopCallers(asio::io_context& aContext,
                         StopCallersOptions aOptions,
                         std::ostream& aLog)
  : m_context(aContext)
  , m_options(std::move(aOptions))
  , m_log(aLog)
  , m_stop_at(Clock::now() + m_options.warm_up)
{
}

void
StopCallers::Start()
{
  asio::co_spawn(m_context, Stop(), asio::detached);
  std::mt19937_64 random(m_options.seed);
  for (const char* kind : kKinds) {
    for (std::size_t manner = 0; manner < kManners.size(); ++manner) {
      for (std::size_t i = 0; i < m_options.callers; ++i) {
        asio::co_spawn(
          m_context,
          RunCaller({ kind, Manner(manner), std::mt19937_64(random()), {} }),
          asio::detached);
      }
    }
  }
}

asio::awaitable<void>
StopCallers::Stop()
{
  co_await Wait(m_options.warm_up);
  m_stop_at = Clock::now();
  ::kill(m_options.pid, SIGTERM);
}

long
StopCallers::Now() const
{
  return std::chrono::duration_cast<milliseconds>(Clock::now() - m_stop_at)
    .count();
}

bool
StopCallers::IsOver() const
{
  return Clock::now() >= m_stop_at + m_options.grace;
}

asio::awaitable<bool>
StopCallers::Connect(tcp::socket& aSocket)
{
  const tcp::endpoint instance = EndpointOf(m_options.instance);
  const auto [error] = co_await aSocket.async_connect(instance, kTuple);
  if (!error) {
    aSocket.set_option(tcp::no_delay(true));
  }
  co_return !error;
}

asio::awaitable<void>
StopCallers::RunCaller(Caller aCaller)
{
  tcp::socket socket(m_context);
  while (!IsOver()) {
    co_await Wait(Pause(aCaller.random, kMaxPauseMs));
    if (!socket.is_open()) {
      aCaller.received.clear();
      const bool is_connected = co_await Connect(socket);
      if (!is_connected) {
        socket.close();
        continue;
      }
      if (aCaller.manner == Manner::kWaiting) {
        co_await Wait(Pause(aCaller.random, kMaxWaitMs));
      }
    }
    if (WasClosed(socket)) {
      boost::system::error_code ignored;
      socket.close(ignored);
      continue;
    }
    std::string id = m_options.id_prefix + std::to_string(++m_last_id);
    const Result result = co_await Call(socket, aCaller, id);
    m_log << "call " << id << ' ' << aCaller.kind << ' '
          << kManners[static_cast<std::size_t>(aCaller.manner)] << ' '
          << result.first_ms << ' '
          << (result.last_ms ? std::to_string(*result.last_ms) : "-") << ' '
          << Now() << ' ' << result.status << ' ' << result.end << std::endl;
    if (!result.keeps_alive || aCaller.manner == Manner::kNew ||
        aCaller.manner == Manner::kWaiting) {
      boost::system::error_code ignored;
      socket.close(ignored);
    }
  }
}

asio::awaitable<StopCallers::Result>
StopCallers::Call(tcp::socket& aSocket, Caller& aCaller, std::string aId)
{
  Result result;
  result.first_ms = Now();
  std::string head = "POST /" + aCaller.kind +
                     "/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + aId +
                     "\r\nAuthorization: Token k1\r\n";
  if (aCaller.kind == "chat") {
    head += "X-Model: m1\r\nX-Prompt-Prefix: p" + aId + ":10,q:5\r\n";
  }
  const bool is_sent = co_await Send(aSocket, aCaller, std::move(head));
  if (is_sent) {
    result.last_ms = Now();
  }
  // Also if not all was sent: the reply may have come before.
  co_await ReadReply(aSocket, aCaller, result);
  co_return result;
}

asio::awaitable<bool>
StopCallers::Send(tcp::socket& aSocket, Caller& aCaller, std::string aHead)
{
  if (aCaller.manner != Manner::kChunks) {
    const std::string request = aHead + "Content-Length: 4\r\n\r\nrice";
    const auto [error, size] =
      co_await asio::async_write(aSocket, asio::buffer(request), kTuple);
    co_return !error;
  }
  const std::string head = aHead + "Transfer-Encoding: chunked\r\n\r\n";
  auto [error, size] =
    co_await asio::async_write(aSocket, asio::buffer(head), kTuple);
  for (std::size_t i = 0; i < kChunks.size() && !error; ++i) {
    co_await Wait(Pause(aCaller.random, kMaxChunkPauseMs));
    const std::string chunk = kChunks[i];
    std::tie(error, size) =
      co_await asio::async_write(aSocket, asio::buffer(chunk), kTuple);
  }
  co_return !error;
}

asio::awaitable<void>
StopCallers::ReadReply(tcp::socket& aSocket, Caller& aCaller, Result& aResult)
{
  const auto parser = net::MessageParser::ForReply({}, false);
  std::string body;
  std::array<char, kReadBytes> bytes{};
  boost::system::error_code error;
  try {
    aCaller.received.erase(0, parser->Put(aCaller.received, body));
    while (!parser->IsWhole() && !error) {
      const auto [failure, size] =
        co_await aSocket.async_read_some(asio::buffer(bytes), kTuple);
      error = failure;
      aCaller.received.append(bytes.data(), size);
      aCaller.received.erase(0, parser->Put(aCaller.received, body));
    }
  } catch (const net::MessageError&) {
    aResult.end = "malformed";
    co_return;
  }
  aResult.status = parser->HasHead() ? parser->Head().status : 0;
  aResult.keeps_alive = parser->IsWhole() && parser->KeepsAlive();
  aResult.end = parser->IsWhole()           ? "whole"
                : error == asio::error::eof ? "eof"
                                            : "reset";
}

} // namespace jujubehead::standin
