#include <chrono> // for steady_clock
#include <memory> // for unique_ptr

#include <CppUTest/TestHarness.h>    // for TEST
#include <boost/asio/co_spawn.hpp>   // for co_spawn
#include <boost/asio/detached.hpp>   // for detached
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/net/http1/outbound_connection.hpp" // for OutboundConnection
#include "jujubehead/node/forward/tunnel.hpp"           // for OpenTunnel
#include "standin/entry_deployment.hpp"
#include "standin/raw_target.hpp"

using namespace jujubehead;
using boost::system::error_code;
using standin::EntryDeployment;
using standin::EntryDeploymentOptions;
using standin::RawEnd;
using standin::RawReply;
using standin::RawTarget;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
namespace asio = boost::asio;

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadGateway = 502;
/// For kinds of replies where it differs which of two handlers runs first; more
/// failures in a row eject a target.
constexpr int kRequests = 5;
constexpr int kTunnels = 100;
/// More than the sockets between an instance and a target buffer.
constexpr std::size_t kUploadBytes = 3900UL * 1000;
/// A part of the route's timeout of 5 s.
constexpr std::chrono::seconds kMaxTime{ 3 };

constexpr const char* kOkLine = "HTTP/1.1 200 OK\r\n";
constexpr const char* kCall = "/once/x";
constexpr const char* kStream = "/chat/x";
constexpr const char* kEvents = "data: one\n\ndata: two\n\n";

/// @param aLines the status line and headers that differ.
RawReply
ReplyOf(const std::string& aLines)
{
  RawReply reply;
  reply.head = aLines + "X-Response-Seal: seal\r\n"
                        "Content-Type: text/event-stream\r\n";
  reply.piece = kEvents;
  reply.pieces = 1;
  return reply;
}

/// A reply without a length, sent while the request's body is unread.
RawReply
EarlyReply(const std::string& aStatusLine, RawEnd aEnd)
{
  RawReply reply = ReplyOf(aStatusLine);
  reply.is_early = true;
  reply.end = aEnd;
  return reply;
}

} // namespace

// A faulty target sends what is no reply, or a part of one.
TEST_GROUP(BrokenReply)
{
  std::unique_ptr<RawTarget> target;
  std::unique_ptr<EntryDeployment> deployment;
  int sent = 0;
  std::size_t body_bytes = 300;

  void Start(const RawReply& aReply, EntryDeploymentOptions aOptions = {})
  {
    if (deployment) {
      target->SetReply(aReply);
      return;
    }
    aOptions.targets = 1;
    deployment = EntryDeployment::Start(aOptions);
    target = std::make_unique<RawTarget>(aReply);
    CHECK(deployment->ReplaceTarget("model0", target->Authority()));
    CHECK(deployment->ReplaceTarget("service0", target->Authority()));
  }
  /// The first instance reaches the target through the second one only.
  void StartBehindTunnel(const RawReply& aReply)
  {
    EntryDeploymentOptions options;
    options.instances = 2;
    options.has_path_views = true;
    Start(aReply, options);
    deployment->SetCut(0, "reset");
  }
  void teardown() override
  {
    deployment.reset();
    target.reset();
  }
  net::HttpResponse Send(const std::string& aPath)
  {
    net::HttpHeaders lines;
    lines.Add("X-Attempt-Id", "r" + std::to_string(++sent));
    lines.Add("Authorization", "Token key-1");
    lines.Add("X-Deadline-Ms", "5000");
    return deployment->CallAt(
      0, "POST", aPath, lines, std::string(body_bytes, 'u'));
  }
  /// Sends an upload through the tunnel of an instance.
  /// @return how the reply ends.
  error_code EndBehindTunnel()
  {
    asio::io_context context;
    error_code end;
    asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        const auto connection =
          net::OutboundConnection::Create(context.get_executor(), {});
        const asio::ip::tcp::endpoint peer(asio::ip::address_v4::loopback(),
                                           deployment->TunnelPort(0));
        const core::TargetId id("raw-model0");
        const node::TunnelReply reply =
          co_await node::OpenTunnel(connection, peer, id, peer);
        CHECK(reply.status == node::TunnelStatus::kOpen);
        connection->Send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                         std::to_string(body_bytes) + "\r\n\r\n" +
                         std::string(body_bytes, 'u'));
        while (!end) {
          end = co_await connection->Read();
        }
        connection->Close();
      },
      asio::detached);
    context.run();
    return end;
  }
  /// Checks that callers get no reply of the target, and that they get it soon.
  void CheckIsBroken(const char* aKind, int aRequests = 1)
  {
    for (const char* path : { kCall, kStream }) {
      for (int i = 0; i < aRequests; ++i) {
        const std::size_t replies = target->Replies();
        const auto begin = steady_clock::now();
        const net::HttpResponse response = Send(path);
        CHECK_TEXT(target->Replies() > replies, aKind);
        CHECK_TEXT(steady_clock::now() - begin < kMaxTime, aKind);
        // A stream that has begun is cut.
        const bool is_failure =
          response.status == kBadGateway ||
          (path == std::string(kStream) && response.status == 0);
        CHECK_TEXT(is_failure, (path + std::string(" ") + aKind).c_str());
      }
    }
  }
  void CheckIsWhole(unsigned aStatus, const char* aKind)
  {
    for (const char* path : { kCall, kStream }) {
      for (int i = 0; i < kRequests; ++i) {
        const net::HttpResponse response = Send(path);
        CHECK_EQUAL_TEXT(aStatus, response.status, aKind);
        STRCMP_EQUAL_TEXT(kEvents, response.body.c_str(), aKind);
      }
    }
  }
};

