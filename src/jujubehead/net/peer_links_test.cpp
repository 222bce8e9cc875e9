#include "jujubehead/net/peer_link.hpp"

#include <CppUTest/TestHarness.h> // for TEST

#include <string> // for string
#include <vector> // for vector

#include "net_test_tools.hpp" // for RunUntil

namespace core = jujubehead::core;
namespace net = jujubehead::net;
using core::InstanceId;
using net::test::RunUntil;
using namespace std::chrono_literals;

namespace {

/// An instance's links and the messages that came over them.
struct Node
{
  Node(boost::asio::io_context& aContext, net::PeerLinksOptions aOptions)
    : links(net::PeerLinks::Create(
        aContext,
        std::move(aOptions),
        [this](const InstanceId& aFrom, std::span<const std::uint8_t> aBytes) {
          messages.push_back(aFrom.Text() + ":" +
                             std::string(aBytes.begin(), aBytes.end()));
        }))
  {
  }

  bool Send(const std::string& aTo, const std::string& aText) const
  {
    return links->Send(InstanceId(aTo), net::Bytes(aText.begin(), aText.end()));
  }

  std::vector<std::string> messages;
  std::unique_ptr<net::PeerLinks> links;
};

net::PeerLinksOptions
OptionsOf(const std::string& aSelf, const std::string& aSecret = "secret")
{
  net::PeerLinksOptions options;
  options.self = InstanceId(aSelf);
  options.secret = aSecret;
  return options;
}

std::string
AddressOf(const Node& aNode)
{
  return "127.0.0.1:" + std::to_string(aNode.links->Port());
}

} // namespace

TEST_GROUP(PeerLinks)
{
  boost::asio::io_context context;

  std::unique_ptr<Node> Start(net::PeerLinksOptions aOptions)
  {
    return std::make_unique<Node>(context, std::move(aOptions));
  }
  static void Know(Node & aNode, const std::string& aName, const Node& aOther)
  {
    aNode.links->SetAddress(InstanceId(aName), AddressOf(aOther));
  }
};

TEST(PeerLinks, CarryMessagesInOrderAndBackOverTheSameLink)
{
  const auto a = Start(OptionsOf("a"));
  const auto b = Start(OptionsOf("b"));
  Know(*a, "b", *b);
  CHECK(a->Send("b", "1"));
  CHECK(a->Send("b", "2"));
  RunUntil(context, [&] { return b->messages.size() == 2; });
  STRCMP_EQUAL("a:1", b->messages[0].c_str());
  STRCMP_EQUAL("a:2", b->messages[1].c_str());
  CHECK(b->Send("a", "3"));
  RunUntil(context, [&] { return a->messages.size() == 1; });
  STRCMP_EQUAL("b:3", a->messages[0].c_str());
}

TEST(PeerLinks, AnUnknownPeerIsToldAtOnce)
{
  const auto a = Start(OptionsOf("a"));
  CHECK_FALSE(a->Send("b", "1"));
  UNSIGNED_LONGS_EQUAL(1, a->links->Counters().dropped);
}

TEST(PeerLinks, AWrongSecretIsRefusedAtBothEnds)
{
  const auto a = Start(OptionsOf("a", "wrong"));
  const auto b = Start(OptionsOf("b"));
  Know(*a, "b", *b);
  CHECK(a->Send("b", "1"));
  RunUntil(context, [&] {
    return a->links->Counters().refused == 1 &&
           b->links->Counters().refused == 1;
  });
  UNSIGNED_LONGS_EQUAL(1, a->links->Counters().dropped);
  CHECK(b->messages.empty());
}

TEST(PeerLinks, AnotherInstanceThanTheWantedOneIsRefused)
{
  const auto a = Start(OptionsOf("a"));
  const auto c = Start(OptionsOf("c"));
  Know(*a, "b", *c);
  CHECK(a->Send("b", "1"));
  RunUntil(context, [&] { return c->links->Counters().refused == 1; });
  CHECK(c->messages.empty());
}

TEST(PeerLinks, ALostLinkIsDialledAgain)
{
  const auto a = Start(OptionsOf("a"));
  auto b = Start(OptionsOf("b"));
  Know(*a, "b", *b);
  CHECK(a->Send("b", "1"));
  RunUntil(context, [&] { return b->messages.size() == 1; });
  b.reset();
  b = Start(OptionsOf("b"));
  Know(*a, "b", *b);
  RunUntil(context, [&] {
    a->Send("b", "2");
    return !b->messages.empty();
  });
  STRCMP_EQUAL("a:2", b->messages[0].c_str());
}

TEST(PeerLinks, ADialThatFailsDropsItsMessagesAndIsTriedAgain)
{
  const auto a = Start(OptionsOf("a"));
  auto b = Start(OptionsOf("b"));
  Know(*a, "b", *b);
  const std::string port = std::to_string(b->links->Port());
  b.reset();
  CHECK(a->Send("b", "1"));
  RunUntil(context, [&] { return a->links->Counters().dropped == 1; });
  auto options = OptionsOf("b");
  options.port = static_cast<std::uint16_t>(std::stoul(port));
  b = Start(std::move(options));
  CHECK(a->Send("b", "2"));
  RunUntil(context, [&] { return !b->messages.empty(); });
  STRCMP_EQUAL("a:2", b->messages[0].c_str());
}

TEST(PeerLinks, AMessageAboveTheLimitIsNotSent)
{
  auto options = OptionsOf("a");
  options.message_limit = 10;
  const auto a = Start(std::move(options));
  const auto b = Start(OptionsOf("b"));
  Know(*a, "b", *b);
  CHECK_FALSE(a->Send("b", std::string(11, 'x')));
  UNSIGNED_LONGS_EQUAL(1, a->links->Counters().dropped);
}

TEST(PeerLinks, AMessageAboveTheListenersLimitBreaksTheLink)
{
  const auto a = Start(OptionsOf("a"));
  auto options = OptionsOf("b");
  options.message_limit = 1000;
  const auto b = Start(std::move(options));
  Know(*a, "b", *b);
  CHECK(a->Send("b", std::string(2000, 'x')));
  RunUntil(context, [&] {
    a->Send("b", "small");
    return !b->messages.empty();
  });
  STRCMP_EQUAL("a:small", b->messages[0].c_str());
}

TEST(PeerLinks, AFullQueueTakesNoMore)
{
  auto options = OptionsOf("a");
  options.send_queue_limit = 10;
  const auto a = Start(std::move(options));
  const auto b = Start(OptionsOf("b"));
  Know(*a, "b", *b);
  CHECK(a->Send("b", "12345678"));
  CHECK_FALSE(a->Send("b", "12345678"));
  RunUntil(context, [&] { return b->messages.size() == 1; });
  UNSIGNED_LONGS_EQUAL(1, a->links->Counters().dropped);
}

TEST(PeerLinks, AnIdleLinkClosesAndIsDialledOnNeed)
{
  auto options = OptionsOf("a");
  options.idle_close = 20ms;
  const auto a = Start(std::move(options));
  const auto b = Start(OptionsOf("b"));
  Know(*a, "b", *b);
  CHECK(a->Send("b", "1"));
  RunUntil(context, [&] { return b->messages.size() == 1; });
  RunUntil(context, [&] {
    return a->links->Counters().open_links == 0 &&
           b->links->Counters().open_links == 0;
  });
  CHECK(a->Send("b", "2"));
  RunUntil(context, [&] { return b->messages.size() == 2; });
}
