#include <memory> // for unique_ptr

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
using standin::RawReply;
using standin::RawTarget;

// HTTP/1.0 has no chunks, so that a stream ends with its connection.
TEST_GROUP(Http10Caller)
{
  std::unique_ptr<RawTarget> target;
  std::unique_ptr<EntryDeployment> deployment;
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket caller{ context };
  std::string received;

  /// Sends a request for a stream, and reads its first event.
  void StartStream(std::chrono::milliseconds aInterval)
  {
    deployment = EntryDeployment::Start({ .targets = 1 });
    RawReply reply;
    reply.head = "HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\n"
                 "Content-Type: text/event-stream\r\n";
    reply.piece = "data: piece\n\n";
    reply.pieces = 20;
    reply.interval = aInterval;
    target = std::make_unique<RawTarget>(reply);
    CHECK(deployment->ReplaceTarget("model0", target->Authority()));
    caller.connect(
      { boost::asio::ip::address_v4::loopback(), deployment->CallerPort(0) });
    const std::string request =
      "POST /chat/x HTTP/1.0\r\nHost: a.example\r\nX-Attempt-Id: r1\r\n"
      "Authorization: Token key-1\r\nContent-Length: 0\r\n\r\n";
    boost::asio::write(caller, boost::asio::buffer(request));
    boost::asio::read_until(
      caller, boost::asio::dynamic_buffer(received), "data: piece\n\n");
  }
  /// @return how the connection ends.
  boost::system::error_code ReadToEnd()
  {
    boost::system::error_code end;
    boost::asio::read(caller, boost::asio::dynamic_buffer(received), end);
    return end;
  }
  void teardown() override
  {
    deployment.reset();
    target.reset();
  }
};

// The kernel closes the connections of a process that ends in order: the part
// that the caller had looked like the whole.
TEST(Http10Caller, AStreamIsResetWhenTheInstanceEnds)
{
  StartStream(std::chrono::milliseconds(100));
  deployment->Restart();
  CHECK(ReadToEnd() == boost::asio::error::connection_reset);
}

TEST(Http10Caller, AWholeStreamEndsInOrder)
{
  StartStream(std::chrono::milliseconds(1));
  CHECK(ReadToEnd() == boost::asio::error::eof);
  std::size_t events = 0;
  for (std::size_t at = 0; (at = received.find("\n\n", at)) != received.npos;
       ++at) {
    ++events;
  }
  LONGS_EQUAL(20, events);
}
