#include "jujubehead/net/http_client.hpp"

#include <CppUTest/TestHarness.h> // for TEST

#include <optional> // for optional

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/io_context.hpp>    // for io_context
#include <boost/asio/ip/tcp.hpp>        // for tcp
#include <boost/asio/use_awaitable.hpp> // for use_awaitable
#include <boost/asio/write.hpp>         // for async_write

#include "net_test_tools.hpp" // for RunIn, AuthorityOf

#include "jujubehead/net/timer.hpp" // for Sleep

namespace net = jujubehead::net;
using boost::asio::awaitable;
using boost::asio::ip::tcp;
using net::test::AuthorityOf;
using net::test::RunIn;
using net::test::RunUntil;
using namespace std::chrono_literals;

namespace {

net::HttpCall
CallTo(std::string aAuthority)
{
  net::HttpCall call;
  call.authority = std::move(aAuthority);
  return call;
}

awaitable<void>
StreamNumbers(net::HttpExchange& aExchange)
{
  co_await aExchange.StartStream(200, {});
  for (int i = 0; i < 1000; ++i) {
    co_await aExchange.WriteChunk("data: " + std::to_string(i) + "\n\n");
  }
  co_await aExchange.EndStream();
}

awaitable<std::string>
ReadAll(net::HttpStream& aStream)
{
  std::string all;
  for (;;) {
    const auto bytes = co_await aStream.ReadSome();
    if (bytes.empty()) {
      co_return all;
    }
    all += bytes;
  }
}

} // namespace

TEST_GROUP(HttpClient)
{
  boost::asio::io_context context;
  net::HttpServerOptions options;
  std::unique_ptr<net::HttpClient> client = net::HttpClient::Create(context);

  std::unique_ptr<net::HttpServer> Start(net::HttpHandler aHandler)
  {
    return net::HttpServer::Create(context, options, std::move(aHandler));
  }
  /// Makes a call that must fail.
  /// @return whether it was dispatched.
  bool FailureOf(const net::HttpCall& aCall)
  {
    std::optional<bool> dispatched;
    RunIn(context, [&]() -> awaitable<void> {
      try {
        co_await client->Fetch(aCall);
      } catch (const net::HttpCallError& error) {
        dispatched = error.Dispatched();
      }
    });
    CHECK(dispatched.has_value());
    return dispatched.value_or(false);
  }
};

TEST(HttpClient, FetchesOverOneKeptConnection)
{
  const auto server =
    Start([](net::HttpExchange& aExchange) -> awaitable<void> {
      net::HttpResponse response;
      response.status = 201;
      response.body = "got " + aExchange.Request().body;
      co_await aExchange.Send(std::move(response));
    });
  RunIn(context, [&]() -> awaitable<void> {
    for (const std::string body : { "one", "two" }) {
      net::HttpCall call = CallTo(AuthorityOf(*server));
      call.method = "POST";
      call.body = body;
      const auto response = co_await client->Fetch(std::move(call));
      UNSIGNED_LONGS_EQUAL(201, response.status);
      STRCMP_EQUAL(("got " + body).c_str(), response.body.c_str());
    }
  });
  UNSIGNED_LONGS_EQUAL(1, server->OpenConnections());
}

TEST(HttpClient, StreamsToTheEndAndKeepsTheConnection)
{
  const auto server = Start(StreamNumbers);
  RunIn(context, [&]() -> awaitable<void> {
    for (int i = 0; i < 2; ++i) {
      const auto stream = co_await client->Open(CallTo(AuthorityOf(*server)));
      const std::string all = co_await ReadAll(*stream);
      CHECK(all.starts_with("data: 0\n\n"));
      CHECK(all.ends_with("data: 999\n\n"));
    }
  });
  UNSIGNED_LONGS_EQUAL(1, server->OpenConnections());
}

TEST(HttpClient, AConnectionThatIsRefusedDispatchedNothing)
{
  tcp::acceptor closed(context, { boost::asio::ip::address_v4::loopback(), 0 });
  const auto port = std::to_string(closed.local_endpoint().port());
  closed.close();
  CHECK_FALSE(FailureOf(CallTo("127.0.0.1:" + port)));
}

TEST(HttpClient, AnAddressThatIsNoneDispatchedNothing)
{
  for (const char* const text :
       { "", "x:1", "127.0.0.1", "127.0.0.1:x", ":" }) {
    CHECK_FALSE(FailureOf(CallTo(text)));
  }
}

TEST(HttpClient, ATargetThatWouldEndItsLineDispatchedNothing)
{
  net::HttpCall call = CallTo("127.0.0.1:1");
  call.target = "/ HTTP/1.1\r\nX: y";
  CHECK_FALSE(FailureOf(call));
}

TEST(HttpClient, AnUnansweredRequestWasDispatched)
{
  const auto server =
    Start([](net::HttpExchange& aExchange) -> awaitable<void> {
      aExchange.Close();
      co_return;
    });
  CHECK(FailureOf(CallTo(AuthorityOf(*server))));
}

