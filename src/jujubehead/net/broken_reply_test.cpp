#include "jujubehead/net/http_client.hpp"

#include <cstdint> // for uint8_t
#include <memory>  // for unique_ptr
#include <string>  // for string
#include <vector>  // for vector

#include <CppUTest/TestHarness.h>       // for TEST
#include <boost/asio/buffer.hpp>        // for buffer
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/io_context.hpp>    // for io_context
#include <boost/asio/read_until.hpp>    // for async_read_until
#include <boost/asio/use_awaitable.hpp> // for use_awaitable
#include <boost/asio/write.hpp>         // for async_write

#include "jujubehead/net/reset_on_close.hpp" // for CloseWithReset
#include "jujubehead/net/timer.hpp"          // for Sleep

#include "net_test_tools.hpp" // for RunIn

namespace net = jujubehead::net;
using boost::asio::awaitable;
using boost::asio::ip::tcp;
using net::test::RunIn;
using namespace std::chrono_literals;

namespace {

constexpr int kSmallBufferBytes = 4 * 1024;
/// Fits into a socket's send buffer, but not into such a receive buffer.
constexpr std::size_t kBufferedBytes = 500UL * 1000;
constexpr auto kBeforeReset = 20ms;

/// How a connection ends after a reply.
enum class End : std::uint8_t
{
  kClosed,
  kReset,
  kHalfClosedThenReset,
};

/// Replies with any bytes once the head of a request has come.
awaitable<void>
SendReply(tcp::acceptor& aAcceptor, std::string aReply, End aEnd)
{
  const auto token = boost::asio::use_awaitable;
  tcp::socket socket = co_await aAcceptor.async_accept(token);
  std::string request;
  co_await boost::asio::async_read_until(
    socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", token);
  co_await boost::asio::async_write(socket, boost::asio::buffer(aReply), token);
  if (aEnd == End::kHalfClosedThenReset) {
    socket.shutdown(tcp::socket::shutdown_send);
    co_await net::Sleep(kBeforeReset);
  }
  if (aEnd != End::kClosed) {
    net::CloseWithReset(socket);
  }
}

} // namespace

// A server sends what is no reply, or a part of one.
TEST_GROUP(BrokenReply)
{
  boost::asio::io_context context;
  std::unique_ptr<net::HttpClient> client = net::HttpClient::Create(context);
  tcp::acceptor acceptor{ context,
                          { boost::asio::ip::address_v4::loopback(), 0 } };

  void setup() override
  {
    // Connections inherit it.
    acceptor.set_option(
      boost::asio::socket_base::receive_buffer_size(kSmallBufferBytes));
  }
  /// @return the body that the client reads; throws net::HttpCallError.
  std::string Fetch(
    const std::string& aReply, End aEnd, const std::string& aBody = {})
  {
    boost::asio::co_spawn(
      context, SendReply(acceptor, aReply, aEnd), boost::asio::detached);
    net::HttpCall call;
    call.authority =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    call.method = aBody.empty() ? "GET" : "POST";
    call.body = aBody;
    std::string body;
    RunIn(context, [&]() -> awaitable<void> {
      const auto response = co_await client->Fetch(call);
      body = response.body;
    });
    return body;
  }
};

// A status below 200 was taken for that of an interim reply, and the body was
// read in any transfer coding.
TEST(BrokenReply, AReplyWithABrokenHeadFails)
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string body = "Content-Length: 2\r\n\r\nok";
  const std::vector<std::string> replies = {
    "HTTP/1.1 000 Odd\r\n" + body,
    "HTTP/1.1 099 Odd\r\n\r\n" + ok + body,
    "HTTP/1.1 600 Odd\r\n" + body,
    "HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok + body,
    ok + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
    ok + "Transfer-Encoding: squeeze\r\n\r\nok",
    ok + "X Y: z\r\n" + body,
    ok + "X\x01: z\r\n" + body,
    ok + "Content-Length : 1\r\n\r\nok",
    ok + "no colon\r\n" + body
  };
  for (const std::string& reply : replies) {
    CHECK_THROWS(net::HttpCallError, Fetch(reply, End::kClosed));
  }
}

// A part looked whole where the reset came after the end of the connection.
TEST(BrokenReply, AReplyWithoutALengthThatIsResetFails)
{
  const std::string part = "HTTP/1.1 200 OK\r\n\r\npart";
  const std::string upload(kBufferedBytes, 'u');
  for (const End end : { End::kReset, End::kHalfClosedThenReset }) {
    CHECK_THROWS(net::HttpCallError, Fetch(part, end, upload));
  }
  CHECK_THROWS(net::HttpCallError, Fetch(part, End::kReset));
}

TEST(BrokenReply, AReplyWithoutALengthThatEndsInOrderIsWhole)
{
  const std::string body = Fetch("HTTP/1.1 200 OK\r\n\r\nwhole", End::kClosed);
  STRCMP_EQUAL("whole", body.c_str());
}
