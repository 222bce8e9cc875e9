#include "jujubehead/net/tls.hpp"

#include <CppUTest/TestHarness.h> // for TEST

#include <filesystem> // for copy_file

#include <boost/asio/io_context.hpp> // for io_context

#include "net_test_tools.hpp"    // for RunIn, RunUntil
#include "raw_caller.hpp"        // for RawCaller
#include "test_certificates.hpp" // for TestCertificates

#include "jujubehead/net/http_client.hpp" // for HttpClient
#include "jujubehead/net/http_server.hpp" // for HttpServer
#include "jujubehead/net/peer_link.hpp"   // for PeerLinks

namespace asio = boost::asio;
namespace core = jujubehead::core;
namespace net = jujubehead::net;
using asio::awaitable;
using core::InstanceId;
using net::TlsCredentials;
using net::TlsFiles;
using net::test::RunIn;
using net::test::RunUntil;

namespace {

awaitable<void>
Stream(net::HttpExchange& aExchange)
{
  co_await aExchange.StartStream(200, {});
  for (int i = 0; i < 100; ++i) {
    co_await aExchange.WriteChunk("data: " + std::to_string(i) + "\n\n");
  }
  co_await aExchange.EndStream();
}

std::shared_ptr<TlsCredentials>
Load(TlsFiles aFiles)
{
  return TlsCredentials::Load(std::move(aFiles)).value();
}

/// Without an authority, as for callers, who show no certificate.
TlsFiles
ForCallers(TlsFiles aFiles)
{
  aFiles.authority.clear();
  return aFiles;
}

} // namespace

TEST_GROUP(Tls)
{
  asio::io_context context;
  std::unique_ptr<net::HttpClient> client = net::HttpClient::Create(context);
  net::test::TestCertificates certificates;
  int messages = 0;

  std::unique_ptr<net::PeerLinks> StartLinks(
    const char* aSelf, std::shared_ptr<TlsCredentials> aTls)
  {
    net::PeerLinksOptions options;
    options.self = InstanceId(aSelf);
    options.secret = "secret";
    options.tls = std::move(aTls);
    return net::PeerLinks::Create(
      context,
      std::move(options),
      [this](const InstanceId&, std::span<const std::uint8_t>) { ++messages; });
  }

  /// Calls a server, trusting one certificate only.
  /// @return the reply's body; empty when the server is not trusted.
  std::string Call(std::uint16_t aPort, const std::string& aTrusted)
  {
    net::HttpCall call;
    call.authority = "127.0.0.1:" + std::to_string(aPort);
    call.tls = Load({ "", "", aTrusted });
    std::string body;
    RunIn(context, [&]() -> awaitable<void> {
      try {
        const auto response = co_await client->Fetch(call);
        body = response.body;
      } catch (const net::HttpCallError& error) {
        CHECK_FALSE(error.Dispatched());
      }
    });
    return body;
  }
};

TEST(Tls, TellsAllThatIsWrongWithItsFiles)
{
  const auto none = TlsCredentials::Load({ "/no/c", "/no/k", "/no/a" });
  CHECK(!none);
  UNSIGNED_LONGS_EQUAL(3, none.error().size());
  STRCMP_EQUAL("/no/k", none.error()[1].place.file.c_str());
}

TEST(Tls, RefusesAKeyOfAnotherCertificate)
{
  TlsFiles mixed = certificates.Make("one");
  mixed.key = certificates.Make("two").key;
  const auto loaded = TlsCredentials::Load(mixed);
  CHECK(!loaded);
  STRCMP_EQUAL(mixed.key.c_str(), loaded.error().at(0).place.file.c_str());
}

TEST(Tls, CallersAreServedAndNewOnesSeeTheNewCertificate)
{
  const TlsFiles first = certificates.Make("first");
  const TlsFiles second = certificates.Make("second");
  const std::string trusted = certificates.PathOf("trusted.pem");
  std::filesystem::copy_file(first.certificate, trusted);

  const auto tls = Load(ForCallers(first));
  net::HttpServerOptions options;
  options.tls = tls;
  const auto server = net::HttpServer::Create(context, options, Stream);
  CHECK(Call(server->Port(), trusted).ends_with("data: 99\n\n"));

  constexpr auto kReplace = std::filesystem::copy_options::overwrite_existing;
  std::filesystem::copy_file(second.certificate, first.certificate, kReplace);
  UNSIGNED_LONGS_EQUAL(1, tls->Reload().size()); // The key is the old one.
  CHECK(!Call(server->Port(), trusted).empty());

  std::filesystem::copy_file(second.key, first.key, kReplace);
  CHECK(tls->Reload().empty());
  CHECK(Call(server->Port(), trusted).empty());
  CHECK(!Call(server->Port(), second.certificate).empty());
}

TEST(Tls, ACallerWithoutTlsIsTurnedAway)
{
  net::HttpServerOptions options;
  options.tls = Load(ForCallers(certificates.Make("one")));
  const auto server = net::HttpServer::Create(context, options, Stream);
  net::test::RawCaller caller(context, server->Port());
  RunIn(context, [&]() -> awaitable<void> {
    co_await caller.Write("GET / HTTP/1.1\r\n\r\n");
    const std::string reply = co_await caller.ReadAll();
    CHECK(reply.find("200") == std::string::npos);
  });
  RunUntil(context, [&] { return server->OpenConnections() == 0; });
}

TEST(Tls, InstancesUnderOneAuthorityLink)
{
  const TlsFiles files = certificates.Make("deployment");
  const auto a = StartLinks("a", Load(files));
  const auto b = StartLinks("b", Load(files));
  a->SetAddress(InstanceId("b"), "127.0.0.1:" + std::to_string(b->Port()));
  CHECK(a->Send(InstanceId("b"), { 1 }));
  RunUntil(context, [&] { return messages == 1; });
}

TEST(Tls, AnInstanceUnderAnotherAuthorityDoesNotLink)
{
  const TlsFiles files = certificates.Make("deployment");
  TlsFiles stranger = certificates.Make("stranger");
  // It trusts the deployment, which does not trust it.
  stranger.authority = files.authority;
  const auto a = StartLinks("a", Load(stranger));
  const auto b = StartLinks("b", Load(files));
  a->SetAddress(InstanceId("b"), "127.0.0.1:" + std::to_string(b->Port()));
  CHECK(a->Send(InstanceId("b"), { 1 }));
  RunUntil(context, [&] { return a->Counters().dropped == 1; });
  LONGS_EQUAL(0, messages);
  UNSIGNED_LONGS_EQUAL(0, b->Counters().open_links);
}
