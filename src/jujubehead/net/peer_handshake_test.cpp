#include "peer_handshake.hpp"

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

namespace core = jujubehead::core;
namespace net = jujubehead::net;
using core::InstanceId;
using net::Bytes;
using net::PeerHandshake;
using Step = PeerHandshake::Step;

namespace {

PeerHandshake
DiallerOf(const std::string& aSecret = "secret")
{
  return PeerHandshake::Dialler(InstanceId("a"), InstanceId("b"), aSecret);
}

PeerHandshake
ListenerOf(const std::string& aName, const std::string& aSecret = "secret")
{
  return PeerHandshake::Listener(InstanceId(aName), aSecret);
}

} // namespace

TEST_GROUP(PeerHandshake){};

TEST(PeerHandshake, OpensAtBothEndsUnderOneSecret)
{
  auto dialler = DiallerOf();
  auto listener = ListenerOf("b");
  const auto challenge = listener.Take(dialler.Begin());
  CHECK(challenge.step == Step::kGoOn);
  const auto proof = dialler.Take(*challenge.reply);
  CHECK(proof.step == Step::kOpen);
  const auto end = listener.Take(*proof.reply);
  CHECK(end.step == Step::kOpen);
  CHECK(!end.reply);
  CHECK(listener.Peer() == InstanceId("a"));
}

TEST(PeerHandshake, NeitherEndOpensUnderAnotherSecret)
{
  auto dialler = DiallerOf("other");
  auto listener = ListenerOf("b");
  const auto challenge = listener.Take(dialler.Begin());
  CHECK(dialler.Take(*challenge.reply).step == Step::kRefused);
}

TEST(PeerHandshake, AListenersOwnProofIsNoProofOfADialler)
{
  // Someone without the secret lets the listener prove itself, and hands that
  // proof back.
  auto listener = ListenerOf("b");
  const auto challenge = listener.Take(DiallerOf("unknown").Begin());
  const auto greeting = net::DecodeGreeting(*challenge.reply);
  const auto& part = std::get<net::PeerChallenge>(*greeting);
  const Bytes back = net::EncodeGreeting(net::PeerProof{ part.proof });
  CHECK(listener.Take(back).step == Step::kRefused);
}

TEST(PeerHandshake, ARecordedProofDoesNotOpenAnotherLink)
{
  auto dialler = DiallerOf();
  auto listener = ListenerOf("b");
  const Bytes hello = dialler.Begin();
  const auto proof = dialler.Take(*listener.Take(hello).reply);
  auto later = ListenerOf("b");
  CHECK(later.Take(hello).step == Step::kGoOn);
  CHECK(later.Take(*proof.reply).step == Step::kRefused);
}

TEST(PeerHandshake, AnotherListenerThanTheWantedOneRefuses)
{
  auto listener = ListenerOf("c");
  CHECK(listener.Take(DiallerOf().Begin()).step == Step::kRefused);
}

TEST(PeerHandshake, GreetingsOutOfTurnAreRefused)
{
  auto listener = ListenerOf("b");
  const Bytes proof = net::EncodeGreeting(net::PeerProof{ Bytes(32) });
  CHECK(listener.Take(proof).step == Step::kRefused);
  CHECK(listener.Take(DiallerOf().Begin()).step == Step::kGoOn);
  CHECK(listener.Take(DiallerOf().Begin()).step == Step::kRefused);
}

TEST(PeerHandshake, ADeeplyNestedGreetingIsRefusedUnread)
{
  constexpr std::uint8_t kArrayOfOne = 0x81;
  auto listener = ListenerOf("b");
  const Bytes deep(1024UL * 1024, kArrayOfOne);
  CHECK(listener.Take(deep).step == Step::kRefused);
}

TEST(PeerHandshake, NoBytesOpenAListener)
{
  CHECK(rc::check("bytes without the secret", [](const Bytes& aBytes) {
    auto listener = ListenerOf("b");
    RC_ASSERT(listener.Take(aBytes).step != Step::kOpen);
    listener.Take(DiallerOf("unknown").Begin());
    RC_ASSERT(listener.Take(aBytes).step == Step::kRefused);
  }));
}
