#include "standin/raw_target.hpp"

#include <utility> // for move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/buffer.hpp>        // for buffer
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/use_awaitable.hpp> // for use_awaitable
#include <boost/asio/write.hpp>         // for async_write

#include "jujubehead/net/http1/message_parser.hpp" // for MessageParser
#include "jujubehead/net/http1/socket_reading.hpp" // for ReadAvailable
#include "standin/face.hpp"                        // for Wait

namespace jujubehead::standin {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

} // namespace

RawTarget::RawTarget(RawReply aReply)
  : m_reply(std::move(aReply))
  , m_acceptor(m_context, { asio::ip::address_v4::loopback(), 0 })
{
  asio::co_spawn(m_context, Accept(), asio::detached);
  m_thread = std::thread([this] { m_context.run(); });
}

RawTarget::~RawTarget()
{
  m_context.stop();
  m_thread.join();
}

std::string
RawTarget::Authority() const
{
  return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

asio::awaitable<void>
RawTarget::Accept()
{
  for (;;) {
    auto [error, socket] = co_await m_acceptor.async_accept(kTuple);
    if (error) {
      co_return;
    }
    asio::co_spawn(m_context, Serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void>
RawTarget::Serve(tcp::socket aSocket)
{
  aSocket.non_blocking(true);
  const auto parser = net::MessageParser::ForRequest({});
  std::string input;
  std::string body;
  while (!parser->IsWhole()) {
    const auto [error] =
      co_await aSocket.async_wait(tcp::socket::wait_read, kTuple);
    const auto failure = error ? error : net::ReadAvailable(aSocket, input);
    if (failure && failure != asio::error::would_block) {
      co_return;
    }
    input.erase(0, parser->Put(input, body));
  }
  const auto id = parser->Head().headers.Find("X-Attempt-Id");
  std::string head = m_reply.head;
  head.append("X-Attempt-Id: ").append(id.value_or("")).append("\r\n\r\n");
  ++m_replies;
  const std::size_t cut_at = m_replies * m_reply.cut_step;
  if (cut_at != 0 && cut_at < head.size()) {
    head.resize(cut_at);
    co_await Write(aSocket, head);
    co_return;
  }
  bool is_open = co_await Write(aSocket, head);
  for (std::size_t i = 0; is_open && i < m_reply.pieces; ++i) {
    is_open = co_await Write(aSocket, m_reply.piece);
    co_await Wait(m_reply.interval);
  }
}

asio::awaitable<bool>
RawTarget::Write(tcp::socket& aSocket, const std::string& aBytes)
{
  const auto [error, size] =
    co_await asio::async_write(aSocket, asio::buffer(aBytes), kTuple);
  m_sent_bytes += size;
  co_return !error;
}

} // namespace jujubehead::standin
