#include "standin/raw_target.hpp"

#include <future>  // for packaged_task
#include <tuple>   // for tie
#include <utility> // for move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/buffer.hpp>        // for buffer
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/post.hpp>          // for post
#include <boost/asio/use_awaitable.hpp> // for use_awaitable
#include <boost/asio/write.hpp>         // for async_write

#include "jujubehead/net/http1/message_parser.hpp" // for MessageParser
#include "jujubehead/net/http1/socket_reading.hpp" // for ReadAvailable
#include "jujubehead/net/reset_on_close.hpp"       // for CloseWithReset
#include "standin/face.hpp"                        // for Wait

namespace jujubehead::standin {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

/// Receive buffer of a connection, which an upload fills.
constexpr int kSmallBufferBytes = 16 * 1024;
/// Unread bytes of the upload at which an early reply is sent.
constexpr std::size_t kUnreadBytes = 4UL * 1024;
constexpr std::chrono::milliseconds kPoll{ 1 };

} // namespace

RawTarget::RawTarget(RawReply aReply)
  : m_reply(std::move(aReply))
  , m_acceptor(m_context, { asio::ip::address_v4::loopback(), 0 })
{
  // Connections inherit it.
  m_acceptor.set_option(
    asio::socket_base::receive_buffer_size(kSmallBufferBytes));
  asio::co_spawn(m_context, Accept(), asio::detached);
  m_thread = std::thread([this] { m_context.run(); });
}

RawTarget::~RawTarget()
{
  m_context.stop();
  m_thread.join();
}

void
RawTarget::SetReply(RawReply aReply)
{
  std::packaged_task<void()> task([&] { m_reply = std::move(aReply); });
  asio::post(m_context, [&task] { task(); });
  task.get_future().get();
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
  const std::optional<std::string> id = co_await ReadRequest(aSocket);
  if (!id) {
    co_return;
  }
  const RawReply reply = m_reply;
  std::string head = reply.head;
  head.append("X-Attempt-Id: ").append(*id).append("\r\n\r\n");
  ++m_replies;
  const std::size_t cut_at = m_replies * reply.cut_step;
  if (cut_at != 0 && cut_at < head.size()) {
    head.resize(cut_at);
    co_await Write(aSocket, head);
    co_return;
  }
  bool is_open = co_await Write(aSocket, head);
  for (std::size_t i = 0; is_open && i < reply.pieces; ++i) {
    is_open = co_await Write(aSocket, reply.piece);
    co_await Wait(reply.interval);
  }
  co_await End(aSocket, reply);
}

asio::awaitable<std::optional<std::string>>
RawTarget::ReadRequest(tcp::socket& aSocket)
{
  const auto parser = net::MessageParser::ForRequest({});
  std::string input;
  std::string body;
  while (!parser->IsWhole() && !(m_reply.is_early && parser->HasHead())) {
    const auto [error] =
      co_await aSocket.async_wait(tcp::socket::wait_read, kTuple);
    const auto failure = error ? error : net::ReadAvailable(aSocket, input);
    if (failure && failure != asio::error::would_block) {
      co_return std::nullopt;
    }
    input.erase(0, parser->Put(input, body));
  }
  boost::system::error_code error;
  while (m_reply.is_early && !error &&
         aSocket.available(error) < kUnreadBytes) {
    co_await Wait(kPoll);
  }
  const auto id = parser->Head().headers.Find("X-Attempt-Id");
  co_return std::string(id.value_or(""));
}

asio::awaitable<void>
RawTarget::End(tcp::socket& aSocket, const RawReply& aReply)
{
  if (aReply.end == RawEnd::kHalfClosed ||
      aReply.end == RawEnd::kHalfClosedThenReset) {
    boost::system::error_code ignored;
    aSocket.shutdown(tcp::socket::shutdown_send, ignored);
  }
  if (aReply.end == RawEnd::kOpen || aReply.end == RawEnd::kHalfClosed) {
    std::string rest;
    boost::system::error_code error;
    while (!error || error == asio::error::would_block) {
      std::tie(error) =
        co_await aSocket.async_wait(tcp::socket::wait_read, kTuple);
      error = error ? error : net::ReadAvailable(aSocket, rest);
    }
  }
  if (aReply.end == RawEnd::kHalfClosedThenReset) {
    co_await Wait(aReply.before_reset);
  }
  if (aReply.end == RawEnd::kReset ||
      aReply.end == RawEnd::kHalfClosedThenReset) {
    net::CloseWithReset(aSocket);
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
