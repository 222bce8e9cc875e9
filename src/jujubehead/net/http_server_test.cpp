#include "jujubehead/net/http_server.hpp"

#include <CppUTest/TestHarness.h> // for TEST

#include <boost/asio/io_context.hpp> // for io_context

#include "net_test_tools.hpp" // for RunIn

#include "jujubehead/net/http_client.hpp" // for HttpClient

namespace net = jujubehead::net;
using boost::asio::awaitable;
using net::test::AuthorityOf;
using net::test::RunIn;

TEST_GROUP(HttpServer)
{
  boost::asio::io_context context;
  std::unique_ptr<net::HttpClient> client = net::HttpClient::Create(context);
};

TEST(HttpServer, AnswersWithTheBodyThatTheHandlerSends)
{
  const auto server = net::HttpServer::Create(
    context, {}, [](net::HttpExchange& aExchange) -> awaitable<void> {
      net::HttpResponse response{ 201, {}, "got " + aExchange.Request().body };
      co_await aExchange.Send(std::move(response));
    });
  RunIn(context, [&]() -> awaitable<void> {
    for (const std::string body : { "one", "two" }) {
      net::HttpCall call;
      call.authority = AuthorityOf(*server);
      call.method = "POST";
      call.body = body;
      const auto response = co_await client->Fetch(std::move(call));
      UNSIGNED_LONGS_EQUAL(201, response.status);
      STRCMP_EQUAL(("got " + body).c_str(), response.body.c_str());
    }
  });
  UNSIGNED_LONGS_EQUAL(1, server->OpenConnections());
}

TEST(HttpServer, StreamsChunksToTheirEnd)
{
  const auto server = net::HttpServer::Create(
    context, {}, [](net::HttpExchange& aExchange) -> awaitable<void> {
      co_await aExchange.StartStream(200, {});
      for (int i = 0; i < 1000; ++i) {
        co_await aExchange.WriteChunk("data: " + std::to_string(i) + "\n\n");
      }
      co_await aExchange.EndStream();
    });
  std::string all;
  RunIn(context, [&]() -> awaitable<void> {
    net::HttpCall call;
    call.authority = AuthorityOf(*server);
    const auto stream = co_await client->Open(std::move(call));
    for (;;) {
      const auto bytes = co_await stream->ReadSome();
      if (bytes.empty()) {
        break;
      }
      all += bytes;
    }
  });
  CHECK(all.ends_with("data: 999\n\n"));
}
