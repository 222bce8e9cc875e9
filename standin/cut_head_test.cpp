#include <memory> // for unique_ptr

#include <CppUTest/TestHarness.h> // for TEST

#include "standin/entry_deployment.hpp"
#include "standin/raw_target.hpp"

using namespace jujubehead;
using standin::EntryDeployment;
using standin::RawReply;
using standin::RawTarget;

namespace {

constexpr unsigned kOk = 200;
/// Lines of a reply between its status and its end; the last ones are cut most.
const std::string kHead = "HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\n"
                          "Content-Type: text/event-stream\r\n";
constexpr std::size_t kCutStep = 5;

} // namespace

// A target ends each connection in order within the head of its reply, the
// first early, the last before the empty line.
TEST_GROUP(CutHead)
{
  std::unique_ptr<RawTarget> target;
  std::unique_ptr<EntryDeployment> deployment =
    EntryDeployment::Start({ .targets = 1 });

  void teardown() override
  {
    deployment.reset();
    target.reset();
  }
  /// @return how many of the replies to a path had a success.
  int Successes(const std::string& aPath, const char* aTarget, RawReply aReply)
  {
    aReply.cut_step = kCutStep;
    const std::size_t cuts = aReply.head.size() / kCutStep;
    target = std::make_unique<RawTarget>(std::move(aReply));
    CHECK(deployment->ReplaceTarget(aTarget, target->Authority()));
    int successes = 0;
    for (std::size_t i = 0; i < cuts; ++i) {
      net::HttpHeaders lines;
      lines.Add("X-Attempt-Id", "cut" + std::to_string(i));
      lines.Add("Authorization", "Token key-1");
      const auto reply = deployment->Call("POST", aPath, lines, "rice");
      successes += reply.status == kOk ? 1 : 0;
    }
    CHECK(target->SentBytes() > 0);
    return successes;
  }
};

// Callers got a success with an empty body, framed as whole.
TEST(CutHead, IsNoSuccessOfACall)
{
  for (const char* length : { "Content-Length: 0\r\n", "" }) {
    RawReply reply;
    reply.head = kHead + length;
    LONGS_EQUAL(0, Successes("/once/x", "service0", reply));
  }
}

TEST(CutHead, IsNoSuccessOfAStream)
{
  for (const char* framing : { "Transfer-Encoding: chunked\r\n", "" }) {
    RawReply reply;
    reply.head = kHead + framing;
    LONGS_EQUAL(0, Successes("/chat/x", "model0", reply));
  }
}