// The write of the upload took the reset, so that the next read returned an end
// of the input: callers got the part as a whole reply.
TEST(BrokenReply, WithoutALengthIsNotWholeWhenItIsResetDuringTheUpload)
{
  body_bytes = kUploadBytes;
  Start(EarlyReply(kOkLine, RawEnd::kReset));
  CheckIsBroken("200", kRequests);
}

TEST(BrokenReply, WithoutALengthIsNotWholeWhenItIsClosedDuringTheUpload)
{
  body_bytes = kUploadBytes;
  Start(EarlyReply(kOkLine, RawEnd::kClosed));
  CheckIsBroken("200", kRequests);
}

TEST(BrokenReply, OfAnyStatusOrVersionIsNotWholeWhenItIsResetDuringTheUpload)
{
  body_bytes = kUploadBytes;
  for (const char* status : { "HTTP/1.1 200 OK\r\nConnection: close\r\n",
                              "HTTP/1.0 200 OK\r\n",
                              "HTTP/1.1 500 Oops\r\n" }) {
    Start(EarlyReply(status, RawEnd::kReset));
    CheckIsBroken(status);
  }
}

TEST(BrokenReply, WithoutALengthIsNotWholeWhenItIsResetBehindATunnel)
{
  body_bytes = kUploadBytes;
  StartBehindTunnel(EarlyReply(kOkLine, RawEnd::kReset));
  CheckIsBroken("behind a tunnel", kRequests);
  CHECK(deployment->Total(0, node::Counter::kTunnels) > 0);
}

// The tunnel sent the frame of an orderly end, as the write of the upload had
// taken the reset.
TEST(BrokenReply, ATunnelPassesAResetDuringTheUploadOn)
{
  body_bytes = kUploadBytes;
  for (const RawEnd end : { RawEnd::kReset, RawEnd::kClosed }) {
    Start(EarlyReply(kOkLine, end));
    for (int i = 0; i < kTunnels; ++i) {
      CHECK(EndBehindTunnel() == asio::error::connection_reset);
    }
  }
}

// A target that is killed ends its connection in order if it has read all that
// had come, and resets it when more comes.
TEST(BrokenReply, WithoutALengthIsNotWholeWhenAResetFollowsDuringTheUpload)
{
  body_bytes = kUploadBytes;
  for (const milliseconds before_reset :
       { milliseconds(0), milliseconds(50) }) {
    RawReply reply = EarlyReply(kOkLine, RawEnd::kHalfClosedThenReset);
    reply.before_reset = before_reset;
    Start(reply);
    CheckIsBroken("reset after an orderly end", 2);
  }
}