TEST(HttpClient, ASilentServerFailsTheCallAsDispatched)
{
  const auto server =
    Start([](net::HttpExchange& aExchange) -> awaitable<void> {
      bool gone = false;
      aExchange.OnCallerGone([&] { gone = true; });
      while (!gone) {
        co_await net::Sleep(1ms);
      }
    });
  net::HttpCall call = CallTo(AuthorityOf(*server));
  call.idle_timeout = 20ms;
  CHECK(FailureOf(call));
}

TEST(HttpClient, APooledConnectionThatTheServerClosedIsReplaced)
{
  options.idle_timeout = 5ms;
  const auto server = Start(StreamNumbers);
  for (int i = 0; i < 2; ++i) {
    RunIn(context, [&]() -> awaitable<void> {
      co_await client->Fetch(CallTo(AuthorityOf(*server)));
    });
    RunUntil(context, [&] { return server->OpenConnections() == 0; });
  }
}

TEST(HttpClient, ACutStreamFailsAsDispatched)
{
  const auto server =
    Start([](net::HttpExchange& aExchange) -> awaitable<void> {
      co_await aExchange.StartStream(200, {});
      co_await aExchange.WriteChunk("some");
      aExchange.Close();
    });
  CHECK(FailureOf(CallTo(AuthorityOf(*server))));
}

TEST(HttpClient, AReplyAboveTheLimitFails)
{
  const auto server = Start(StreamNumbers);
  net::HttpCall call = CallTo(AuthorityOf(*server));
  call.reply_limit = 100;
  CHECK(FailureOf(call));
}

// They were read for as long as they came, and what cannot be read yet was
// kept.
TEST(HttpClient, AReplyWithAPartThatDoesNotEndFails)
{
  constexpr std::size_t kPieceBytes = 16UL * 1024;
  constexpr std::size_t kMaxPieces = 4000; // More than sockets buffer.
  const std::string chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& begin :
       { chunked + "000", chunked + "5;name=", chunked + "0\r\nX-Trailer: " }) {
    tcp::acceptor acceptor(context, { tcp::v4(), 0 });
    bool was_closed = false;
    bool has_ended = false;
    boost::asio::co_spawn(
      context,
      [&]() -> awaitable<void> {
        tcp::socket socket =
          co_await acceptor.async_accept(boost::asio::use_awaitable);
        boost::system::error_code error;
        co_await boost::asio::async_write(
          socket, boost::asio::buffer(begin), boost::asio::use_awaitable);
        const std::string piece(kPieceBytes, '0');
        for (std::size_t i = 0; i < kMaxPieces && !error; ++i) {
          std::tie(error, std::ignore) = co_await boost::asio::async_write(
            socket,
            boost::asio::buffer(piece),
            boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        was_closed = error.failed();
        has_ended = true;
      },
      boost::asio::detached);
    net::HttpCall call =
      CallTo("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    CHECK_TEXT(FailureOf(call), begin.c_str());
    RunUntil(context, [&] { return was_closed || has_ended; });
    CHECK_TEXT(was_closed, begin.c_str());
  }
}

// The server ended its connection in order within the head.
TEST(HttpClient, AReplyWhoseHeadIsCutFails)
{
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                           "Content-Length: 0\r\n\r\n";
  tcp::acceptor acceptor(context, { tcp::v4(), 0 });
  const net::HttpCall call =
    CallTo("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
  for (std::size_t size = 1; size < head.size(); ++size) {
    boost::asio::co_spawn(
      context,
      [&, size]() -> awaitable<void> {
        tcp::socket socket =
          co_await acceptor.async_accept(boost::asio::use_awaitable);
        co_await boost::asio::async_write(
          socket,
          boost::asio::buffer(head.data(), size),
          boost::asio::use_awaitable);
      },
      boost::asio::detached);
    CHECK(FailureOf(call));
  }
}

TEST(HttpClient, CancellingEndsACallThatWaitsForItsReply)
{
  bool caller_gone = false;
  const auto cancel = std::make_shared<net::CallCancel>();
  const auto server =
    Start([&](net::HttpExchange& aExchange) -> awaitable<void> {
      aExchange.OnCallerGone([&] { caller_gone = true; });
      cancel->Cancel();
      while (!caller_gone) {
        co_await net::Sleep(1ms);
      }
    });
  net::HttpCall call = CallTo(AuthorityOf(*server));
  call.cancel = cancel;
  CHECK(FailureOf(call));
  RunUntil(context, [&] { return caller_gone; });
  // What starts after it was cancelled is not sent at all.
  CHECK_FALSE(FailureOf(call));
}

TEST(HttpClient, DroppingAStreamClosesItsConnection)
{
  bool caller_gone = false;
  const auto server =
    Start([&](net::HttpExchange& aExchange) -> awaitable<void> {
      aExchange.OnCallerGone([&] { caller_gone = true; });
      co_await aExchange.StartStream(200, {});
      co_await aExchange.WriteChunk("some");
      while (!caller_gone) {
        co_await net::Sleep(1ms);
      }
    });
  RunIn(context, [&]() -> awaitable<void> {
    const auto stream = co_await client->Open(CallTo(AuthorityOf(*server)));
    co_await stream->ReadSome();
  });
  RunUntil(context, [&] { return caller_gone; });
}
