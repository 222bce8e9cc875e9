#include <chrono> // for steady_clock
#include <limits> // for numeric_limits
#include <memory> // for unique_ptr

#include <CppUTest/TestHarness.h> // for TEST

#include "standin/entry_deployment.hpp"
#include "standin/raw_target.hpp"

using namespace jujubehead;
using standin::EntryDeployment;
using standin::RawReply;
using standin::RawTarget;
using std::chrono::steady_clock;

namespace {

constexpr unsigned kOk = 200;
constexpr std::size_t kMegabyte = 1024UL * 1024;
/// Less than the longest body, and more than sockets on loopback take beside
/// what is read.
constexpr std::size_t kSocketBytes = 16 * kMegabyte;
/// A part of the route's timeout of 5 s.
constexpr std::chrono::seconds kMaxTime{ 2 };

constexpr const char* kSigned = "HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\n"
                                "Content-Type: text/event-stream\r\n";

RawReply
EndlessReply(const std::string& aHead, const std::string& aPiece)
{
  RawReply reply;
  reply.head = aHead;
  reply.piece = aPiece;
  reply.pieces = std::numeric_limits<std::size_t>::max();
  return reply;
}

} // namespace

// A faulty target sends bytes that have no end until its connection is closed.
TEST_GROUP(EndlessReply)
{
  std::unique_ptr<RawTarget> target;
  std::unique_ptr<EntryDeployment> deployment;
  std::size_t memory_bytes = 256 * kMegabyte;

  void Start(const RawReply& aReply)
  {
    deployment =
      EntryDeployment::Start({ .targets = 1, .memory_bytes = memory_bytes });
    target = std::make_unique<RawTarget>(aReply);
    CHECK(deployment->ReplaceTarget("model0", target->Authority()));
    CHECK(deployment->ReplaceTarget("service0", target->Authority()));
  }
  void teardown() override
  {
    deployment.reset();
    target.reset();
  }
  /// Checks that a reply is given up early, after few bytes.
  void CheckIsGivenUp(const RawReply& aReply, const std::string& aPath)
  {
    Start(aReply);
    net::HttpHeaders lines;
    lines.Add("X-Attempt-Id", "r1");
    lines.Add("Authorization", "Token key-1");
    const auto begin = steady_clock::now();
    const auto response = deployment->CallAt(0, "POST", aPath, lines, "hello");
    CHECK(steady_clock::now() - begin < kMaxTime);
    CHECK(response.status != kOk);
    CHECK(target->SentBytes() < kSocketBytes);
  }
};

// The process kept such a line until the route's timeout, and was killed for
// its memory.
TEST(EndlessReply, AChunkLineIsGivenUp)
{
  const std::string head =
    std::string(kSigned) + "Transfer-Encoding: chunked\r\n";
  CheckIsGivenUp(EndlessReply(head, std::string(10000, '0')), "/chat/x");
}

TEST(EndlessReply, AHeadIsGivenUp)
{
  CheckIsGivenUp(EndlessReply("HTTP/1.1 100 Continue\r\n",
                              "X-Line: " + std::string(1000, 'a')),
                 "/once/x");
}

// Each of them is short, and none is the final one.
TEST(EndlessReply, InterimRepliesAreGivenUp)
{
  CheckIsGivenUp(
    EndlessReply("HTTP/1.1 100 Continue\r\n", "HTTP/1.1 100 Continue\r\n\r\n"),
    "/once/x");
}

// Each was bounded by itself, and the process kept the sum of them.
TEST(EndlessReply, AnEventIsGivenUp)
{
  const std::string head =
    std::string(kSigned) + "Transfer-Encoding: chunked\r\n";
  const std::string chunk = "3e8\r\n" + std::string(1000, 'a') + "\r\n";
  CheckIsGivenUp(EndlessReply(head, chunk), "/chat/x");
}

TEST(EndlessReply, BodiesShareTheMemoryForReplies)
{
  memory_bytes = 3 * kMegabyte;
  CheckIsGivenUp(EndlessReply("HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\n",
                              std::string(10000, 'a')),
                 "/once/x");
}