TEST(BrokenReply, WithoutALengthIsNotWholeWhenItIsReset)
{
  RawReply reply = ReplyOf(kOkLine);
  reply.end = RawEnd::kReset;
  Start(reply);
  CheckIsBroken("small request", kRequests);
}

// A target may reply before it has read a long body.
TEST(BrokenReply, AnEarlyOneThatEndsInOrderIsWhole)
{
  body_bytes = kUploadBytes;
  for (const char* status : { kOkLine,
                              "HTTP/1.0 200 OK\r\n",
                              "HTTP/1.1 200 OK\r\nContent-Length: 22\r\n" }) {
    Start(EarlyReply(status, RawEnd::kHalfClosed));
    CheckIsWhole(kOk, status);
  }
}

TEST(BrokenReply, AnEarlyOneThatEndsInOrderIsWholeBehindATunnel)
{
  body_bytes = kUploadBytes;
  StartBehindTunnel(EarlyReply(kOkLine, RawEnd::kHalfClosed));
  CheckIsWhole(kOk, "behind a tunnel");
}

// A status below 200 was taken for that of an interim reply: callers got the
// next reply, or none before their deadline.
TEST(BrokenReply, OfAStatusThatDoesNotExist)
{
  const std::string ok = "\r\nHTTP/1.1 200 OK\r\nContent-Length: 22\r\n";
  for (const std::string& lines :
       { std::string("HTTP/1.1 000 Odd\r\nContent-Length: 22\r\n"),
         "HTTP/1.1 000 Odd\r\n" + ok,
         "HTTP/1.1 099 Odd\r\n" + ok,
         std::string("HTTP/1.1 600 Odd\r\nContent-Length: 22\r\n") }) {
    RawReply reply = ReplyOf(lines);
    reply.end = RawEnd::kOpen;
    Start(reply);
    CheckIsBroken(lines.c_str());
  }
}

// It was skipped like any other interim reply, although what follows it belongs
// to another protocol.
TEST(BrokenReply, ThatSwitchesProtocolsUnasked)
{
  Start(ReplyOf("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n"
                "HTTP/1.1 200 OK\r\nContent-Length: 22\r\n"));
  CheckIsBroken("101");
}

// Callers got the body in that coding, or in raw chunks, without a header that
// says so.
TEST(BrokenReply, InATransferCodingOtherThanChunks)
{
  for (const char* coding :
       { "chunked, identity", "squeeze", "gzip, chunked" }) {
    RawReply reply = ReplyOf(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + std::string(coding) + "\r\n");
    reply.piece = "16\r\n" + std::string(kEvents) + "\r\n0\r\n\r\n";
    Start(reply);
    CheckIsBroken(coding);
  }
}

TEST(BrokenReply, WithAHeaderNameThatIsNoToken)
{
  for (const char* line : { "X Y: z\r\n",
                            "X\x01: z\r\n",
                            "Content-Length : 3\r\n",
                            "no colon\r\n" }) {
    Start(ReplyOf(std::string(kOkLine) + line));
    CheckIsBroken(line);
  }
}

TEST(BrokenReply, SoundOnesAreWhole)
{
  // The target closes each connection. Unless it says so, the next request may
  // be sent on one that is being closed, and is lost.
  const std::string closes = "Connection: close\r\n";
  Start(ReplyOf("HTTP/1.1 200 OK\r\nContent-Length: 22\r\n" + closes));
  CheckIsWhole(kOk, "with a length");
  Start(ReplyOf(kOkLine));
  CheckIsWhole(kOk, "to the end of the connection");
  Start(ReplyOf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"
                "HTTP/1.1 200 OK\r\nContent-Length: 22\r\n" +
                closes));
  CheckIsWhole(kOk, "after interim replies");
  RawReply chunked =
    ReplyOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n" + closes);
  chunked.piece = "16\r\n" + std::string(kEvents) + "\r\n0\r\n\r\n";
  Start(chunked);
  CheckIsWhole(kOk, "in chunks");
  body_bytes = kUploadBytes;
  Start(EarlyReply("HTTP/1.1 413 Too Large\r\nContent-Length: 22\r\n",
                   RawEnd::kHalfClosed));
  CheckIsWhole(413, "before the upload was read");
}
