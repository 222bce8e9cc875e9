#include <CppUTest/TestHarness.h> // for TEST

#include <random> // for mt19937

#include <boost/asio/io_context.hpp> // for io_context

#include "net_test_tools.hpp" // for RunIn, RunUntil
#include "peer_proof.hpp"     // for EncodeGreeting
#include "raw_caller.hpp"     // for RawCaller

#include "jujubehead/net/http_server.hpp" // for HttpServer
#include "jujubehead/net/peer_link.hpp"   // for PeerLinks

namespace core = jujubehead::core;
namespace net = jujubehead::net;
using boost::asio::awaitable;
using net::test::RawCaller;
using net::test::RunIn;
using net::test::RunUntil;

namespace {

constexpr int kRounds = 300;
constexpr unsigned kSeed = 20261202;
constexpr std::string_view kGood =
  "POST /v1/x?a=b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
  "Expect: 100-continue\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n";
constexpr std::string_view kUpgrade =
  "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
  "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
  "Sec-WebSocket-Version: 13\r\n\r\n";

/// Changes, removes, repeats or inserts bytes at a few places.
std::string
Mutate(std::string_view aText, std::mt19937& aRandom)
{
  std::string text(aText);
  const auto changes = 1 + aRandom() % 4;
  for (unsigned i = 0; i < changes && !text.empty(); ++i) {
    const std::size_t place = aRandom() % text.size();
    switch (aRandom() % 4) {
      case 0:
        text[place] = static_cast<char>(aRandom());
        break;
      case 1:
        text.erase(place, 1 + aRandom() % 8);
        break;
      case 2:
        text.insert(place, text.substr(place / 2, 1 + aRandom() % 64));
        break;
      default:
        text.insert(place, 1 + aRandom() % 32, static_cast<char>(aRandom()));
    }
  }
  return text;
}

/// A client's frame around some bytes, with a mask of zeros.
std::string
Frame(std::string_view aPayload)
{
  std::string frame = "\x82";
  frame += static_cast<char>(0x80 | aPayload.size());
  frame.append(4, '\0');
  return frame.append(aPayload);
}

} // namespace

TEST_GROUP(MalformedInput)
{
  boost::asio::io_context context;
  std::mt19937 random{ kSeed };

  void Throw(std::uint16_t aPort, const std::string& aBytes)
  {
    RawCaller caller(context, aPort);
    RunIn(context, [&]() -> awaitable<void> { co_await caller.Write(aBytes); });
    context.poll();
  }
};

TEST(MalformedInput, TheServerOutlivesIt)
{
  const auto server = net::HttpServer::Create(
    context, {}, [](net::HttpExchange& aExchange) -> awaitable<void> {
      net::HttpResponse response;
      response.body = "ok" + aExchange.Request().Query("a").value_or("");
      co_await aExchange.Send(std::move(response));
    });
  for (int round = 0; round < kRounds; ++round) {
    Throw(server->Port(), Mutate(kGood, random));
  }
  RawCaller caller(context, server->Port());
  RunIn(context, [&]() -> awaitable<void> {
    co_await caller.Write(kGood);
    const std::string reply = co_await caller.ReadTo("okb");
    CHECK(reply.find("200 OK") != std::string::npos);
  });
  caller.Close();
  RunUntil(context, [&] { return server->OpenConnections() == 0; });
}

TEST(MalformedInput, ThePeerListenerOutlivesItAndOpensNoLink)
{
  net::PeerLinksOptions options;
  options.self = core::InstanceId("a");
  options.secret = "secret";
  int messages = 0;
  const auto count = [&](const core::InstanceId&,
                         std::span<const std::uint8_t>) { ++messages; };
  const auto links = net::PeerLinks::Create(context, options, count);
  const net::PeerHello hello{ core::InstanceId("b"),
                              core::InstanceId("a"),
                              net::NewNonce() };
  const net::Bytes greeting = net::EncodeGreeting(hello);
  const std::string framed =
    Frame({ reinterpret_cast<const char*>(greeting.data()), greeting.size() });
  for (int round = 0; round < kRounds; ++round) {
    const bool whole_upgrade = round % 2 == 0;
    Throw(links->Port(),
          (whole_upgrade ? std::string(kUpgrade) : Mutate(kUpgrade, random)) +
            Mutate(framed, random));
  }
  LONGS_EQUAL(0, messages);
  UNSIGNED_LONGS_EQUAL(0, links->Counters().open_links);

  options.self = core::InstanceId("b");
  const auto other = net::PeerLinks::Create(context, options, count);
  other->SetAddress(core::InstanceId("a"),
                    "127.0.0.1:" + std::to_string(links->Port()));
  CHECK(other->Send(core::InstanceId("a"), { 1 }));
  RunUntil(context, [&] { return messages == 1; });
}
