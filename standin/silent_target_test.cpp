#include "standin/entry_deployment.hpp"

#include <future> // for async
#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;
using nlohmann::json;
using standin::EntryDeployment;

namespace {

/// Longer than the stall timeout of the route, which is 1.5 s for the only
/// stream at a target, and within its time limit of 5 s.
constexpr int kSilenceMs = 2500;
/// Longer than twice the stall timeout.
constexpr int kLongSilenceMs = 4000;
/// A target that does not go on within the limit.
constexpr int kForeverMs = 20000;

std::string
Events(int aLast)
{
  std::string text;
  for (int i = 1; i <= aLast; ++i) {
    const std::string number = std::to_string(i);
    text.append("id: ").append(number);
    text.append("\ndata: token").append(number).append("\n\n");
  }
  return text;
}

} // namespace

// One instance whose targets send a part of each stream, and then nothing for a
// while.
TEST_GROUP(SilentTarget)
{
  std::unique_ptr<EntryDeployment> deployment;

  void Start(std::size_t aTargets, double aRetriesPerRequest = 100)
  {
    deployment = EntryDeployment::Start(
      { .targets = aTargets, .retries_per_request = aRetriesPerRequest });
  }
  void Hold(const std::string& aTarget, int aMs)
  {
    deployment->SetFault(
      aTarget, "pause_after", { { "events", 3 }, { "ms", aMs } });
  }
  void HoldAll(int aMs)
  {
    Hold("model0", aMs);
    Hold("model1", aMs);
  }
  /// Waits until one of two targets has the stream, and ends the hold of the
  /// other one. @return its name.
  std::string ReleaseOther()
  {
    CHECK(
      deployment->Await([&] { return Runs("model0") + Runs("model1") > 0; }));
    std::string other = Runs("model0") > 0 ? "model1" : "model0";
    deployment->SetFault(other, "pause_after", json::object());
    return other;
  }
  static void CheckIsWhole(const net::HttpResponse& aResponse)
  {
    LONGS_EQUAL(200, aResponse.status);
    STRCMP_EQUAL(Events(8).c_str(), aResponse.body.c_str());
  }
  net::HttpResponse Stream(const std::string& aId)
  {
    net::HttpHeaders lines;
    lines.Add("X-Attempt-Id", aId);
    lines.Add("Authorization", "Token key-1");
    lines.Add("X-Model", "m1");
    return deployment->Call("POST", "/chat/x", lines, "rice");
  }
  std::size_t Runs(const std::string& aTarget)
  {
    return deployment->Stats(aTarget).at("runs").size();
  }
};

// A stream was taken from its silent target and cut, as no other target was
// there to go on with it.
TEST(SilentTarget, KeepsAStreamThatNoOtherTargetTakes)
{
  Start(1);
  Hold("model0", kSilenceMs);
  CheckIsWhole(Stream("s1"));
  LONGS_EQUAL(1, Runs("model0"));
}

// All targets were silent at once; the streams that the retry budget did not
// let go on elsewhere were cut.
TEST(SilentTarget, KeepsTheStreamsThatTheRetryBudgetDoesNotCover)
{
  Start(2, 0.2);
  // Before its first response an instance sends targets no more than their
  // slots, which are fewer than the streams.
  CheckIsWhole(Stream("first"));
  HoldAll(kLongSilenceMs);
  constexpr int kStreams = 20;
  std::vector<std::future<net::HttpResponse>> streams;
  streams.reserve(kStreams);
  for (int i = 0; i < kStreams; ++i) {
    streams.push_back(std::async(std::launch::async, [this, i] {
      return Stream("s" + std::to_string(i));
    }));
  }
  for (auto& stream : streams) {
    CheckIsWhole(stream.get());
  }
  LONGS_EQUAL(0, deployment->Total(0, node::Counter::kStreamsCut));
}

// The target that was to go on with a stream had no room at first; the stream
// was cut after two refusals.
TEST(SilentTarget, AStreamTakenFromItWaitsForAnotherOne)
{
  Start(2);
  HoldAll(kForeverMs);
  auto stream = std::async(std::launch::async, [this] { return Stream("s1"); });
  const std::string other = ReleaseOther();
  deployment->SetFault(other, "refuse", { { "count", 4 } });
  CheckIsWhole(stream.get());
}

// A target that is hung must not hold a stream that can go on elsewhere.
TEST(SilentTarget, DoesNotKeepAStreamThatAnotherTargetTakes)
{
  Start(2);
  HoldAll(kForeverMs);
  auto stream = std::async(std::launch::async, [this] { return Stream("s1"); });
  const std::string other = ReleaseOther();
  CheckIsWhole(stream.get());
  LONGS_EQUAL(1, Runs(other));
}

// All targets stood still for a moment, and calls that they would have answered
// in time got a failure, though there was no target to send them to.
TEST(SilentTarget, KeepsACallIfNoTargetResponds)
{
  Start(1);
  deployment->SetFault("service0", "mute", { { "ms", kSilenceMs } });
  net::HttpHeaders lines;
  lines.Add("X-Attempt-Id", "c1");
  lines.Add("Authorization", "Token key-1");
  LONGS_EQUAL(200, deployment->Call("POST", "/calls/x", lines, "rice").status);
}
