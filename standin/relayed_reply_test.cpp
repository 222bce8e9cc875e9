#include <future> // for async
#include <memory> // for unique_ptr
#include <thread> // for sleep_for

#include <CppUTest/TestHarness.h>    // for TEST
#include <boost/asio/io_context.hpp> // for io_context
#include <boost/asio/ip/tcp.hpp>     // for tcp
#include <boost/asio/read.hpp>       // for read
#include <boost/asio/read_until.hpp> // for read_until
#include <boost/asio/write.hpp>      // for write

#include "standin/entry_deployment.hpp"
#include "standin/raw_target.hpp"

using namespace jujubehead;
using standin::EntryDeployment;
using standin::EntryDeploymentOptions;
using standin::RawReply;
using standin::RawTarget;
using std::chrono::milliseconds;

namespace {

constexpr unsigned kOk = 200;
constexpr std::size_t kPieces = 20;
constexpr milliseconds kInterval{ 100 };
/// From the begin of a reply until the instance that relays it ends.
constexpr milliseconds kBeforeEnd{ 600 };

/// A reply without a length, of several writes; an empty type: plain.
RawReply
ReplyWithoutLength(const std::string& aType)
{
  RawReply reply;
  reply.head = "HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\n";
  if (!aType.empty()) {
    reply.head += "Content-Type: " + aType + "\r\n";
  }
  reply.piece = "data: piece\n\n";
  reply.pieces = kPieces;
  reply.interval = kInterval;
  return reply;
}

} // namespace

// Replies without a length end with their connection. Here another instance
// relays them, as the one that took the request has lost its paths.
TEST_GROUP(RelayedReply)
{
  std::unique_ptr<RawTarget> target;
  std::unique_ptr<EntryDeployment> deployment;

  /// Two instances before one target; the first has lost its path to it.
  void Start(const RawReply& aReply, const char* aTarget)
  {
    EntryDeploymentOptions options;
    options.targets = 1;
    options.instances = 2;
    options.has_path_views = true;
    deployment = EntryDeployment::Start(options);
    target = std::make_unique<RawTarget>(aReply);
    CHECK(deployment->ReplaceTarget(aTarget, target->Authority()));
    deployment->SetCut(0, "reset");
  }
  void teardown() override
  {
    deployment.reset();
    target.reset();
  }
  net::HttpResponse Send(const std::string& aPath, const std::string& aId)
  {
    net::HttpHeaders lines;
    lines.Add("X-Attempt-Id", aId);
    lines.Add("Authorization", "Token key-1");
    lines.Add("X-Deadline-Ms", "5000");
    return deployment->CallAt(0, "POST", aPath, lines, "hello");
  }
  /// Sends a request, and ends the instance that relays its reply meanwhile.
  net::HttpResponse SendAndEndRelay(const std::string& aPath)
  {
    auto response =
      std::async(std::launch::async, [&] { return Send(aPath, "cut"); });
    std::this_thread::sleep_for(kBeforeEnd);
    CHECK(deployment->Total(0, node::Counter::kTunnels) > 0);
    deployment->RestartAt(1);
    return response.get();
  }
};

// The kernel closes the connections of a process that ends in order, which was
// taken for the end of the reply: its caller got a part as the whole.
TEST(RelayedReply, AStreamIsNotWholeWhenItsRelayEnds)
{
  Start(ReplyWithoutLength("text/event-stream"), "model0");
  const net::HttpResponse response = SendAndEndRelay("/chat/x");
  LONGS_EQUAL(0, response.status);
}

TEST(RelayedReply, APlainReplyIsNotWholeWhenItsRelayEnds)
{
  Start(ReplyWithoutLength(""), "service0");
  const net::HttpResponse response = SendAndEndRelay("/once/x");
  CHECK(response.status != kOk);
}

// An instance of a former version takes the orderly end of the tunnel for that
// of the reply.
TEST(RelayedReply, ATunnelWithoutFramesIsResetWhenItsRelayEnds)
{
  Start(ReplyWithoutLength("text/event-stream"), "model0");
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket tunnel(context);
  tunnel.connect(
    { boost::asio::ip::address_v4::loopback(), deployment->TunnelPort(1) });
  const std::string connect =
    "CONNECT raw HTTP/1.1\r\nHost: raw\r\nTunnel-Target: raw-model0\r\n\r\n";
  const std::string request =
    "POST /chat/x HTTP/1.1\r\nHost: raw\r\nContent-Length: 0\r\n\r\n";
  std::string received;
  boost::asio::write(tunnel, boost::asio::buffer(connect));
  boost::asio::read_until(
    tunnel, boost::asio::dynamic_buffer(received), "\r\n\r\n");
  STRNCMP_EQUAL("HTTP/1.1 200", received.c_str(), 12);
  boost::asio::write(tunnel, boost::asio::buffer(request));
  received.clear();
  boost::asio::read_until(
    tunnel, boost::asio::dynamic_buffer(received), "data: piece\n\n");
  deployment->RestartAt(1);
  boost::system::error_code end;
  boost::asio::read(tunnel, boost::asio::dynamic_buffer(received), end);
  CHECK(end == boost::asio::error::connection_reset);
}

// To treat every such reply as broken would lose whole ones.
TEST(RelayedReply, RepliesThatTheTargetEndsAreWhole)
{
  RawReply reply = ReplyWithoutLength("text/event-stream");
  reply.interval = milliseconds(1);
  std::string whole;
  for (std::size_t i = 0; i < kPieces; ++i) {
    whole += reply.piece;
  }
  Start(reply, "model0");
  for (int i = 0; i < 10; ++i) {
    const auto response = Send("/chat/x", "r" + std::to_string(i));
    LONGS_EQUAL(kOk, response.status);
    STRCMP_EQUAL(whole.c_str(), response.body.c_str());
  }
  CHECK(deployment->Total(0, node::Counter::kTunnels) > 0);
}
