#include <chrono> // for milliseconds
#include <memory> // for unique_ptr
#include <string> // for string
#include <thread> // for sleep_for

#include <CppUTest/TestHarness.h>    // for TEST
#include <boost/asio/io_context.hpp> // for io_context
#include <boost/asio/ip/tcp.hpp>     // for tcp
#include <boost/asio/write.hpp>      // for write

#include "jujubehead/core/overload/memory_budget.hpp" // for MemoryBudget
#include "standin/entry_deployment.hpp"

using namespace jujubehead;
using standin::EntryDeployment;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMebibyte = 1024UL * 1024;
constexpr std::size_t kMaxBody = 4 * kMebibyte;
/// The smallest of the platform's machines.
constexpr std::size_t kSmallMachine = 88 * kMebibyte;
constexpr const char* kHead =
  "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r1\r\n"
  "Authorization: Token key-1\r\n";

} // namespace

// Callers send more, or more slowly, than an instance can hold.
TEST_GROUP(Overload)
{
  std::unique_ptr<EntryDeployment> deployment;

  void Start(std::size_t aMemoryBytes)
  {
    deployment =
      EntryDeployment::Start({ .targets = 1, .memory_bytes = aMemoryBytes });
  }
  void teardown() override
  {
    deployment.reset();
  }

  /// Sends some bytes, then one more in each interval until a reply comes.
  /// @return the reply's beginning; empty if none came.
  std::string Trickle(
    const std::string& aBytes, milliseconds aInterval, int aPieces)
  {
    namespace asio = boost::asio;
    asio::io_context context;
    asio::ip::tcp::socket caller(context);
    caller.connect(
      { asio::ip::address_v4::loopback(), deployment->CallerPort(0) });
    boost::system::error_code error;
    asio::write(caller, asio::buffer(aBytes), error);
    std::string reply;
    for (int i = 0; i < aPieces && reply.empty() && !error; ++i) {
      std::this_thread::sleep_for(aInterval);
      if (caller.available() > 0) {
        reply.resize(caller.available());
        caller.read_some(asio::buffer(reply), error);
      } else {
        asio::write(caller, asio::buffer("a", 1), error);
      }
    }
    return reply;
  }
};

// Its body would be read in vain.
TEST(Overload, ARequestWithoutRoomIsRejectedAtItsHeader)
{
  Start(kMaxBody);
  const std::string reply = deployment->CallRaw(
    kHead + std::string("Expect: 100-continue\r\nContent-Length: ") +
    std::to_string(kMaxBody) + "\r\n\r\n");
  STRCMP_CONTAINS("HTTP/1.1 503", reply.substr(0, 12).c_str());
  STRCMP_CONTAINS("Retry-After: ", reply.c_str());
  STRCMP_CONTAINS("X-Attempt-Id: r1", reply.c_str());
  LONGS_EQUAL(0, deployment->Stats("service0").at("arrived").get<int>());
  LONGS_EQUAL(1, deployment->Total(0, node::Counter::kMemoryRefusals));
}

TEST(Overload, TheLargestBodyIsServedInCalm)
{
  Start(kSmallMachine);
  net::HttpHeaders lines;
  lines.Add("X-Attempt-Id", "r1");
  lines.Add("Authorization", "Token key-1");
  const std::string body(kMaxBody, 'a');
  const auto response = deployment->CallAt(0, "POST", "/once/x", lines, body);
  LONGS_EQUAL(200, response.status);
  CHECK(deployment->Stats("service0").at("runs").at(0).at("body") == body);
}

// It waited on, without a timeout, when part of a chunk's line had been
// received.
TEST(Overload, ARevokedRequestIsRejectedAtOnce)
{
  Start(kMaxBody);
  namespace asio = boost::asio;
  asio::io_context context;
  asio::ip::tcp::socket stalled(context);
  stalled.connect(
    { asio::ip::address_v4::loopback(), deployment->CallerPort(0) });
  const std::string chunk = std::string("493e0\r\n") + // 300,000 bytes
                            std::string(300000, 'a') + "\r\n1";
  const std::string bytes =
    kHead + std::string("Transfer-Encoding: chunked\r\n\r\n") + chunk;
  asio::write(stalled, asio::buffer(bytes));
  std::this_thread::sleep_for(core::MemoryBudget::kSlowAllowance * 3 / 2);
  net::HttpHeaders lines;
  lines.Add("X-Attempt-Id", "r2");
  lines.Add("Authorization", "Token key-1");
  const auto response =
    deployment->CallAt(0, "POST", "/once/x", lines, std::string(600000, 'b'));
  LONGS_EQUAL(200, response.status);
  CHECK(deployment->Await([&] { return stalled.available() > 0; }));
  std::string reply(stalled.available(), ' ');
  stalled.read_some(asio::buffer(reply));
  STRCMP_CONTAINS("HTTP/1.1 503", reply.c_str());
}

// Each byte began the timeout anew, so that a header took hours.
TEST(Overload, AHeaderThatTricklesIsRejected)
{
  Start(kSmallMachine);
  nlohmann::json configuration = deployment->Configuration();
  configuration["version"] = configuration["version"].get<int>() + 1;
  configuration["limits"]["header_timeout_ms"] = 200;
  deployment->PutRow("op", "config", configuration);
  CHECK(deployment->AwaitRead());
  const std::string reply =
    Trickle(kHead + std::string("X-Line: "), milliseconds(100), 50);
  STRCMP_CONTAINS("HTTP/1.1 408", reply.c_str());
}

// The same with a body, which took days.
TEST(Overload, ABodyThatTricklesIsRejected)
{
  Start(kSmallMachine);
  const std::string reply =
    Trickle(kHead + std::string("Content-Length: 1000\r\n\r\n"),
            milliseconds(1000),
            30);
  STRCMP_CONTAINS("HTTP/1.1 408", reply.c_str());
}
