#include "jujubehead/net/http_server.hpp"

#include <CppUTest/TestHarness.h> // for TEST

#include <boost/asio/io_context.hpp> // for io_context

#include "net_test_tools.hpp" // for RunIn, RunUntil
#include "raw_caller.hpp"     // for RawCaller

#include "jujubehead/net/timer.hpp" // for Sleep

namespace net = jujubehead::net;
using boost::asio::awaitable;
using net::test::RawCaller;
using net::test::RunIn;
using net::test::RunUntil;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view kGet = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

awaitable<void>
Echo(net::HttpExchange& aExchange)
{
  const net::HttpRequest& request = aExchange.Request();
  net::HttpResponse response;
  response.body = request.target + "|" + request.body + ";";
  co_await aExchange.Send(std::move(response));
}

bool
Has(const std::string& aText, std::string_view aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

TEST_GROUP(HttpServer)
{
  boost::asio::io_context context;
  net::HttpServerOptions options;

  std::unique_ptr<net::HttpServer> Start(net::HttpHandler aHandler)
  {
    return net::HttpServer::Create(context, options, std::move(aHandler));
  }
  /// Sends bytes and returns all that comes until the server closes.
  std::string Exchange(const net::HttpServer& aServer, std::string_view aBytes)
  {
    RawCaller caller(context, aServer.Port());
    std::string reply;
    RunIn(context, [&]() -> awaitable<void> {
      co_await caller.Write(aBytes);
      reply = co_await caller.ReadAll();
    });
    return reply;
  }
};

TEST(HttpServer, RefusesALongHeader)
{
  options.header_limit = 200;
  const auto server = Start(Echo);
  const std::string reply = Exchange(
    *server, "GET / HTTP/1.1\r\nX: " + std::string(500, 'x') + "\r\n\r\n");
  CHECK(reply.starts_with("HTTP/1.1 431 "));
  CHECK(Has(reply, R"("code":"header_too_large")"));
  CHECK(Has(reply, "X-Jujubehead-Run-State: not_run"));
}

TEST(HttpServer, RefusesALongBodyByItsAnnouncedLength)
{
  options.body_limit = 10;
  const auto server = Start(Echo);
  const std::string reply = Exchange(
    *server, "POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n0123456789a");
  CHECK(reply.starts_with("HTTP/1.1 413 "));
  CHECK(Has(reply, R"("run_state":"not_run")"));
}

TEST(HttpServer, RefusesALongBodyInChunks)
{
  options.body_limit = 10;
  const auto server = Start(Echo);
  const std::string reply =
    Exchange(*server,
             "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
             "8\r\n01234567\r\n8\r\n01234567\r\n0\r\n\r\n");
  CHECK(reply.starts_with("HTTP/1.1 413 "));
}

// They were kept until they ended, and the process ran out of memory.
TEST(HttpServer, RefusesAChunkLineOrATrailerThatDoesNotEnd)
{
  options.header_limit = 1000;
  options.body_timeout = 5s;
  const auto server = Start(Echo);
  for (const char* const begin :
       { "000", "5;name=", "5\r\nhello\r\n0\r\nX-Trailer: " }) {
    const std::string reply = Exchange(
      *server,
      std::string("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n") +
        begin + std::string(5000, '0'));
    CHECK_TEXT(reply.starts_with("HTTP/1.1 431 "), begin);
  }
}

TEST(HttpServer, RefusesWhatIsNoHttp)
{
  const auto server = Start(Echo);
  const std::string reply = Exchange(*server, "\x16\x03\x01 hello\r\n\r\n");
  CHECK(reply.starts_with("HTTP/1.1 400 "));
  CHECK(Has(reply, R"("type":"invalid_request_error")"));
}

TEST(HttpServer, RefusesAHeaderThatDoesNotEnd)
{
  options.header_timeout = 20ms;
  const auto server = Start(Echo);
  const std::string reply = Exchange(*server, "GET / HTTP/1.1\r\nX: y");
  CHECK(reply.starts_with("HTTP/1.1 408 "));
}

TEST(HttpServer, RefusesABodyThatDoesNotEnd)
{
  options.body_timeout = 20ms;
  const auto server = Start(Echo);
  const std::string reply =
    Exchange(*server, "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n123");
  CHECK(reply.starts_with("HTTP/1.1 408 "));
}

TEST(HttpServer, ClosesAnIdleConnectionWithoutAWord)
{
  options.idle_timeout = 20ms;
  const auto server = Start(Echo);
  STRCMP_EQUAL("", Exchange(*server, "").c_str());
}

TEST(HttpServer, AnswersPipelinedRequestsInOrder)
{
  const auto server = Start(Echo);
  const std::string reply =
    Exchange(*server,
             "POST /1 HTTP/1.1\r\nContent-Length: 3\r\n\r\none"
             "POST /2 HTTP/1.1\r\nContent-Length: 3\r\n\r\ntwo"
             "GET /3 HTTP/1.1\r\nConnection: close\r\n\r\n");
  const auto first = reply.find("/1|one;");
  const auto second = reply.find("/2|two;");
  const auto third = reply.find("/3|;");
  CHECK(first < second && second < third && third != std::string::npos);
}

TEST(HttpServer, KeepsBytesThatComeWhileAHandlerRuns)
{
  bool running = false;
  bool go_on = false;
  const auto server =
    Start([&](net::HttpExchange& aExchange) -> awaitable<void> {
      running = true;
      while (!go_on) {
        co_await net::Sleep(1ms);
      }
      co_await Echo(aExchange);
    });
  RawCaller caller(context, server->Port());
  RunIn(context, [&]() -> awaitable<void> {
    co_await caller.Write("GET /1 HTTP/1.1\r\n\r\n");
    while (!running) {
      co_await net::Sleep(1ms);
    }
    co_await caller.Write("GET /2 HTTP/1.1\r\nConne");
    go_on = true;
    CHECK(Has(co_await caller.ReadTo("/1|;"), "/1|;"));
    co_await caller.Write("ction: close\r\n\r\n");
    CHECK(Has(co_await caller.ReadAll(), "/2|;"));
  });
}

TEST(HttpServer, TellsTheHandlerThatItsCallerIsGone)
{
  bool started = false;
  bool gone = false;
  bool write_threw = false;
  const auto server =
    Start([&](net::HttpExchange& aExchange) -> awaitable<void> {
      aExchange.OnCallerGone([&] { gone = true; });
      started = true;
      while (!gone) {
        co_await net::Sleep(1ms);
      }
      try {
        co_await aExchange.StartStream(200, {});
      } catch (const boost::system::system_error&) {
        write_threw = true;
      }
    });
  RawCaller caller(context, server->Port());
  RunIn(context, [&]() -> awaitable<void> { co_await caller.Write(kGet); });
  RunUntil(context, [&] { return started; });
  caller.Close();
  RunUntil(context, [&] { return write_threw; });
  CHECK(gone);
  RunUntil(context, [&] { return server->OpenConnections() == 0; });
}

TEST(HttpServer, ASlowReaderHoldsItsWriterBack)
{
  constexpr std::size_t kChunks = 1024;
  constexpr std::size_t kChunkBytes = 65536;
  options.write_timeout = 50ms;
  std::size_t written = 0;
  bool ended = false;
  const auto server =
    Start([&](net::HttpExchange& aExchange) -> awaitable<void> {
      const std::string chunk(kChunkBytes, 'x');
      try {
        co_await aExchange.StartStream(200, {});
        for (std::size_t i = 0; i < kChunks; ++i) {
          co_await aExchange.WriteChunk(chunk);
          ++written;
        }
      } catch (const boost::system::system_error&) {
      }
      ended = true;
    });
  RawCaller caller(context, server->Port());
  RunIn(context, [&]() -> awaitable<void> { co_await caller.Write(kGet); });
  RunUntil(context, [&] { return ended; });
  // What fits is the sockets' buffers; nothing is kept here.
  CHECK(written < kChunks / 2);
}

TEST(HttpServer, AnswersForAHandlerThatFails)
{
  const auto server = Start([](net::HttpExchange&) -> awaitable<void> {
    throw std::runtime_error("no");
    co_return;
  });
  const std::string reply = Exchange(*server, kGet);
  CHECK(reply.starts_with("HTTP/1.1 500 "));
  CHECK(Has(reply, R"("run_state":"unknown")"));
}

TEST(HttpServer, CutsAStreamWhoseHandlerFails)
{
  const auto server =
    Start([](net::HttpExchange& aExchange) -> awaitable<void> {
      co_await aExchange.StartStream(200, {});
      co_await aExchange.WriteChunk("some");
      throw std::runtime_error("no");
    });
  const std::string reply = Exchange(*server, kGet);
  CHECK(reply.ends_with("4\r\nsome\r\n"));
}

TEST(HttpServer, AsksForABodyThatWaitsForLeave)
{
  const auto server = Start(Echo);
  RawCaller caller(context, server->Port());
  RunIn(context, [&]() -> awaitable<void> {
    co_await caller.Write("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                          "Expect: 100-continue\r\n\r\n");
    CHECK(Has(co_await caller.ReadTo("\r\n\r\n"), "100 Continue"));
    co_await caller.Write("abc");
    CHECK(Has(co_await caller.ReadTo("/|abc;"), "200 OK"));
  });
}

TEST(HttpServer, StreamsToAnOldCallerUntilTheConnectionEnds)
{
  const auto server =
    Start([](net::HttpExchange& aExchange) -> awaitable<void> {
      co_await aExchange.StartStream(200, {});
      co_await aExchange.WriteChunk("a");
      co_await aExchange.WriteChunk("b");
      co_await aExchange.EndStream();
    });
  const std::string reply =
    Exchange(*server, "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
  CHECK(reply.ends_with("\r\n\r\nab"));
}

// An orderly end would make the part look whole: without chunks, the end of the
// connection is that of the body.
TEST(HttpServer, AStreamToAnOldCallerIsCutByAReset)
{
  const auto server =
    Start([](net::HttpExchange& aExchange) -> awaitable<void> {
      co_await aExchange.StartStream(200, {});
      co_await aExchange.WriteChunk("a part");
      throw std::runtime_error("failed");
    });
  RawCaller caller(context, server->Port());
  std::string reply;
  RunIn(context, [&]() -> awaitable<void> {
    co_await caller.Write("GET / HTTP/1.0\r\n\r\n");
    reply = co_await caller.ReadAll();
  });
  CHECK(caller.End() == boost::asio::error::connection_reset);
}

TEST(HttpServer, AStreamToAnOldCallerEndsInOrder)
{
  const auto server =
    Start([](net::HttpExchange& aExchange) -> awaitable<void> {
      co_await aExchange.StartStream(200, {});
      co_await aExchange.WriteChunk("the whole");
      co_await aExchange.EndStream();
    });
  RawCaller caller(context, server->Port());
  std::string reply;
  RunIn(context, [&]() -> awaitable<void> {
    co_await caller.Write("GET / HTTP/1.0\r\n\r\n");
    reply = co_await caller.ReadAll();
  });
  CHECK(reply.ends_with("the whole"));
  CHECK(caller.End() == boost::asio::error::eof);
}

TEST(HttpServer, AnswersHeadWithoutABody)
{
  const auto server = Start(Echo);
  const std::string reply =
    Exchange(*server, "HEAD /a HTTP/1.1\r\nConnection: close\r\n\r\n");
  CHECK(Has(reply, "Content-Length: 4\r\n"));
  CHECK(reply.ends_with("\r\n\r\n"));
}

TEST(HttpServer, EndsOpenExchangesBeforeItClosesThem)
{
  bool started = false;
  bool go_on = false;
  const auto server =
    Start([&](net::HttpExchange& aExchange) -> awaitable<void> {
      started = true;
      while (!go_on) {
        co_await net::Sleep(1ms);
      }
      co_await Echo(aExchange);
    });
  RawCaller caller(context, server->Port());
  RunIn(context, [&]() -> awaitable<void> {
    co_await caller.Write(kGet);
    while (!started) {
      co_await net::Sleep(1ms);
    }
    server->StopAccepting();
    go_on = true;
    const std::string reply = co_await caller.ReadAll();
    CHECK(Has(reply, "Connection: close"));
    CHECK(reply.ends_with("/a|;"));
  });
}

TEST(HttpServer, DecodesTheQuery)
{
  net::HttpRequest request;
  request.target = "/p?a=1+2%20x&b&c=%zz&d=%4";
  STRCMP_EQUAL("/p", std::string(request.Path()).c_str());
  STRCMP_EQUAL("1 2 x", request.Query("a")->c_str());
  STRCMP_EQUAL("", request.Query("b")->c_str());
  STRCMP_EQUAL("%zz", request.Query("c")->c_str());
  STRCMP_EQUAL("%4", request.Query("d")->c_str());
  CHECK_FALSE(request.Query("e").has_value());
}
