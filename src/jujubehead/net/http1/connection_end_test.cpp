#include "jujubehead/net/http1/connection_end.hpp"

#include <optional> // for optional
#include <string>   // for string

#include <CppUTest/TestHarness.h>    // for TEST
#include <boost/asio/buffer.hpp>     // for buffer
#include <boost/asio/co_spawn.hpp>   // for co_spawn
#include <boost/asio/io_context.hpp> // for io_context
#include <boost/asio/read.hpp>       // for read
#include <boost/asio/write.hpp>      // for write

#include "jujubehead/net/reset_on_close.hpp" // for CloseWithReset

#include "../net_test_tools.hpp" // for RunUntil

namespace net = jujubehead::net;
using boost::asio::awaitable;
using boost::asio::ip::tcp;
using boost::system::error_code;
using net::ConnectionEnd;

namespace {

constexpr int kSmallBufferBytes = 4 * 1024;
constexpr std::size_t kMegabyte = 1024UL * 1024;

} // namespace

TEST_GROUP(ConnectionEnd)
{
  boost::asio::io_context context;
  tcp::acceptor acceptor{ context };
  tcp::socket socket{ context };
  tcp::socket other{ context };

  void setup() override
  {
    acceptor.open(tcp::v4());
    acceptor.set_option(
      boost::asio::socket_base::receive_buffer_size(kSmallBufferBytes));
    acceptor.bind({ boost::asio::ip::address_v4::loopback(), 0 });
    acceptor.listen();
    socket.connect(acceptor.local_endpoint());
    acceptor.accept(other);
    socket.non_blocking(true);
  }
  /// Sends until the other side's buffer and the own one are full.
  void Fill()
  {
    const std::string bytes(kMegabyte, 'x');
    error_code error;
    while (!error) {
      socket.write_some(boost::asio::buffer(bytes), error);
    }
    CHECK(error == boost::asio::error::would_block);
  }
  /// Waits for the end of the connection and reads up to it.
  error_code ReadToEnd()
  {
    char byte = 0;
    error_code error;
    socket.wait(tcp::socket::wait_read);
    while (!error) {
      socket.read_some(boost::asio::buffer(&byte, 1), error);
    }
    return error;
  }
  /// Starts HasEndedInOrder() for what was sent.
  std::optional<bool>& Await()
  {
    boost::asio::co_spawn(
      context,
      net::HasEndedInOrder(socket, [this] { return is_sent; }),
      [this](const std::exception_ptr&, bool aResult) { result = aResult; });
    context.restart();
    context.poll();
    return result;
  }
  std::optional<bool> result;
  bool is_sent = true;
};

TEST(ConnectionEnd, AnOrderlyOneIsRecognized)
{
  boost::asio::write(socket, boost::asio::buffer("ab", 2));
  char bytes[2] = {};
  boost::asio::read(other, boost::asio::buffer(bytes));
  other.close();
  CHECK(ReadToEnd() == boost::asio::error::eof);
  CHECK(net::EndOf(socket) == ConnectionEnd::kOrderly);
  CHECK(Await() == true);
}

// A write takes the reset, and the read after it returns an end of the input.
TEST(ConnectionEnd, AResetThatAWriteHasTakenIsRecognized)
{
  Fill();
  boost::asio::write(other, boost::asio::buffer("part", 4));
  net::CloseWithReset(other);
  error_code error;
  socket.wait(tcp::socket::wait_error);
  socket.write_some(boost::asio::buffer("x", 1), error);
  CHECK(error == boost::asio::error::connection_reset);
  CHECK(ReadToEnd() == boost::asio::error::eof);
  CHECK(net::EndOf(socket) == ConnectionEnd::kReset);
  CHECK(Await() == false);
}

TEST(ConnectionEnd, AResetAfterAnOrderlyEndIsAwaited)
{
  Fill();
  other.shutdown(tcp::socket::shutdown_send);
  CHECK(ReadToEnd() == boost::asio::error::eof);
  CHECK(net::EndOf(socket) == ConnectionEnd::kUnacknowledged);
  CHECK_FALSE(Await().has_value());
  net::CloseWithReset(other);
  net::test::RunUntil(context, [this] { return result.has_value(); });
  CHECK(result == false);
}

TEST(ConnectionEnd, OneBeforeTheInputWasReadIsOrderlyOnceItIs)
{
  Fill();
  other.shutdown(tcp::socket::shutdown_send);
  CHECK(ReadToEnd() == boost::asio::error::eof);
  CHECK_FALSE(Await().has_value());
  std::string bytes(kMegabyte, ' ');
  while (net::EndOf(socket) == ConnectionEnd::kUnacknowledged) {
    other.read_some(boost::asio::buffer(bytes));
  }
  net::test::RunUntil(context, [this] { return result.has_value(); });
  CHECK(result == true);
}

TEST(ConnectionEnd, WhatIsNotWrittenYetIsAwaited)
{
  other.shutdown(tcp::socket::shutdown_send);
  CHECK(ReadToEnd() == boost::asio::error::eof);
  is_sent = false;
  CHECK_FALSE(Await().has_value());
  is_sent = true;
  net::test::RunUntil(context, [this] { return result.has_value(); });
  CHECK(result == true);
}

TEST(ConnectionEnd, ClosingTheSocketEndsTheWait)
{
  Fill();
  other.shutdown(tcp::socket::shutdown_send);
  CHECK(ReadToEnd() == boost::asio::error::eof);
  CHECK_FALSE(Await().has_value());
  socket.close();
  net::test::RunUntil(context, [this] { return result.has_value(); });
  CHECK(result == false);
}
